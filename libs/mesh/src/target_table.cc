#include "sequoiastage/mesh/target_table.h"

#include <algorithm>
#include <utility>

namespace sequoiastage {

namespace {

constexpr int kPortBits = 16;

}  // namespace

CandidateKey ToCandidateKey(NodeId node) {
  return CandidateKey(uint64_t{node.Get().m_ip} << kPortBits |
                      node.Get().m_port);
}

NodeId ToNodeId(CandidateKey key) {
  return NodeId(Endpoint{.m_ip = static_cast<uint32_t>(key.Get() >> kPortBits),
                         .m_port = static_cast<uint16_t>(key.Get())});
}

void TargetTable::SetMember(const MemberRecord& member) {
  Target& target = m_targets[member.m_node];
  if (target.m_member.Instance() != member.Instance()) {
    target.m_load = {};
    target.m_load_reported_at = {};
  }
  if (!target.m_member.m_instance.empty()) {
    m_by_service[target.m_member.m_service].erase(member.m_node);
  }
  if (!member.m_instance.empty()) {
    m_by_service[member.m_service].insert(member.m_node);
  }
  target.m_member = member;
  target.m_member.m_is_leaving |= IsOfLeavingProcess(member);
}

void TargetTable::RemoveMember(NodeId node) {
  const auto found = m_targets.find(node);
  if (found == m_targets.end()) {
    return;
  }
  m_by_service[found->second.m_member.m_service].erase(node);
  m_targets.erase(found);
}

void TargetTable::MarkInstanceLeaving(NodeId node,
                                      const InstanceIncarnation& instance) {
  m_leaving_instances[node].Add(instance);
}

bool TargetTable::HasLeavingInstance(const MemberRecord& member) const {
  const auto found = m_leaving_instances.find(member.m_node);
  return found != m_leaving_instances.end() &&
         found->second.Contains(member.Instance());
}

bool TargetTable::IsOfLeavingProcess(const MemberRecord& member) const {
  const auto found = m_leaving_processes.find(member.m_node);
  return found != m_leaving_processes.end() &&
         found->second.Contains(member.m_incarnation);
}

bool TargetTable::MarkNodeLeaving(const PeerKey& process) {
  m_leaving_processes[process.m_node].Add(process.m_incarnation);
  const auto found = m_targets.find(process.m_node);
  if (found == m_targets.end()) {
    return false;
  }
  MemberRecord& member = found->second.m_member;
  // The record of an older build may be of any process; its next one ends the
  // mark.
  const bool is_concerned = member.m_incarnation == process.m_incarnation ||
                            member.m_incarnation == Incarnation(0);
  member.m_is_leaving |= is_concerned;
  return is_concerned;
}

void TargetTable::UpdateLoad(NodeId node,
                             const EgressLoadReport& load,
                             TimePoint now) {
  const auto found = m_targets.find(node);
  if (found != m_targets.end()) {
    found->second.m_load = load;
    found->second.m_load_reported_at = now;
  }
}

void TargetTable::AddInFlight(NodeId node) {
  ++m_targets[node].m_in_flight;
}

void TargetTable::RemoveInFlight(NodeId node) {
  const auto found = m_targets.find(node);
  if (found != m_targets.end() && found->second.m_in_flight > 0) {
    --found->second.m_in_flight;
  }
}

std::vector<PlacementCandidate> TargetTable::Candidates(
    ServiceId service,
    TimePoint now,
    const std::function<bool(NodeId)>& is_usable) const {
  std::vector<PlacementCandidate> candidates;
  const auto nodes = m_by_service.find(service);
  if (nodes == m_by_service.end()) {
    return candidates;
  }
  candidates.reserve(nodes->second.size());
  for (const NodeId node : nodes->second) {
    const Target& target = m_targets.at(node);
    const MemberRecord& member = target.m_member;
    if (member.m_is_leaving || HasLeavingInstance(member)) {
      continue;
    }
    const Duration age = now - target.m_load_reported_at;
    const Duration hold = std::chrono::milliseconds(target.m_load.m_hold_ms);
    const uint32_t reported =
        age < m_options.m_load_validity
            ? target.m_load.m_running + uint32_t{target.m_load.m_queued}
            : 0;
    // Only a limited request rate causes a wait while slots are free.
    const EgressLoadReport& load = target.m_load;
    const bool has_free_slot = load.m_running + load.m_queued < load.m_slots;
    const Duration rate_wait =
        has_free_slot
            ? std::max(Duration{},
                       std::chrono::milliseconds(load.m_expected_wait_ms) - age)
            : Duration{};
    const uint32_t slots = std::max(1U, member.m_slots);
    const uint32_t used =
        rate_wait > Duration{} ? slots : std::max(reported, target.m_in_flight);
    candidates.push_back({.m_key = ToCandidateKey(node),
                          .m_distance = DistanceBetween(m_self, member),
                          .m_is_reachable = is_usable(node),
                          .m_hold_remaining = std::max(Duration{}, hold - age),
                          .m_needs_trial = hold > Duration{} && age >= hold,
                          .m_used_slots = used,
                          .m_slots = slots,
                          .m_rate_wait = rate_wait});
  }
  return candidates;
}

std::optional<Duration> TargetTable::LoadAge(NodeId node, TimePoint now) const {
  const auto found = m_targets.find(node);
  if (found == m_targets.end() ||
      found->second.m_load_reported_at == TimePoint{}) {
    return std::nullopt;
  }
  return now - found->second.m_load_reported_at;
}

const MemberRecord* TargetTable::Find(NodeId node) const {
  const auto found = m_targets.find(node);
  return found == m_targets.end() ? nullptr : &found->second.m_member;
}

uint32_t TargetTable::InstanceCount(ServiceId service) const {
  const auto nodes = m_by_service.find(service);
  return nodes == m_by_service.end()
             ? 0
             : static_cast<uint32_t>(nodes->second.size());
}

std::vector<NodeId> TargetTable::Nodes() const {
  std::vector<NodeId> nodes;
  nodes.reserve(m_targets.size());
  for (const auto& [node, target] : m_targets) {
    nodes.push_back(node);
  }
  return nodes;
}

std::vector<NodeId> TargetTable::RegionNodes() const {
  std::vector<NodeId> nodes;
  for (const auto& [node, target] : m_targets) {
    if (target.m_member.m_region == m_self.m_region &&
        !target.m_member.m_is_leaving) {
      nodes.push_back(node);
    }
  }
  return nodes;
}

}  // namespace sequoiastage
