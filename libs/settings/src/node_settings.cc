#include "sequoiastage/settings/node_settings.h"

#include <fstream>
#include <iterator>
#include <sstream>
#include <utility>

#include "sequoiastage/checkedjson/json_document.h"
#include "sequoiastage/checkedjson/json_reader.h"

namespace sequoiastage {

namespace {

constexpr uint16_t kMinPort = 1;
constexpr uint16_t kMaxPort = 65535;
constexpr uint32_t kMinHeaderBytes = 1024;
constexpr uint32_t kMaxHeaderBytes = 1024 * 1024;
constexpr uint32_t kMinBodyBytes = 1024;
constexpr uint32_t kMaxBodyBytes = 256 * 1024 * 1024;
constexpr uint64_t kMinHeldBytes = uint64_t{1} << 20;
constexpr uint64_t kMaxHeldBytes = uint64_t{64} << 30;
constexpr uint32_t kMaxConnections = 1'000'000;
constexpr uint32_t kMaxInFlight = 1'000'000;
constexpr Duration kMinTimeout = std::chrono::milliseconds(1);
constexpr Duration kMaxTimeout = std::chrono::hours(1);
constexpr size_t kMinTokenLength = 16;
// First byte of 127.0.0.0/8.
constexpr uint32_t kLoopbackNetwork = 127;

// Parses "a.b.c.d" to an IPv4 address in host byte order.
std::optional<uint32_t> ParseIp(const std::string& text) {
  const auto endpoint = ParseEndpoint(text + ":1");
  if (!endpoint) {
    return std::nullopt;
  }
  return endpoint->m_ip;
}

// Reads {"ip": "a.b.c.d", "port": n}; an invalid member leaves 0 in
// `out`.
void ReadEndpointObject(JsonObject object, Endpoint& out) {
  std::string ip;
  if (object.ReadString("ip", ip, Presence::kRequired)) {
    const auto parsed = ParseIp(ip);
    if (parsed && *parsed != 0) {
      out.m_ip = *parsed;
    } else {
      object.ReportAt("ip", "must be an IPv4 address of this host");
    }
  }
  object.ReadInteger<uint16_t>("port", out.m_port,
                               {.m_min = kMinPort, .m_max = kMaxPort},
                               Presence::kRequired);
  object.ReportUnknownKeys();
}

void ReadEndpointMember(JsonObject& root, const char* key, Endpoint& out) {
  if (auto object = root.ReadObject(key, Presence::kRequired)) {
    ReadEndpointObject(std::move(*object), out);
  }
}

void ReadOptionalEndpoint(JsonObject& root,
                          const char* key,
                          std::optional<Endpoint>& out) {
  if (auto object = root.ReadObject(key)) {
    ReadEndpointObject(std::move(*object), out.emplace());
  }
}

void ReadEndpointList(JsonObject& root,
                      const char* key,
                      std::vector<Endpoint>& out) {
  for (const JsonValue& value : root.ReadArray(key)) {
    if (auto object = value.AsObject()) {
      Endpoint endpoint;
      ReadEndpointObject(std::move(*object), endpoint);
      out.push_back(endpoint);
    }
  }
}

void ReadSize(JsonObject& root,
              const char* key,
              uint32_t min,
              uint32_t max,
              uint32_t& out) {
  uint64_t bytes = out;
  if (root.ReadBytes(key, bytes, {.m_min = min, .m_max = max})) {
    out = static_cast<uint32_t>(bytes);
  }
}

void ReadTimeout(JsonObject& root,
                 const char* key,
                 std::chrono::milliseconds& out) {
  Duration timeout = out;
  if (root.ReadDuration(key, timeout,
                        {.m_min = kMinTimeout, .m_max = kMaxTimeout})) {
    out = std::chrono::duration_cast<std::chrono::milliseconds>(timeout);
  }
}

void ReadLimits(JsonObject& root, NodeSettings& settings) {
  ReadSize(root, "max_header", kMinHeaderBytes, kMaxHeaderBytes,
           settings.m_max_header_bytes);
  ReadSize(root, "max_body", kMinBodyBytes, kMaxBodyBytes,
           settings.m_max_body_bytes);
  root.ReadBytes("max_held", settings.m_max_held_bytes,
                 {.m_min = kMinHeldBytes, .m_max = kMaxHeldBytes});
  root.ReadInteger<uint32_t>("max_connections", settings.m_max_connections,
                             {.m_min = 0, .m_max = kMaxConnections});
  root.ReadInteger<uint32_t>("max_in_flight", settings.m_max_in_flight,
                             {.m_min = 1, .m_max = kMaxInFlight});
  ReadTimeout(root, "default_deadline", settings.m_default_deadline);
  ReadTimeout(root, "drain_timeout", settings.m_drain_timeout);
}

void ReadMembers(JsonObject& root, NodeSettings& settings) {
  ReadEndpointMember(root, "listen", settings.m_listen);
  ReadEndpointMember(root, "peer", settings.m_peer);
  ReadOptionalEndpoint(root, "peer_bind", settings.m_peer_bind);
  ReadEndpointMember(root, "admin", settings.m_admin);
  ReadEndpointMember(root, "announce", settings.m_announce);
  ReadEndpointMember(root, "log", settings.m_log);
  root.ReadString("admin_token", settings.m_admin_token);
  root.ReadString("region", settings.m_region, Presence::kRequired);
  root.ReadString("failure_domain", settings.m_failure_domain,
                  Presence::kRequired);
  root.ReadString("site", settings.m_site, Presence::kRequired);
  ReadEndpointList(root, "seeds", settings.m_seeds);
  ReadEndpointList(root, "allowed_instances", settings.m_allowed_instances);
  ReadLimits(root, settings);
}

// Without a token, the administration API must be reachable only from this
// host. Messages never contain the token.
void CheckToken(const JsonObject& root, const NodeSettings& settings) {
  const bool has_admin = settings.m_admin.m_ip != 0;
  if (settings.m_admin_token.empty()) {
    if (has_admin && !IsLoopback(settings.m_admin.m_ip)) {
      root.ReportAt("admin_token",
                    "is required unless /admin/ip is in 127.0.0.0/8");
    }
    return;
  }
  if (settings.m_admin_token.size() < kMinTokenLength) {
    root.ReportAt("admin_token", "must have at least " +
                                     std::to_string(kMinTokenLength) +
                                     " characters");
  }
  for (const char c : settings.m_admin_token) {
    if (c <= ' ' || c > '~') {
      root.ReportAt("admin_token", "must be printable ASCII without spaces");
      return;
    }
  }
}

void CheckAnnounce(const JsonObject& root, const NodeSettings& settings) {
  if (settings.m_announce.m_ip != 0 && !IsLoopback(settings.m_announce.m_ip)) {
    root.ReportAt("announce", "ip must be in 127.0.0.0/8");
  }
}

// All four are TCP endpoints that this process listens on, so they must differ.
void CheckDistinctEndpoints(const JsonObject& root,
                            const NodeSettings& settings) {
  const std::pair<const char*, Endpoint> endpoints[] = {
      {"listen", settings.m_listen},
      {"peer", settings.m_peer},
      {"admin", settings.m_admin},
      {"announce", settings.m_announce}};
  for (size_t i = 0; i < std::size(endpoints); ++i) {
    for (size_t j = 0; j < i; ++j) {
      const bool is_set =
          endpoints[i].second.m_ip != 0 && endpoints[i].second.m_port != 0;
      if (is_set && endpoints[i].second == endpoints[j].second) {
        root.ReportAt(endpoints[i].first,
                      std::string("is the same as /") + endpoints[j].first);
      }
    }
  }
}

}  // namespace

Endpoint PeerBindEndpoint(const NodeSettings& settings) {
  return settings.m_peer_bind.value_or(settings.m_peer);
}

bool IsLoopback(uint32_t ip) {
  return (ip >> 24) == kLoopbackNetwork;
}

std::optional<NodeSettings> ParseNodeSettings(std::string_view text,
                                              const std::string& source,
                                              Findings* findings) {
  Findings found;
  std::optional<NodeSettings> settings;
  if (const auto document = JsonDocument::Parse(source, text, found)) {
    settings.emplace();
    JsonObject root = JsonObject::Root(*document, found);
    ReadMembers(root, *settings);
    root.ReportUnknownKeys();
    CheckToken(root, *settings);
    CheckAnnounce(root, *settings);
    CheckDistinctEndpoints(root, *settings);
  }
  if (found.IsEmpty()) {
    return settings;
  }
  for (const Finding& finding : found.Items()) {
    findings->Add(finding.m_source, finding.m_pointer, finding.m_message);
  }
  return std::nullopt;
}

std::optional<NodeSettings> LoadNodeSettings(const std::string& path,
                                             Findings* findings) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) {
    findings->Add(path, "", "can't be read");
    return std::nullopt;
  }
  return ParseNodeSettings(text.str(), path, findings);
}

}  // namespace sequoiastage
