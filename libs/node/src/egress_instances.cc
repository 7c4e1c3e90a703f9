#include <algorithm>
#include <utility>

#include "egress_p.h"

// The instances of the egress: changes, health probes and load reports.
namespace sequoiastage {

namespace {

// Health probes of an ejected instance.
constexpr std::chrono::seconds kProbeInterval{1};
constexpr std::chrono::seconds kProbeTimeout{1};
constexpr size_t kMaxProbeBytes = size_t{64} << 10;

// Maximum number of instances on other nodes that a refusal lists.
constexpr size_t kMaxHints = 3;

bool IsHealthy(const HttpCallResult& probe) {
  constexpr uint16_t kFirstSuccess = 200;
  constexpr uint16_t kFirstRedirect = 300;
  return probe.m_error == HttpCallError::kNone &&
         probe.m_response.m_status >= kFirstSuccess &&
         probe.m_response.m_status < kFirstRedirect;
}

// A policy that allows more frequent false ejections favors fast detection.
EjectionPolicy SelectEjectionPolicy(double false_ejection_hours) {
  EjectionPolicy policy =
      false_ejection_hours < kCautiousPolicy.m_false_ejection_hours
          ? kFastPolicy
          : kCautiousPolicy;
  policy.m_false_ejection_hours = false_ejection_hours;
  return policy;
}

}  // namespace

void Egress::SetInstances(const std::vector<LocalInstance>& instances) {
  std::unordered_map<InstanceId, Instance> old = std::exchange(m_instances, {});
  for (const LocalInstance& local : instances) {
    const auto it = old.find(local.m_id);
    if (it == old.end() ||
        it->second.m_local.m_incarnation != local.m_incarnation) {
      m_instances.emplace(local.m_id, MakeInstance(local));
      continue;
    }
    Instance& existing =
        m_instances.emplace(local.m_id, std::move(it->second)).first->second;
    old.erase(it);
    UpdateInstance(existing, local);
  }
  for (auto& [id, removed] : old) {
    const auto attempts = std::exchange(removed.m_attempts, {});
    for (const auto& [ticket, attempt] : attempts) {
      if (removed.m_gate.CancelQueued(ticket)) {
        m_ledger.MarkRefused(attempt);
        CancelQueued(attempt);
      }
    }
  }
}

Egress::Instance Egress::MakeInstance(const LocalInstance& local) {
  const TimePoint now = Now();
  Instance instance{
      .m_local = local,
      .m_judge = InstanceJudge(
          MakeJudgeOptions(SelectEjectionPolicy(local.m_false_ejection_hours)),
          now),
      .m_gate = SlotGate(
          {.m_slots = local.m_slots, .m_max_queued = local.m_queue_length})};
  if (local.m_is_ejected) {
    instance.m_judge.OnEjected(now);
  }
  return instance;
}

void Egress::UpdateInstance(Instance& instance, const LocalInstance& local) {
  const TimePoint now = Now();
  if (local.m_is_ejected && !instance.m_local.m_is_ejected) {
    instance.m_judge.OnEjected(now);
  } else if (!local.m_is_ejected && instance.m_local.m_is_ejected) {
    instance.m_judge.OnReadmitted(now);
  }
  const LocalInstance before = std::exchange(instance.m_local, local);
  if (local.m_false_ejection_hours != before.m_false_ejection_hours) {
    instance.m_judge.SetPolicy(
        now, SelectEjectionPolicy(local.m_false_ejection_hours));
  }
  if (local.m_slots != before.m_slots) {
    ApplyGateChanges(instance, instance.m_gate.Resize(local.m_slots, now));
  }
  if (local.m_queue_length != before.m_queue_length) {
    ApplyGateChanges(instance,
                     instance.m_gate.SetMaxQueued(local.m_queue_length));
  }
}

void Egress::SetBaseline(InstanceId instance, const PeerBaseline& baseline) {
  if (Instance* existing = Find(instance)) {
    existing->m_judge.UpdateBaseline(Now(), baseline);
  }
}

void Egress::SetSiblings(ServiceId service, std::vector<InstanceLoad> loads) {
  const auto rank = [](const InstanceLoad& load) {
    const int free = load.m_slots - load.m_in_use - load.m_queued;
    return std::pair(load.m_is_suspect, -free);
  };
  std::sort(loads.begin(), loads.end(),
            [&rank](const InstanceLoad& a, const InstanceLoad& b) {
              return rank(a) < rank(b);
            });
  loads.resize(std::min(loads.size(), kMaxHints));
  m_siblings[service] = std::move(loads);
}

std::vector<InstanceLoad> Egress::CollectHints(ServiceId service) const {
  std::vector<InstanceLoad> hints = CollectLoads(service);
  const auto siblings = m_siblings.find(service);
  if (siblings != m_siblings.end()) {
    hints.insert(hints.end(), siblings->second.begin(), siblings->second.end());
  }
  return hints;
}

void Egress::Tick() {
  const TimePoint now = Now();
  for (auto& [id, instance] : m_instances) {
    instance.m_judge.OnTick(now);
    ProbeIfEjected(instance, now);
    ApplyGateChanges(instance, instance.m_gate.OnTick(now));
  }
}

void Egress::ProbeIfEjected(Instance& instance, TimePoint now) {
  const LocalInstance& local = instance.m_local;
  if (!local.m_is_ejected || local.m_health_path.empty() ||
      now < instance.m_next_probe) {
    return;
  }
  instance.m_next_probe = now + kProbeInterval;
  m_client.Start({.m_server = local.m_id.Get(),
                  .m_timeout = kProbeTimeout,
                  .m_max_body_bytes = kMaxProbeBytes,
                  .m_is_idempotent = true},
                 {.m_method = "GET", .m_target = local.m_health_path},
                 [this, id = local.m_id, incarnation = local.m_incarnation](
                     const HttpCallResult& result) {
                   OnProbeEnd(id, incarnation, result);
                 });
}

void Egress::OnProbeEnd(InstanceId id,
                        Incarnation incarnation,
                        const HttpCallResult& result) {
  Instance* instance = Find(id);
  if (instance == nullptr || instance->m_local.m_incarnation != incarnation) {
    return;
  }
  instance->m_judge.OnProbe(Now(), IsHealthy(result));
}

std::vector<InstanceReport> Egress::Reports() const {
  const TimePoint now = Now();
  std::vector<InstanceReport> reports;
  reports.reserve(m_instances.size());
  for (const auto& [id, instance] : m_instances) {
    reports.push_back(
        {.m_id = id,
         .m_service = instance.m_local.m_service,
         .m_incarnation = instance.m_local.m_incarnation,
         .m_judge = instance.m_judge.Report(),
         .m_summary = instance.m_judge.Summary(now),
         .m_slots = instance.m_local.m_slots,
         .m_in_use = static_cast<uint16_t>(instance.m_gate.Running()),
         .m_queued = static_cast<uint16_t>(instance.m_gate.Queued())});
  }
  return reports;
}

std::vector<InstanceLoad> Egress::CollectLoads(ServiceId service) const {
  std::vector<InstanceLoad> loads;
  for (const auto& [id, instance] : m_instances) {
    if (instance.m_local.m_service != service) {
      continue;
    }
    loads.push_back(
        {.m_instance = id,
         .m_slots = instance.m_local.m_slots,
         .m_in_use = static_cast<uint16_t>(instance.m_gate.Running()),
         .m_queued = static_cast<uint16_t>(instance.m_gate.Queued()),
         .m_is_suspect =
             instance.m_judge.Report().m_verdict != Verdict::kHealthy});
  }
  return loads;
}

}  // namespace sequoiastage
