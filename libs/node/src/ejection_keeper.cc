#include "ejection_keeper_p.h"

#include "sequoiastage/logging/log_event.h"

namespace sequoiastage {

namespace {

constexpr std::chrono::seconds kRequestInterval{3};
// Share of failed outcomes up to which an instance counts as working.
constexpr double kMaxWorkingFailureShare = 0.1;

bool IsServing(const MemberView& view, const InstanceEntry& instance) {
  return view.m_entry->m_state == HostState::kLive && !view.m_unreachable &&
         instance.m_state == InstanceState::kServing;
}

}  // namespace

bool IsWorking(const Sibling& sibling, Incarnation run) {
  if (sibling.m_run != RunTagOf(run) && sibling.m_run != RunTag(0)) {
    return false;
  }
  const InstanceSummary& summary = sibling.m_summary.m_summary;
  return summary.m_recent_outcomes > 0 &&
         summary.m_recent_failures <=
             kMaxWorkingFailureShare * summary.m_recent_outcomes;
}

void EjectionKeeper::OnReports(const std::vector<InstanceReport>& reports,
                               const Siblings& siblings,
                               TimePoint now) {
  for (const InstanceReport& report : reports) {
    const bool is_ejection_due =
        report.m_judge.m_verdict == Verdict::kEjectionDue &&
        !report.m_judge.m_is_ejected;
    if (!is_ejection_due && !report.m_judge.m_readmission_due) {
      continue;
    }
    const auto last_request = m_last_requests.find(report.m_id);
    if (last_request != m_last_requests.end() &&
        now - last_request->second < kRequestInterval) {
      continue;
    }
    m_last_requests[report.m_id] = now;
    if (is_ejection_due) {
      RequestEjection(report, siblings);
    } else {
      RequestReadmission(report);
    }
  }
}

void EjectionKeeper::RequestEjection(const InstanceReport& report,
                                     const Siblings& siblings) {
  const std::string* name = FindServiceName(report.m_service);
  if (name == nullptr || !m_feed->IsLogReachable()) {
    return;
  }
  std::string reason;
  const auto grant = ProposeEjection(
      MakeHeader("eject", report), *name,
      {.m_instance = report.m_id, .m_incarnation = report.m_incarnation},
      CollectStatuses(report.m_service, siblings),
      m_feed->Replay().FindFloor(report.m_service),
      m_feed->FindEjections(report.m_service), &reason);
  LogEvent(LogLevel::kInfo, grant ? "ejection_asked" : "ejection_not_possible")
      .Add("instance", ToString(report.m_id))
      .Add("service", *name)
      .Add("reason", reason);
  if (grant) {
    m_feed->Append(*grant);
  }
}

void EjectionKeeper::RequestReadmission(const InstanceReport& report) {
  const std::string* name = FindServiceName(report.m_service);
  const ServiceEjections& ejections = m_feed->FindEjections(report.m_service);
  const auto ejection = ejections.m_ejected.find(report.m_id);
  if (name == nullptr || ejection == ejections.m_ejected.end()) {
    return;
  }
  LogEvent(LogLevel::kInfo, "readmission_asked")
      .Add("instance", ToString(report.m_id))
      .Add("service", *name);
  m_feed->Append(
      Readmission{.m_header = MakeHeader("readmit", report),
                  .m_service = *name,
                  .m_target = {.m_instance = report.m_id,
                               .m_incarnation = report.m_incarnation},
                  .m_grant = ejection->second.m_grant});
}

RecordHeader EjectionKeeper::MakeHeader(const char* kind,
                                        const InstanceReport& report) {
  const WallTime now = WallNow();
  return {.m_change_id = std::string(kind) + "-" + ToString(report.m_id) + "-" +
                         std::to_string(now.time_since_epoch().count()),
          .m_author = ToString(m_membership->LocalEntry().m_node),
          .m_time = now};
}

std::vector<InstanceStatus> EjectionKeeper::CollectStatuses(
    ServiceId service,
    const Siblings& siblings) const {
  std::vector<InstanceStatus> statuses;
  for (const MemberView& view : m_membership->Members()) {
    for (const InstanceEntry& instance : view.m_entry->m_instances) {
      if (instance.m_service != service) {
        continue;
      }
      const auto known = siblings.find({service, instance.m_id});
      const bool is_working = known != siblings.end() &&
                              IsServing(view, instance) &&
                              !instance.m_suspect &&
                              IsWorking(known->second, instance.m_incarnation);
      statuses.push_back({.m_run = {.m_instance = instance.m_id,
                                    .m_incarnation = instance.m_incarnation},
                          .m_next_offset = view.m_entry->m_config_version,
                          .m_is_working = is_working});
    }
  }
  return statuses;
}

void EjectionKeeper::Refresh() {
  std::set<InstanceRun> enforced;
  for (const auto& [service, ejections] : m_feed->EnforcedEjections()) {
    if (ejections.m_ejected.empty()) {
      continue;
    }
    std::vector<InstanceRun> serving;
    for (const MemberView& view : m_membership->Members()) {
      for (const InstanceEntry& instance : view.m_entry->m_instances) {
        if (instance.m_service == service && IsServing(view, instance)) {
          serving.push_back({.m_instance = instance.m_id,
                             .m_incarnation = instance.m_incarnation});
        }
      }
    }
    const auto runs = SelectEnforcedEjections(
        ejections, serving, m_feed->Replay().FindFloor(service));
    enforced.insert(runs.begin(), runs.end());
  }
  m_enforced = std::move(enforced);
}

bool EjectionKeeper::IsEjected(InstanceId instance,
                               Incarnation incarnation) const {
  return m_enforced.count(
             {.m_instance = instance, .m_incarnation = incarnation}) > 0;
}

const std::string* EjectionKeeper::FindServiceName(ServiceId service) const {
  const Config* config = m_feed->InForce().get();
  const Service* found =
      config == nullptr ? nullptr : config->FindService(service);
  return found == nullptr ? nullptr : &found->m_name;
}

}  // namespace sequoiastage
