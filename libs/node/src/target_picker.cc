#include "target_picker_p.h"

#include <utility>

namespace sequoiastage {

namespace {

constexpr std::chrono::seconds kSweepInterval{10};

}  // namespace

Target TargetPicker::Pick(ServiceId service,
                          const SelectionRequest& request,
                          TimePoint now) {
  if (m_view == nullptr) {
    return {};
  }
  const auto it = m_view->m_instances.find(service);
  if (it == m_view->m_instances.end()) {
    return {};
  }
  std::vector<Candidate> candidates;
  candidates.reserve(it->second.size());
  for (const InstanceView& instance : it->second) {
    candidates.push_back(ToCandidate(instance, now));
  }
  const std::vector<Choice> order =
      m_selector.Order(candidates, request, m_random);
  if (order.empty() || order.front().m_reason == ChoiceReason::kTried) {
    return {};
  }
  const Choice& choice = order.front();
  return {.m_instance = &it->second[choice.m_index],
          .m_accept_suspect = choice.m_reason != ChoiceReason::kHealthy &&
                              choice.m_reason != ChoiceReason::kProving};
}

bool TargetPicker::IsReplaced(const InstanceView& instance) const {
  const auto found = m_replaced.find(instance.m_node);
  return found != m_replaced.end() &&
         found->second == instance.m_node_incarnation;
}

Candidate TargetPicker::ToCandidate(const InstanceView& instance,
                                    TimePoint now) const {
  const LoadEstimate load = m_loads.Estimate(instance.m_id, now);
  const bool is_suspect = instance.m_is_suspect || load.m_suspect;
  return {.m_instance = instance.m_id,
          .m_node = instance.m_node,
          .m_locality = instance.m_locality,
          .m_health =
              is_suspect ? InstanceHealth::kSuspect : InstanceHealth::kHealthy,
          .m_draining = instance.m_is_excluded,
          .m_warm_up = instance.m_is_warming_up,
          .m_unreachable = instance.m_is_unreachable ||
                           m_paths.IsSuspect(instance.m_node) ||
                           IsReplaced(instance),
          .m_slots = instance.m_slots,
          .m_load = load.m_load};
}

void TargetPicker::OnSent(InstanceId instance, NodeId node, TimePoint now) {
  m_loads.OnSent(instance, now);
  if (node != m_own) {
    m_paths.OnSent(node, now);
  }
}

void TargetPicker::OnEnded(InstanceId instance, NodeId node, TimePoint now) {
  m_loads.OnEnded(instance, now);
  if (node != m_own) {
    m_paths.OnEnded(node, now);
  }
}

void TargetPicker::OnLoads(const std::vector<InstanceLoad>& loads,
                           TimePoint now) {
  for (const InstanceLoad& load : loads) {
    m_loads.OnReport(load.m_instance,
                     {.m_in_use = load.m_in_use,
                      .m_queued = load.m_queued,
                      .m_suspect = load.m_is_suspect},
                     now);
  }
}

std::vector<NodeId> TargetPicker::OnTick(TimePoint now) {
  if (now >= m_next_sweep) {
    m_next_sweep = now + kSweepInterval;
    m_loads.Sweep(now);
    m_replaced.clear();
  }
  return m_paths.OnTick(now);
}

}  // namespace sequoiastage
