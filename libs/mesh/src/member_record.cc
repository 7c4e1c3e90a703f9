#include "sequoiastage/mesh/member_record.h"

#include <nlohmann/json.hpp>

namespace sequoiastage {

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
  if (record.m_era != StoreEra(0)) {
    json["era"] = record.m_era.Get();
  }
  return json.dump();
}

std::optional<MemberRecord> DecodeMember(std::string_view text) {
  try {
    const auto json = nlohmann::json::parse(text);
    const auto node = ParseEndpoint(json.at("node").get<std::string>());
    if (!node) {
      return std::nullopt;
    }
    return MemberRecord{
        .m_node = NodeId(*node),
        .m_domain = json.at("domain"),
        .m_region = json.at("region"),
        .m_is_leaving = json.value("leaving", false),
        .m_instance = json.value("instance", ""),
        .m_instance_start_ms = json.value("instance_start_ms", uint64_t{0}),
        .m_service = ServiceId(json.value("service", 0U)),
        .m_slots = json.value("slots", 0U),
        .m_departed = json.value("departed", ""),
        .m_departed_start_ms = json.value("departed_start_ms", uint64_t{0}),
        .m_era = StoreEra(json.value("era", 0U))};
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
