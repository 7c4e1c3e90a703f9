#include "sequoiastage/base/ids.h"

#include <xxhash.h>

#include <charconv>

namespace sequoiastage {

namespace {

// Parses a decimal number of at most `max` at the front of `text` and removes
// it from `text`.
std::optional<uint32_t> ConsumeNumber(std::string_view& text, uint32_t max) {
  uint32_t number = 0;
  const auto result =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (result.ec != std::errc() || number > max) {
    return std::nullopt;
  }
  text.remove_prefix(static_cast<size_t>(result.ptr - text.data()));
  return number;
}

bool ConsumeChar(std::string_view& text, char expected) {
  if (text.empty() || text.front() != expected) {
    return false;
  }
  text.remove_prefix(1);
  return true;
}

uint64_t HashName(std::string_view name) {
  return XXH3_64bits(name.data(), name.size());
}

}  // namespace

std::optional<Endpoint> ParseEndpoint(std::string_view text) {
  Endpoint endpoint;
  for (int octet = 0; octet < 4; ++octet) {
    const auto number = ConsumeNumber(text, 255);
    if (!number || !ConsumeChar(text, octet < 3 ? '.' : ':')) {
      return std::nullopt;
    }
    endpoint.m_ip = (endpoint.m_ip << 8) | *number;
  }
  const auto port = ConsumeNumber(text, 65535);
  if (!port || *port == 0 || !text.empty()) {
    return std::nullopt;
  }
  endpoint.m_port = static_cast<uint16_t>(*port);
  return endpoint;
}

std::string IpToString(uint32_t ip) {
  return std::to_string(ip >> 24) + "." + std::to_string((ip >> 16) & 0xff) +
         "." + std::to_string((ip >> 8) & 0xff) + "." +
         std::to_string(ip & 0xff);
}

std::string ToString(const Endpoint& endpoint) {
  return IpToString(endpoint.m_ip) + ":" + std::to_string(endpoint.m_port);
}

std::string ToString(NodeId id) {
  return ToString(id.Get());
}

std::string ToString(InstanceId id) {
  return ToString(id.Get());
}

std::string ToString(const AttemptId& id) {
  return ToString(id.m_ingress) + "/" + std::to_string(id.m_incarnation.Get()) +
         "/" + std::to_string(id.m_counter);
}

ServiceId MakeServiceId(std::string_view name) {
  return ServiceId(static_cast<uint32_t>(HashName(name)));
}

AccountId MakeAccountId(std::string_view name) {
  return AccountId(HashName(name));
}

}  // namespace sequoiastage

std::size_t std::hash<sequoiastage::Endpoint>::operator()(
    const sequoiastage::Endpoint& endpoint) const {
  const uint64_t key =
      (static_cast<uint64_t>(endpoint.m_ip) << 16) | endpoint.m_port;
  return XXH3_64bits(&key, sizeof(key));
}

std::size_t std::hash<sequoiastage::AttemptId>::operator()(
    const sequoiastage::AttemptId& id) const {
  const uint64_t key[3] = {
      std::hash<sequoiastage::Endpoint>()(id.m_ingress.Get()),
      id.m_incarnation.Get(), id.m_counter};
  return XXH3_64bits(key, sizeof(key));
}
