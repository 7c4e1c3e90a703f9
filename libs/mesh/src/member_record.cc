#include "sequoiastage/mesh/member_record.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace sequoiastage {

namespace {

using Json = nlohmann::json;

// Reports that are read from one record; a node writes fewer.
constexpr size_t kMaxReports = 32;
// Id of nlohmann's error for a number out of range.
constexpr int kOutOfRange = 406;
// The most slots that a load report can state.
constexpr uint32_t kMaxSlots = UINT16_MAX;

// The whole number `json`, at most `max`. Throws Json::exception for
// anything else; nlohmann's conversions would change it.
uint64_t ReadNumber(const Json& json, uint64_t max = UINT64_MAX) {
  const uint64_t number = json.get_ref<const Json::number_unsigned_t&>();
  if (number > max) {
    throw Json::out_of_range::create(kOutOfRange, "number is too large", &json);
  }
  return number;
}

// The same for a member of an object; 0 when it is absent.
uint64_t ReadNumber(const Json& json,
                    const char* key,
                    uint64_t max = UINT64_MAX) {
  const auto found = json.find(key);
  return found == json.end() ? 0 : ReadNumber(*found, max);
}

Json EncodeTime(WallTime time) {
  return time.time_since_epoch().count();
}

WallTime DecodeTime(const Json& json) {
  // Calculations with the time must not overflow.
  constexpr uint64_t kMaxMs = 10'000'000'000'000;
  return WallTime(std::chrono::milliseconds(ReadNumber(json, kMaxMs)));
}

Json EncodeCrash(const CrashReport& report) {
  Json running = Json::array();
  for (const RequestFingerprint request : report.m_running) {
    running.push_back(request.Get());
  }
  return {{"node", ToString(report.m_node)},
          {"instance_start_ms", report.m_instance_start_ms},
          {"at_ms", EncodeTime(report.m_at)},
          {"running", std::move(running)}};
}

// Empty when the node can't be read.
std::optional<CrashReport> DecodeCrash(const Json& json) {
  const auto node = ParseEndpoint(json.at("node").get<std::string>());
  if (!node) {
    return std::nullopt;
  }
  CrashReport report{
      .m_node = NodeId(*node),
      .m_instance_start_ms = ReadNumber(json.at("instance_start_ms")),
      .m_at = DecodeTime(json.at("at_ms")),
      .m_running = {}};
  for (const auto& request : json.at("running")) {
    report.m_running.emplace_back(ReadNumber(request));
  }
  return report;
}

void DecodeReports(const Json& json, MemberRecord& record) {
  if (const auto crashes = json.find("crashes"); crashes != json.end()) {
    for (const auto& entry : *crashes) {
      if (record.m_crashes.size() == kMaxReports) {
        break;
      }
      if (auto report = DecodeCrash(entry)) {
        record.m_crashes.push_back(*std::move(report));
      }
    }
  }
  if (const auto executions = json.find("executions");
      executions != json.end()) {
    for (const auto& entry : *executions) {
      if (record.m_executions.size() == kMaxReports) {
        break;
      }
      record.m_executions.push_back(
          {.m_request = RequestFingerprint(ReadNumber(entry.at("request"))),
           .m_at = DecodeTime(entry.at("at_ms"))});
    }
  }
}

}  // namespace

std::string EncodeMember(const MemberRecord& record) {
  Json json = {{"node", ToString(record.m_node)},
               {"domain", record.m_domain},
               {"region", record.m_region}};
  if (record.m_incarnation != Incarnation(0)) {
    json["incarnation"] = record.m_incarnation.Get();
  }
  if (record.m_is_leaving) {
    json["leaving"] = true;
  }
  if (record.m_reads_deltas) {
    json["deltas"] = true;
  }
  if (!record.m_instance.empty()) {
    json["instance"] = record.m_instance;
    json["instance_start_ms"] = record.m_instance_start_ms;
    json["service"] = record.m_service.Get();
    json["slots"] = record.m_slots;
  }
  if (!record.m_departed.empty()) {
    json["departed"] = record.m_departed;
    json["departed_start_ms"] = record.m_departed_start_ms;
  }
  for (const CrashReport& report : record.m_crashes) {
    json["crashes"].push_back(EncodeCrash(report));
  }
  for (const ExecutionReport& report : record.m_executions) {
    json["executions"].push_back({{"request", report.m_request.Get()},
                                  {"at_ms", EncodeTime(report.m_at)}});
  }
  if (record.m_era != StoreEra(0)) {
    json["era"] = record.m_era.Get();
  }
  // An exception would end the handler that publishes the record.
  constexpr int kOneLine = -1;
  return json.dump(kOneLine, ' ', false, Json::error_handler_t::replace);
}

std::optional<MemberRecord> DecodeMember(std::string_view text) {
  try {
    const auto json = Json::parse(text);
    const auto node = ParseEndpoint(json.at("node").get<std::string>());
    if (!node) {
      return std::nullopt;
    }
    MemberRecord record{
        .m_node = NodeId(*node),
        .m_incarnation = Incarnation(ReadNumber(json, "incarnation")),
        .m_domain = json.at("domain"),
        .m_region = json.at("region"),
        .m_is_leaving = json.value("leaving", false),
        .m_reads_deltas = json.value("deltas", false),
        .m_era = StoreEra(
            static_cast<uint32_t>(ReadNumber(json, "era", UINT32_MAX)))};
    record.m_instance = json.value("instance", "");
    if (!record.m_instance.empty()) {
      record.m_instance_start_ms = ReadNumber(json, "instance_start_ms");
      record.m_service = ServiceId(
          static_cast<uint32_t>(ReadNumber(json, "service", UINT32_MAX)));
      record.m_slots =
          static_cast<uint32_t>(ReadNumber(json, "slots", kMaxSlots));
    }
    record.m_departed = json.value("departed", "");
    if (!record.m_departed.empty()) {
      record.m_departed_start_ms = ReadNumber(json, "departed_start_ms");
    }
    DecodeReports(json, record);
    return record;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

Distance DistanceBetween(const MemberRecord& a, const MemberRecord& b) {
  if (a.m_node == b.m_node) {
    return Distance::kHost;
  }
  if (a.m_region != b.m_region) {
    return Distance::kRemote;
  }
  return a.m_domain == b.m_domain ? Distance::kDomain : Distance::kRegion;
}

}  // namespace sequoiastage
