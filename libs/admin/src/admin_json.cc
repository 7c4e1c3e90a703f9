#include "admin_json_p.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include "sequoiastage/admin/admin_render.h"

namespace sequoiastage {

namespace {

constexpr InstanceCondition kConditions[] = {
    InstanceCondition::kHealthy, InstanceCondition::kSuspect,
    InstanceCondition::kEjected, InstanceCondition::kDraining,
    InstanceCondition::kWarmingUp};

const char* ToText(AuditKind kind) {
  switch (kind) {
    case AuditKind::kConfigChange:
      return "config-change";
    case AuditKind::kEjectionChange:
      return "ejection-change";
  }
  return "unknown";
}

// RFC 3339 in UTC with milliseconds.
std::string FormatTime(WallTime time) {
  const auto seconds = std::chrono::floor<std::chrono::seconds>(time);
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(seconds)),
                     (time - seconds).count());
}

int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

// The document as JSON, or as a string when it is not valid JSON.
Json DocumentToJson(const std::string& text) {
  Json json = Json::parse(text, nullptr, false);
  return json.is_discarded() ? Json(text) : json;
}

}  // namespace

const char* ToText(InstanceCondition condition) {
  switch (condition) {
    case InstanceCondition::kHealthy:
      return "healthy";
    case InstanceCondition::kSuspect:
      return "suspect";
    case InstanceCondition::kEjected:
      return "ejected";
    case InstanceCondition::kDraining:
      return "draining";
    case InstanceCondition::kWarmingUp:
      return "warming-up";
  }
  return "unknown";
}

Json ToJson(std::optional<LogOffset> version) {
  return version ? Json(version->Get()) : Json();
}

Json ToJson(const NodeStatus& status) {
  return {{"node", ToString(status.m_node)},
          {"incarnation", status.m_incarnation.Get()},
          {"software_version", status.m_software_version},
          {"region", status.m_region},
          {"failure_domain", status.m_failure_domain},
          {"site", status.m_site},
          {"uptime_ms", ToMilliseconds(status.m_uptime)},
          {"draining", status.m_is_draining},
          {"log_reachable", status.m_is_log_reachable},
          {"config_version", ToJson(status.m_config_version)},
          {"requests_in_flight", status.m_requests_in_flight}};
}

Json ToJson(const ConfigState& config) {
  Json documents = Json::array();
  for (const ConfigDocument& document : config.m_documents) {
    documents.push_back({{"scope", document.m_scope},
                         {"version", document.m_version.Get()},
                         {"document", DocumentToJson(document.m_text)}});
  }
  return {{"version", ToJson(config.m_version)},
          {"documents", std::move(documents)}};
}

Json ToJson(const AuditRecord& record) {
  return {{"offset", record.m_offset.Get()},
          {"kind", ToText(record.m_kind)},
          {"time", FormatTime(record.m_time)},
          {"author", record.m_author},
          {"subject", record.m_subject},
          {"from_version", ToJson(record.m_from_version)},
          {"change_id", record.m_change_id},
          {"accepted", record.m_is_accepted},
          {"reason", record.m_reason},
          {"differences", record.m_differences}};
}

Json ToJson(const InstanceInfo& instance) {
  return {{"instance", ToString(instance.m_instance)},
          {"service", instance.m_service},
          {"node", ToString(instance.m_node)},
          {"region", instance.m_region},
          {"failure_domain", instance.m_failure_domain},
          {"incarnation", instance.m_incarnation.Get()},
          {"standing", ToText(instance.m_condition)},
          {"slots", instance.m_slots}};
}

Json ToJson(const NodeInfo& node) {
  return {{"node", ToString(node.m_node)},
          {"incarnation", node.m_incarnation.Get()},
          {"region", node.m_region},
          {"failure_domain", node.m_failure_domain},
          {"site", node.m_site},
          {"draining", node.m_is_draining},
          {"unreachable", node.m_is_unreachable},
          {"config_version", ToJson(node.m_config_version)},
          {"instances", node.m_instances}};
}

Json ToJson(const ServiceInfo& service,
            const std::vector<InstanceInfo>& instances) {
  uint64_t slots = 0;
  uint32_t total = 0;
  uint32_t counts[std::size(kConditions)] = {};
  for (const InstanceInfo& instance : instances) {
    if (instance.m_service != service.m_name) {
      continue;
    }
    ++total;
    ++counts[static_cast<size_t>(instance.m_condition)];
    slots += instance.m_slots;
  }
  Json json = {{"service", service.m_name},
               {"floor", service.m_floor},
               {"slots", slots},
               {"instances", total}};
  for (const InstanceCondition condition : kConditions) {
    json[ToText(condition)] = counts[static_cast<size_t>(condition)];
  }
  return json;
}

}  // namespace sequoiastage
