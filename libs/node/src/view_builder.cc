#include "view_builder_p.h"

#include <string_view>

#include "sequoiastage/routing/subset.h"

namespace sequoiastage {

namespace {

// For services of up to this size a subset would save hardly any connections,
// as selection prefers nearby instances anyway.
constexpr size_t kMaxServiceSizeWithoutSubset = 36;

Locality ComputeLocality(const MemberEntry& member, const MemberEntry& own) {
  if (member.m_node.Get().m_ip == own.m_node.Get().m_ip) {
    return Locality::kOwnHost;
  }
  if (member.m_region != own.m_region) {
    return Locality::kOtherRegion;
  }
  return member.m_failure_domain == own.m_failure_domain
             ? Locality::kOwnFailureDomain
             : Locality::kOwnRegion;
}

using InstanceViews = std::unordered_map<ServiceId, std::vector<InstanceView>>;
using InstanceRegions =
    std::unordered_map<ServiceId, std::vector<std::string_view>>;

// Marks the subset of `service`, chosen from the reachable instances that are
// not excluded. `regions` holds the region of each of `instances`.
void MarkSubset(ServiceId service,
                const std::vector<std::string_view>& regions,
                const MemberEntry& own,
                std::vector<InstanceView>& instances) {
  if (instances.size() <= kMaxServiceSizeWithoutSubset) {
    return;
  }
  std::vector<SubsetCandidate> candidates;
  std::vector<size_t> indexes;
  for (size_t i = 0; i < instances.size(); ++i) {
    InstanceView& instance = instances[i];
    // Instances on this host need no connection.
    instance.m_is_in_subset = instance.m_locality == Locality::kOwnHost;
    if (!instance.m_is_excluded && !instance.m_is_unreachable) {
      candidates.push_back(
          {.m_instance = instance.m_id, .m_region = regions[i]});
      indexes.push_back(i);
    }
  }
  for (const uint32_t chosen :
       ChooseSubset(candidates, own.m_node, service, own.m_region)) {
    instances[indexes[chosen]].m_is_in_subset = true;
  }
}

}  // namespace

std::unordered_map<ServiceId, std::vector<InstanceView>> BuildInstanceViews(
    const std::vector<MemberView>& members,
    const MemberEntry& own,
    const EjectionPredicate& is_ejected) {
  InstanceViews views;
  InstanceRegions regions;
  for (const MemberView& view : members) {
    const MemberEntry& member = *view.m_entry;
    if (member.m_state == HostState::kLeft) {
      continue;
    }
    for (const InstanceEntry& instance : member.m_instances) {
      const bool is_serving = member.m_state == HostState::kLive &&
                              instance.m_state == InstanceState::kServing;
      regions[instance.m_service].push_back(member.m_region);
      views[instance.m_service].push_back(
          {.m_id = instance.m_id,
           .m_node = member.m_node,
           .m_node_incarnation = member.m_incarnation,
           .m_locality = ComputeLocality(member, own),
           .m_slots = instance.m_slots,
           .m_is_suspect = instance.m_suspect,
           .m_is_warming_up = instance.m_warm_up,
           .m_is_unreachable = view.m_unreachable,
           .m_is_excluded = !is_serving ||
                            is_ejected(instance.m_id, instance.m_incarnation)});
    }
  }
  for (auto& [service, instances] : views) {
    MarkSubset(service, regions[service], own, instances);
  }
  return views;
}

}  // namespace sequoiastage
