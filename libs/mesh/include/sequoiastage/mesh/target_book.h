#ifndef SEQUOIASTAGE_MESH_TARGET_BOOK_H_
#define SEQUOIASTAGE_MESH_TARGET_BOOK_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "sequoiastage/mesh/member_record.h"
#include "sequoiastage/routing/placement.h"
#include "sequoiastage/wire/messages.h"

namespace sequoiastage {

struct TargetBookOptions {
  /// What an egress told of its load counts for so long: about one request.
  Duration m_load_valid = std::chrono::milliseconds(150);
};

/// What this ingress knows of the other nodes' instances: who has one, from
/// their records, and how it stands, from the replies of their egresses.
class TargetBook {
 public:
  explicit TargetBook(MemberRecord own, const TargetBookOptions& options = {})
      : m_own(std::move(own)), m_options(options) {}

  /// A node's record, or its newer one.
  void SetMember(const MemberRecord& member);

  /// The node said itself that it takes no new work.
  void SetLeaving(NodeId node);

  void OnStanding(NodeId node, const EgressLoadReport& standing, TimePoint now);
  /// Work that this ingress has offered there.
  void OnSent(NodeId node);
  void OnEnded(NodeId node);

  /// Instances of `service` that take work; `is_usable` tells whether the path
  /// to a node is open.
  std::vector<PlacementCandidate> Candidates(
      ServiceId service,
      TimePoint now,
      const std::function<bool(NodeId)>& is_usable) const;

  /// Since the egress told of its load; empty when it has not.
  std::optional<Duration> ToldAge(NodeId node, TimePoint now) const;

  /// Null when no such node is known.
  const MemberRecord* Find(NodeId node) const;

  /// How many instances of `service` are known.
  uint32_t ServiceSize(ServiceId service) const;

  const MemberRecord& Own() const { return m_own; }
  size_t size() const { return m_targets.size(); }

  /// Nodes of the own region that are not leaving, the own one included.
  std::vector<NodeId> RegionNodes() const;

 private:
  struct Target {
    MemberRecord m_member;
    EgressLoadReport m_standing;
    TimePoint m_told_at{};
    uint32_t m_in_flight = 0;
  };

  MemberRecord m_own;
  TargetBookOptions m_options;
  std::unordered_map<NodeId, Target> m_targets;
  // Nodes with an instance, by its service: a request looks at these alone.
  std::unordered_map<ServiceId, std::unordered_set<NodeId>> m_by_service;
};

/// The key that Candidates() gives to the instance of `node`, and back.
CandidateKey KeyOf(NodeId node);
NodeId NodeOf(CandidateKey key);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_TARGET_BOOK_H_
