#ifndef SEQUOIASTAGE_MESH_TARGET_TABLE_H_
#define SEQUOIASTAGE_MESH_TARGET_TABLE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "sequoiastage/mesh/member_record.h"
#include "sequoiastage/mesh/peer_key.h"
#include "sequoiastage/mesh/recent_set.h"
#include "sequoiastage/routing/placement.h"
#include "sequoiastage/wire/messages.h"

namespace sequoiastage {

struct TargetTableOptions {
  /// Validity of a load report: about the duration of one request.
  Duration m_load_validity = std::chrono::milliseconds(150);
};

/// Instances of all nodes as seen by this ingress: which node has an instance,
/// from member records, and its load and hold, from replies of the egresses.
class TargetTable {
 public:
  explicit TargetTable(MemberRecord self,
                       const TargetTableOptions& options = {})
      : m_self(std::move(self)), m_options(options) {}

  /// Adds or replaces the record of a node. A process that is marked as leaving
  /// stays so, whatever its records state.
  void SetMember(const MemberRecord& member);

  /// Removes a node. Attempts that are in flight there are no longer counted.
  void RemoveMember(NodeId node);

  /// This incarnation of the instance at `node` has stated that it is leaving.
  /// It is not used again, also when its node restarts without knowing that;
  /// another incarnation is.
  void MarkInstanceLeaving(NodeId node, const InstanceIncarnation& instance);

  /// This process of a node has announced that it accepts no new offers. Other
  /// processes of the node are not affected, whether their records are known by
  /// now or arrive later. Returns whether the known record is of this process.
  bool MarkNodeLeaving(const PeerKey& process);

  void UpdateLoad(NodeId node, const EgressLoadReport& load, TimePoint now);
  /// Counts an attempt that this ingress has offered to `node`.
  void AddInFlight(NodeId node);
  void RemoveInFlight(NodeId node);

  /// Returns the instances of `service` that accept requests. `is_usable`
  /// states whether the path to a node is open.
  std::vector<PlacementCandidate> Candidates(
      ServiceId service,
      TimePoint now,
      const std::function<bool(NodeId)>& is_usable) const;

  /// Age of the last load report of the egress; empty when there is none.
  std::optional<Duration> LoadAge(NodeId node, TimePoint now) const;

  /// Null when the node is unknown.
  const MemberRecord* Find(NodeId node) const;

  /// Number of known instances of `service`, including those of leaving nodes.
  uint32_t InstanceCount(ServiceId service) const;

  const MemberRecord& Self() const { return m_self; }
  size_t size() const { return m_targets.size(); }

  /// All known nodes.
  std::vector<NodeId> Nodes() const;

  /// Nodes of the local region that are not leaving, including the local node.
  std::vector<NodeId> RegionNodes() const;

 private:
  struct Target {
    MemberRecord m_member;
    EgressLoadReport m_load;
    TimePoint m_load_reported_at{};
    uint32_t m_in_flight = 0;
  };

  // Messages of earlier processes may arrive late, over any number of
  // connections; only a few processes of a node end within that time.
  static constexpr size_t kMaxMarks = 4;

  bool HasLeavingInstance(const MemberRecord& member) const;
  bool IsOfLeavingProcess(const MemberRecord& member) const;

  MemberRecord m_self;
  TargetTableOptions m_options;
  std::unordered_map<NodeId, Target> m_targets;
  // Processes of each node that announced that they are leaving. Also kept when
  // the member is removed.
  std::unordered_map<NodeId, RecentSet<Incarnation, kMaxMarks>>
      m_leaving_processes;
  // Instances of each node that stated their departure. Kept when the member is
  // removed, since it may come back.
  std::unordered_map<NodeId, RecentSet<InstanceIncarnation, kMaxMarks>>
      m_leaving_instances;
  // Index of nodes by the service of their instance, so that a request only
  // visits the instances of its own service.
  std::unordered_map<ServiceId, std::unordered_set<NodeId>> m_by_service;
};

/// Converts between a node and the key of its instance in Candidates().
CandidateKey ToCandidateKey(NodeId node);
NodeId ToNodeId(CandidateKey key);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_TARGET_TABLE_H_
