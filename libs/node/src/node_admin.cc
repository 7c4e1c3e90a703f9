#include "node_admin_p.h"

#include <memory>
#include <utility>

#include "problem_p.h"
#include "sequoiastage/checkedjson/json_reader.h"
#include "sequoiastage/execution/idempotency_key.h"
#include "sequoiastage/logging/log_event.h"

namespace sequoiastage {

namespace {

constexpr char kSoftwareVersion[] = SEQUOIASTAGE_VERSION;
constexpr size_t kMaxBodyBytes = size_t{9} << 20;
constexpr uint16_t kAcceptedStatus = 202;

// Version of the state in which `offset` is the next record to apply; empty for
// offset 0.
std::optional<LogOffset> VersionBefore(LogOffset offset) {
  if (offset.Get() == 0) {
    return std::nullopt;
  }
  return LogOffset(offset.Get() - 1);
}

KeyOutcome ToKeyOutcome(const HttpResponse& response) {
  if (response.m_status == kAcceptedStatus) {
    return KeyOutcome::kRunning;
  }
  const std::string* outcome = FindField(response.m_fields, kOutcomeField);
  if (outcome != nullptr && *outcome == "answered") {
    return KeyOutcome::kAnswered;
  }
  if (outcome != nullptr && *outcome == "not-run") {
    return KeyOutcome::kNotRun;
  }
  return KeyOutcome::kUnknown;
}

// Extracts the human-readable detail of the owner's response.
std::string ParseDetail(const HttpResponse& response) {
  Findings findings;
  std::string detail;
  if (const auto body =
          JsonDocument::Parse("answer", response.m_body, findings)) {
    JsonObject::Root(*body, findings).ReadString("detail", detail);
  }
  return detail;
}

InstanceCondition ClassifyInstance(const InstanceEntry& instance,
                                   bool is_ejected) {
  if (instance.m_state != InstanceState::kServing) {
    return InstanceCondition::kDraining;
  }
  if (is_ejected) {
    return InstanceCondition::kEjected;
  }
  if (instance.m_suspect) {
    return InstanceCondition::kSuspect;
  }
  return instance.m_warm_up ? InstanceCondition::kWarmingUp
                            : InstanceCondition::kHealthy;
}

bool IsInFleet(const MemberView& member) {
  return member.m_entry->m_state != HostState::kLeft;
}

}  // namespace

NodeAdminSource::NodeAdminSource(NodeAdminDependencies dependencies)
    : m_dependencies(std::move(dependencies)), m_start(Now()) {}

NodeStatus NodeAdminSource::Status() {
  const MemberEntry& own = m_dependencies.m_membership->LocalEntry();
  const TrafficStats& traffic = *m_dependencies.m_traffic;
  return {.m_node = own.m_node,
          .m_incarnation = own.m_incarnation,
          .m_software_version = kSoftwareVersion,
          .m_region = own.m_region,
          .m_failure_domain = own.m_failure_domain,
          .m_site = own.m_site,
          .m_uptime = Now() - m_start,
          .m_is_draining = own.m_state != HostState::kLive,
          .m_is_log_reachable = m_dependencies.m_config->IsLogReachable(),
          .m_config_version = VersionBefore(m_dependencies.m_config->Version()),
          .m_requests_in_flight =
              static_cast<uint32_t>(traffic.m_ingress_in_flight)};
}

ConfigState NodeAdminSource::Config() {
  ConfigState config{.m_version =
                         VersionBefore(m_dependencies.m_config->Version())};
  for (const auto& [scope, state] : m_dependencies.m_config->State().m_scopes) {
    config.m_documents.push_back({.m_scope = scope,
                                  .m_version = state.m_version,
                                  .m_text = state.m_content.ToText()});
  }
  return config;
}

ConfigRollout NodeAdminSource::Rollout() {
  ConfigRollout rollout;
  for (const auto& [scope, state] : m_dependencies.m_config->State().m_scopes) {
    if (!rollout.m_version ||
        rollout.m_version->Get() < state.m_version.Get()) {
      rollout.m_version = state.m_version;
    }
  }
  for (const MemberView& member : m_dependencies.m_membership->Members()) {
    if (IsInFleet(member)) {
      rollout.m_nodes.push_back(
          {.m_node = member.m_entry->m_node,
           .m_failure_domain = member.m_entry->m_failure_domain,
           .m_version = VersionBefore(member.m_entry->m_config_version)});
    }
  }
  return rollout;
}

std::vector<ServiceInfo> NodeAdminSource::Services() {
  std::vector<ServiceInfo> services;
  if (m_dependencies.m_config->InForce() == nullptr) {
    return services;
  }
  for (const Service& service :
       m_dependencies.m_config->InForce()->m_services) {
    services.push_back({.m_name = service.m_name, .m_floor = service.m_floor});
  }
  return services;
}

std::vector<InstanceInfo> NodeAdminSource::Instances() {
  std::vector<InstanceInfo> instances;
  for (const MemberView& member : m_dependencies.m_membership->Members()) {
    if (!IsInFleet(member)) {
      continue;
    }
    for (const InstanceEntry& instance : member.m_entry->m_instances) {
      if (instance.m_state != InstanceState::kRemoved) {
        instances.push_back(ToInfo(member, instance));
      }
    }
  }
  return instances;
}

std::vector<NodeInfo> NodeAdminSource::Nodes() {
  std::vector<NodeInfo> nodes;
  for (const MemberView& member : m_dependencies.m_membership->Members()) {
    const MemberEntry& entry = *member.m_entry;
    if (IsInFleet(member)) {
      nodes.push_back(
          {.m_node = entry.m_node,
           .m_incarnation = entry.m_incarnation,
           .m_region = entry.m_region,
           .m_failure_domain = entry.m_failure_domain,
           .m_site = entry.m_site,
           .m_is_draining = entry.m_state == HostState::kDraining,
           .m_is_unreachable = member.m_unreachable,
           .m_config_version = VersionBefore(entry.m_config_version),
           .m_instances = static_cast<uint32_t>(entry.m_instances.size())});
    }
  }
  return nodes;
}

std::vector<AuditRecord> NodeAdminSource::Audit() {
  std::vector<AuditRecord> audit;
  for (const AuditEntry& entry : m_dependencies.m_config->State().m_audit) {
    audit.push_back(ToAuditRecord(entry));
  }
  return audit;
}

std::vector<MetricFamily> NodeAdminSource::Metrics() {
  return ToMetrics(
      *m_dependencies.m_traffic,
      {.m_membership = m_dependencies.m_membership->Stats(),
       .m_members = m_dependencies.m_membership->Members().size(),
       .m_local_instances = m_dependencies.m_instances->Entries().size(),
       .m_config_version = m_dependencies.m_config->Version().Get(),
       .m_is_log_reachable = m_dependencies.m_config->IsLogReachable()});
}

void NodeAdminSource::Publish(const PublishRequest& request,
                              const PublishDone& done) {
  LogEvent(LogLevel::kInfo, "publish_requested")
      .Add("scope", request.m_scope)
      .Add("author", request.m_author)
      .Add("change_id", request.m_change_id);
  m_dependencies.m_config->Publish(request, done);
}

void NodeAdminSource::SetDraining(InstanceId instance,
                                  bool draining,
                                  const DrainDone& done) {
  if (m_dependencies.m_instances->SetDrained(instance, draining)) {
    LogEvent(LogLevel::kInfo,
             draining ? "instance_drained" : "instance_undrained")
        .Add("instance", ToString(instance));
    m_dependencies.m_on_instances_changed();
    done({.m_verdict = DrainVerdict::kDone});
    return;
  }
  for (const InstanceInfo& known : Instances()) {
    if (known.m_instance == instance) {
      done({.m_verdict = DrainVerdict::kOtherNode, .m_node = known.m_node});
      return;
    }
  }
  done({.m_verdict = DrainVerdict::kNoSuchInstance});
}

void NodeAdminSource::FindKey(const std::string& key, const KeyInfoDone& done) {
  const auto parsed = ParseKey(key, nullptr);
  if (!parsed) {
    done(std::nullopt);
    return;
  }
  m_dependencies.m_look_up_key(
      key, [owner = parsed->m_owner, done](const HttpResponse& response) {
        done(KeyInfo{.m_outcome = ToKeyOutcome(response),
                     .m_owner = owner,
                     .m_reason = ParseDetail(response)});
      });
}

InstanceInfo NodeAdminSource::ToInfo(const MemberView& member,
                                     const InstanceEntry& instance) const {
  const bool is_ejected = m_dependencies.m_ejections->IsEjected(
      instance.m_id, instance.m_incarnation);
  return {.m_instance = instance.m_id,
          .m_service = ServiceName(instance.m_service),
          .m_node = member.m_entry->m_node,
          .m_region = member.m_entry->m_region,
          .m_failure_domain = member.m_entry->m_failure_domain,
          .m_incarnation = instance.m_incarnation,
          .m_condition = ClassifyInstance(instance, is_ejected),
          .m_slots = instance.m_slots};
}

std::string NodeAdminSource::ServiceName(ServiceId id) const {
  const auto& config = m_dependencies.m_config->InForce();
  const Service* service = config ? config->FindService(id) : nullptr;
  return service != nullptr ? service->m_name : std::to_string(id.Get());
}

NodeAdmin::NodeAdmin(asio::io_context& io,
                     const NodeAdminDependencies& dependencies)
    : m_source(dependencies),
      m_handler({.m_token = dependencies.m_settings->m_admin_token,
                 .m_listen = dependencies.m_settings->m_admin},
                &m_source),
      m_server(io,
               {.m_listen = dependencies.m_settings->m_admin,
                .m_max_body_bytes = kMaxBodyBytes},
               [this](const HttpRequest& request, HttpResponder responder) {
                 OnRequest(request, std::move(responder));
               }) {}

void NodeAdmin::OnRequest(const HttpRequest& request, HttpResponder responder) {
  auto shared_responder = std::make_shared<HttpResponder>(std::move(responder));
  m_handler.Handle(request, [shared_responder](HttpResponse response) {
    shared_responder->Send(std::move(response));
  });
}

}  // namespace sequoiastage
