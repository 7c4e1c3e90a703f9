#ifndef SEQUOIASTAGE_MEMBERSHIP_MEMBERSHIP_H_
#define SEQUOIASTAGE_MEMBERSHIP_MEMBERSHIP_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/time.h"
#include "sequoiastage/membership/member_entry.h"

namespace sequoiastage {

/// Maximum payload of a datagram between members, in bytes.
inline constexpr std::size_t kMaxDatagramBytes = 1200;

/// Maximum GroupReport payload, in bytes.
inline constexpr std::size_t kMaxGroupReportBytes = 512;

struct MembershipOptions {
  /// This node. Its endpoint is where it receives datagrams.
  NodeId m_node{};
  /// Must be greater than that of any earlier process at the same endpoint.
  Incarnation m_incarnation{};
  std::string m_region{};
  std::string m_failure_domain{};
  std::string m_site{};
  /// Nodes contacted at startup and whenever they are unreachable or not
  /// members; the node's own endpoint is skipped.
  std::vector<NodeId> m_seeds{};
  /// Seed of the random selection of peers.
  uint64_t m_random_seed = 1;

  /// Interval between two gossip rounds.
  Duration m_gossip_interval = std::chrono::milliseconds(200);
  /// Number of peers each gossip round is sent to.
  uint32_t m_gossip_fanout = 3;
  /// Limit on gossip traffic, in bytes per second.
  uint32_t m_gossip_bytes_per_second = 4000;
  /// Interval between two probes. Consecutive probes target different members.
  Duration m_probe_interval = std::chrono::milliseconds(500);
  /// Timeout of a direct probe, after which helpers probe the target.
  Duration m_probe_timeout = std::chrono::milliseconds(250);
  /// Timeout of the indirect probes by helpers.
  Duration m_indirect_timeout = std::chrono::milliseconds(500);
  uint32_t m_probe_helpers = 3;
  /// Bounds of the interval between two digest exchanges. The minimum applies
  /// while this node has no other member or the last exchange found many
  /// missing members; otherwise the interval grows with the fleet, up to the
  /// maximum.
  Duration m_digest_interval_min = std::chrono::milliseconds(200);
  Duration m_digest_interval_max = std::chrono::seconds(10);
  /// Limit on repair traffic to other nodes, in bytes per second.
  uint32_t m_repair_bytes_per_second = 128 * 1024;
  /// Time after which this node removes a member that it could not reach,
  /// directly or through helpers, and from and about which it received nothing.
  /// Applies only while this node receives datagrams from other members.
  Duration m_remove_after = std::chrono::minutes(10);
  /// Time for which a member that has left is retained.
  Duration m_left_retention = std::chrono::seconds(60);
  /// Interval between two group reports to the same peer. It is extended where
  /// needed to keep the reports below the limit in bytes per second.
  Duration m_group_interval = std::chrono::seconds(1);
  uint32_t m_group_bytes_per_second = 1700;
};

/// State that this node announces; its location and incarnation are in
/// MembershipOptions.
struct LocalState {
  HostState m_state = HostState::kLive;
  LogOffset m_config_version{};
  std::vector<InstanceEntry> m_instances{};

  friend bool operator==(const LocalState&, const LocalState&) = default;
};

/// A datagram to send.
struct OutgoingDatagram {
  NodeId m_to{};
  std::vector<uint8_t> m_bytes{};
};

/// A report received from another node that hosts `m_service`.
struct GroupReport {
  NodeId m_from{};
  ServiceId m_service{};
  std::vector<uint8_t> m_bytes{};
};

/// Read-only view of one member.
struct MemberView {
  const MemberEntry* m_entry = nullptr;
  /// Probes by this node or by others could not reach the member. Such a member
  /// is ordered last, not excluded.
  bool m_unreachable = false;
};

struct MembershipStats {
  uint64_t m_datagrams_in = 0;
  uint64_t m_datagrams_out = 0;
  uint64_t m_bytes_in = 0;
  uint64_t m_bytes_out = 0;
  /// Datagrams that failed to decode or whose header names another sender.
  uint64_t m_datagrams_refused = 0;
  uint64_t m_probes = 0;
  uint64_t m_probes_failed = 0;
  /// Unreachable hints issued by this node.
  uint64_t m_hints_issued = 0;
  /// Unreachable hints about this node that it refuted.
  uint64_t m_hints_refuted = 0;
  uint64_t m_members_removed = 0;
  /// Failure domain losses announced by this node.
  uint64_t m_domain_losses_issued = 0;
  uint64_t m_group_reports_out = 0;
};

/// Gossip-based registry of the nodes and instances of the fleet.
///
/// Every node is the single writer of its entry. Entries spread in datagrams to
/// random peers; a digest exchange repairs lost updates. Members probe each
/// other as in SWIM (Das, Gupta, Motivala 2002), but a failed probe only marks
/// a member as unreachable, and the member itself refutes the mark. Performs no
/// I/O: the owner passes in datagrams and the time and sends the returned
/// datagrams. Not thread-safe.
class Membership {
 public:
  Membership(MembershipOptions options, TimePoint now);
  ~Membership();
  Membership(Membership&&) noexcept;
  Membership& operator=(Membership&&) noexcept;

  /// Processes a datagram received from endpoint `from`. Bytes that do not
  /// decode are counted and dropped. Returns the datagrams to send.
  std::vector<OutgoingDatagram> OnDatagram(NodeId from,
                                           std::span<const uint8_t> bytes,
                                           TimePoint now);

  /// Runs the timers. The owner calls it about every 100 ms; more frequent
  /// calls are harmless. Returns the datagrams to send.
  std::vector<OutgoingDatagram> OnTick(TimePoint now);

  /// Replaces the state that this node announces; no effect if it is unchanged.
  /// Returns false, with the state unchanged and LastReason() set, if there are
  /// more than kMaxInstancesPerNode instances.
  bool SetLocalState(const LocalState& state, TimePoint now);

  /// Replaces the report sent to the other nodes that host `service`. Returns
  /// false, with LastReason() set, if it exceeds kMaxGroupReportBytes.
  bool SetGroupReport(ServiceId service, std::vector<uint8_t> bytes);

  /// Returns the reports received since the last call.
  std::vector<GroupReport> TakeGroupReports();

  /// Counter that increases with every change visible to readers.
  uint64_t ChangeCount() const;

  /// All members, including this node and those that have left, in no
  /// particular order. The views are valid until the next call of a non-const
  /// member function.
  std::vector<MemberView> Members() const;

  /// The member `node`; empty if unknown.
  std::optional<MemberView> Find(NodeId node) const;

  const MemberEntry& LocalEntry() const;

  /// Greater incarnation that another process announced at this node's
  /// endpoint; empty if there is none. The owner has to restart with an even
  /// greater incarnation.
  std::optional<Incarnation> SupersededBy() const;

  const MembershipStats& Stats() const;

  /// Reason of the most recent failure: a call that returned false or a
  /// datagram that failed to decode.
  const std::string& LastReason() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MEMBERSHIP_MEMBERSHIP_H_
