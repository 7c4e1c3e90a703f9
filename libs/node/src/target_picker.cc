#include "target_picker_p.h"

#include <utility>

namespace sequoiastage {

namespace {

constexpr std::chrono::seconds kSweepInterval{10};

}  // namespace

Target TargetPicker::Pick(ServiceId service,
                          const SelectionRequest& request,
                          TimePoint now) {
  const auto* instances = InstancesOf(service);
  if (instances == nullptr) {
    return {};
  }
  if (!request.m_tried.empty()) {
    // What this node knew of the subset was wrong for this request.
    return ToTarget(First(*instances, Among::kAll, request, now));
  }
  const Best best = First(*instances, Among::kSubset, request, now);
  if (best.m_is_of_all || (best.HasRoom() && best.IsNear())) {
    return ToTarget(best);
  }
  const Best best_of_all = First(*instances, Among::kAll, request, now);
  const bool is_subset_as_good = best.HasRoom() && !best_of_all.IsNear();
  return ToTarget(is_subset_as_good ? best : best_of_all);
}

Target TargetPicker::PickCopy(ServiceId service,
                              const SelectionRequest& request,
                              TimePoint now) {
  const auto* instances = InstancesOf(service);
  if (instances == nullptr) {
    return {};
  }
  const Ordered ordered = Order(*instances, Among::kAll, request, now);
  for (const Choice& choice : ordered.m_choices) {
    const InstanceView& instance = *ordered.m_instances[choice.m_index];
    if (choice.m_reason == ChoiceReason::kHealthy &&
        instance.m_locality != Locality::kOtherRegion) {
      return {.m_instance = &instance};
    }
  }
  return {};
}

const std::vector<InstanceView>* TargetPicker::InstancesOf(
    ServiceId service) const {
  if (m_view == nullptr) {
    return nullptr;
  }
  const auto it = m_view->m_instances.find(service);
  return it == m_view->m_instances.end() ? nullptr : &it->second;
}

TargetPicker::Ordered TargetPicker::Order(
    const std::vector<InstanceView>& instances,
    Among among,
    const SelectionRequest& request,
    TimePoint now) {
  Ordered ordered;
  std::vector<Candidate> candidates;
  candidates.reserve(instances.size());
  ordered.m_instances.reserve(instances.size());
  for (const InstanceView& instance : instances) {
    if (among == Among::kAll || instance.m_is_in_subset) {
      candidates.push_back(ToCandidate(instance, now));
      ordered.m_instances.push_back(&instance);
    }
  }
  ordered.m_choices = m_selector.Order(candidates, request, m_random);
  return ordered;
}

TargetPicker::Best TargetPicker::First(
    const std::vector<InstanceView>& instances,
    Among among,
    const SelectionRequest& request,
    TimePoint now) {
  const Ordered ordered = Order(instances, among, request, now);
  const bool is_of_all = ordered.m_instances.size() == instances.size();
  const std::vector<Choice>& choices = ordered.m_choices;
  if (choices.empty() || choices.front().m_reason == ChoiceReason::kTried) {
    return {.m_is_of_all = is_of_all};
  }
  return {.m_instance = ordered.m_instances[choices.front().m_index],
          .m_reason = choices.front().m_reason,
          .m_is_of_all = is_of_all};
}

Target TargetPicker::ToTarget(const Best& best) {
  return {.m_instance = best.m_instance,
          .m_accept_suspect = best.m_instance != nullptr && !best.HasRoom()};
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
