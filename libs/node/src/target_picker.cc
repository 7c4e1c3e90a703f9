#include "target_picker_p.h"

#include <utility>

namespace sequoiastage {

namespace {

constexpr std::chrono::seconds kSweepInterval{10};

}  // namespace

Target TargetPicker::Pick(ServiceId service,
                          const SelectionRequest& request,
                          TimePoint now) {
  const auto* instances = FindInstances(service);
  if (instances == nullptr) {
    return {};
  }
  if (!request.m_tried.empty()) {
    // This node's view of the subset was wrong for this request.
    return ToTarget(GetTopChoice(*instances, CandidateSet::kAll, request, now));
  }
  const TopChoice best =
      GetTopChoice(*instances, CandidateSet::kSubset, request, now);
  if (best.m_is_from_all || (best.HasRoom() && best.IsInOwnRegion())) {
    return ToTarget(best);
  }
  const TopChoice best_of_all =
      GetTopChoice(*instances, CandidateSet::kAll, request, now);
  const bool is_subset_as_good = best.HasRoom() && !best_of_all.IsInOwnRegion();
  return ToTarget(is_subset_as_good ? best : best_of_all);
}

Target TargetPicker::PickHedge(ServiceId service,
                               const SelectionRequest& request,
                               TimePoint now) {
  const auto* instances = FindInstances(service);
  if (instances == nullptr) {
    return {};
  }
  const RankedInstances ranked =
      RankInstances(*instances, CandidateSet::kAll, request, now);
  for (const Choice& choice : ranked.m_choices) {
    const InstanceView& instance = *ranked.m_instances[choice.m_index];
    if (choice.m_reason == ChoiceReason::kHealthy &&
        instance.m_locality != Locality::kOtherRegion) {
      return {.m_instance = &instance};
    }
  }
  return {};
}

const std::vector<InstanceView>* TargetPicker::FindInstances(
    ServiceId service) const {
  if (m_view == nullptr) {
    return nullptr;
  }
  const auto it = m_view->m_instances.find(service);
  return it == m_view->m_instances.end() ? nullptr : &it->second;
}

TargetPicker::RankedInstances TargetPicker::RankInstances(
    const std::vector<InstanceView>& instances,
    CandidateSet candidate_set,
    const SelectionRequest& request,
    TimePoint now) {
  RankedInstances ranked;
  std::vector<Candidate> candidates;
  candidates.reserve(instances.size());
  ranked.m_instances.reserve(instances.size());
  for (const InstanceView& instance : instances) {
    if (candidate_set == CandidateSet::kAll || instance.m_is_in_subset) {
      candidates.push_back(ToCandidate(instance, now));
      ranked.m_instances.push_back(&instance);
    }
  }
  ranked.m_choices = m_selector.Order(candidates, request, m_random);
  return ranked;
}

TargetPicker::TopChoice TargetPicker::GetTopChoice(
    const std::vector<InstanceView>& instances,
    CandidateSet candidate_set,
    const SelectionRequest& request,
    TimePoint now) {
  const RankedInstances ranked =
      RankInstances(instances, candidate_set, request, now);
  const bool is_from_all = ranked.m_instances.size() == instances.size();
  const std::vector<Choice>& choices = ranked.m_choices;
  if (choices.empty() || choices.front().m_reason == ChoiceReason::kTried) {
    return {.m_is_from_all = is_from_all};
  }
  return {.m_instance = ranked.m_instances[choices.front().m_index],
          .m_reason = choices.front().m_reason,
          .m_is_from_all = is_from_all};
}

Target TargetPicker::ToTarget(const TopChoice& best) {
  return {.m_instance = best.m_instance,
          .m_accept_suspect = best.m_instance != nullptr && !best.HasRoom()};
}

bool TargetPicker::IsReplaced(const InstanceView& instance) const {
  const auto found = m_replaced_incarnations.find(instance.m_node);
  return found != m_replaced_incarnations.end() &&
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
  if (node != m_own_node) {
    m_paths.OnSent(node, now);
  }
}

void TargetPicker::OnEnded(InstanceId instance, NodeId node, TimePoint now) {
  m_loads.OnEnded(instance, now);
  if (node != m_own_node) {
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
    m_replaced_incarnations.clear();
  }
  return m_paths.OnTick(now);
}

}  // namespace sequoiastage
