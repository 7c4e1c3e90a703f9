#include "sequoiastage/mesh/member_record.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace sequoiastage {

namespace {

// Reports that are read from one record; a node writes fewer.
constexpr size_t kMaxReports = 32;

nlohmann::json EncodeTime(WallTime time) {
  return time.time_since_epoch().count();
}

WallTime DecodeTime(const nlohmann::json& json) {
  // Bounded so that calculations with a damaged time do not overflow.
  constexpr int64_t kMaxMs = 10'000'000'000'000;
  return WallTime(std::chrono::milliseconds(
      std::clamp<int64_t>(json.get<int64_t>(), 0, kMaxMs)));
}

nlohmann::json EncodeCrash(const CrashReport& report) {
  nlohmann::json running = nlohmann::json::array();
  for (const RequestFingerprint request : report.m_running) {
    running.push_back(request.Get());
  }
  return {{"node", ToString(report.m_node)},
          {"instance_start_ms", report.m_instance_start_ms},
          {"at_ms", EncodeTime(report.m_at)},
          {"running", std::move(running)}};
}

// Empty when the node can't be read.
std::optional<CrashReport> DecodeCrash(const nlohmann::json& json) {
  const auto node = ParseEndpoint(json.at("node").get<std::string>());
  if (!node) {
    return std::nullopt;
  }
  CrashReport report{.m_node = NodeId(*node),
                     .m_instance_start_ms = json.at("instance_start_ms"),
                     .m_at = DecodeTime(json.at("at_ms")),
                     .m_running = {}};
  for (const auto& request : json.at("running")) {
    report.m_running.emplace_back(request.get<uint64_t>());
  }
  return report;
}

void DecodeReports(const nlohmann::json& json, MemberRecord& record) {
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
          {.m_request = RequestFingerprint(entry.at("request").get<uint64_t>()),
           .m_at = DecodeTime(entry.at("at_ms"))});
    }
  }
}

}  // namespace

std::string EncodeMember(const MemberRecord& record) {
  nlohmann::json json = {{"node", ToString(record.m_node)},
                         {"domain", record.m_domain},
                         {"region", record.m_region}};
  if (record.m_is_leaving) {
    json["leaving"] = true;
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
  return json.dump(kOneLine, ' ', false,
                   nlohmann::json::error_handler_t::replace);
}

std::optional<MemberRecord> DecodeMember(std::string_view text) {
  try {
    const auto json = nlohmann::json::parse(text);
    const auto node = ParseEndpoint(json.at("node").get<std::string>());
    if (!node) {
      return std::nullopt;
    }
    MemberRecord record{.m_node = NodeId(*node),
                        .m_domain = json.at("domain"),
                        .m_region = json.at("region"),
                        .m_is_leaving = json.value("leaving", false),
                        .m_era = StoreEra(json.value("era", 0U))};
    record.m_instance = json.value("instance", "");
    if (!record.m_instance.empty()) {
      record.m_instance_start_ms = json.value("instance_start_ms", uint64_t{0});
      record.m_service = ServiceId(json.value("service", 0U));
      record.m_slots = json.value("slots", 0U);
    }
    record.m_departed = json.value("departed", "");
    if (!record.m_departed.empty()) {
      record.m_departed_start_ms = json.value("departed_start_ms", uint64_t{0});
    }
    DecodeReports(json, record);
    return record;
  } catch (const nlohmann::json::exception&) {
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
