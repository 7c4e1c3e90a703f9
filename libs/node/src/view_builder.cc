#include "view_builder_p.h"

namespace sequoiastage {

namespace {

Locality LocalityOf(const MemberEntry& member, const MemberEntry& own) {
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

}  // namespace

std::unordered_map<ServiceId, std::vector<InstanceView>> BuildInstanceViews(
    const std::vector<MemberView>& members,
    const MemberEntry& own,
    const IsEjected& is_ejected) {
  std::unordered_map<ServiceId, std::vector<InstanceView>> views;
  for (const MemberView& view : members) {
    const MemberEntry& member = *view.m_entry;
    if (member.m_state == HostState::kLeft) {
      continue;
    }
    for (const InstanceEntry& instance : member.m_instances) {
      const bool is_serving = member.m_state == HostState::kLive &&
                              instance.m_state == InstanceState::kServing;
      views[instance.m_service].push_back(
          {.m_id = instance.m_id,
           .m_node = member.m_node,
           .m_node_incarnation = member.m_incarnation,
           .m_locality = LocalityOf(member, own),
           .m_slots = instance.m_slots,
           .m_is_suspect = instance.m_suspect,
           .m_is_warming_up = instance.m_warm_up,
           .m_is_unreachable = view.m_unreachable,
           .m_is_excluded = !is_serving ||
                            is_ejected(instance.m_id, instance.m_incarnation)});
    }
  }
  return views;
}

}  // namespace sequoiastage
