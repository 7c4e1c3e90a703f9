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

/// Largest payload of a datagram between members, in bytes.
inline constexpr std::size_t kMaxDatagramBytes = 1200;

/// Largest GroupReport payload, in bytes.
inline constexpr std::size_t kMaxGroupReportBytes = 512;

struct MembershipOptions {
  /// This node. Its endpoint is where it receives datagrams.
  NodeId m_node{};
  /// Must be greater than that of any earlier run at the same endpoint.
  Incarnation m_incarnation{};
  std::string m_region{};
  std::string m_failure_domain{};
  std::string m_site{};
  /// Nodes asked first and whenever they are no members; own endpoint is
  /// skipped.
  std::vector<NodeId> m_seeds{};
  /// Seed of the random choice of peers.
  uint64_t m_random_seed = 1;

  /// Time between two rounds of passing changes on.
  Duration m_gossip_interval = std::chrono::milliseconds(200);
  /// Peers a round goes to.
  uint32_t m_gossip_fanout = 3;
  /// Ceiling of the bytes a second spent on passing changes on.
  uint32_t m_gossip_bytes_per_second = 4000;
  /// Time between two probes. Each probe goes to another member.
  Duration m_probe_interval = std::chrono::milliseconds(500);
  /// Wait for the answer to a direct probe, then helpers are asked.
  Duration m_probe_timeout = std::chrono::milliseconds(250);
  /// Wait for the answer of the helpers.
  Duration m_indirect_timeout = std::chrono::milliseconds(500);
  uint32_t m_probe_helpers = 3;
  /// Time between two digest exchanges. The shorter one applies while the last
  /// exchange found much to repair, and bounds the longer one from below in
  /// small fleets.
  Duration m_digest_interval_min = std::chrono::milliseconds(200);
  Duration m_digest_interval_max = std::chrono::seconds(10);
  /// Ceiling of the bytes a second sent to repair the copies of others.
  uint32_t m_repair_bytes_per_second = 128 * 1024;
  /// A member this node could not reach, directly or through helpers, and
  /// heard nothing of for so long is removed here, if it hears others.
  Duration m_remove_after = std::chrono::minutes(10);
  /// A member that has left is removed after this.
  Duration m_left_keep = std::chrono::seconds(60);
  /// Time between two group reports to the same peer, stretched so that the
  /// reports stay below the ceiling in bytes a second.
  Duration m_group_interval = std::chrono::seconds(1);
  uint32_t m_group_bytes_per_second = 1700;
};

/// What this node says of itself; location and incarnation are options.
struct OwnState {
  HostState m_state = HostState::kLive;
  LogOffset m_config_version{};
  std::vector<InstanceEntry> m_instances{};

  friend bool operator==(const OwnState&, const OwnState&) = default;
};

/// A datagram to send.
struct OutgoingDatagram {
  NodeId m_to{};
  std::vector<uint8_t> m_bytes{};
};

/// A report that another node which hosts `m_service` sent.
struct GroupReport {
  NodeId m_from{};
  ServiceId m_service{};
  std::vector<uint8_t> m_bytes{};
};

/// One member as a reader sees it.
struct MemberView {
  const MemberEntry* m_entry = nullptr;
  /// Probes by this node or by others found no way to it. Orders the member
  /// last, it is no reason to exclude it.
  bool m_unreachable = false;
};

struct MembershipStats {
  uint64_t m_datagrams_in = 0;
  uint64_t m_datagrams_out = 0;
  uint64_t m_bytes_in = 0;
  uint64_t m_bytes_out = 0;
  /// Datagrams that did not decode or did not come from their named sender.
  uint64_t m_datagrams_refused = 0;
  uint64_t m_probes = 0;
  uint64_t m_probes_failed = 0;
  /// Unreachable hints this node issued.
  uint64_t m_hints_issued = 0;
  /// Unreachable hints about this node that it answered.
  uint64_t m_hints_refuted = 0;
  uint64_t m_members_removed = 0;
  /// Failure domains this node told the fleet to be lost.
  uint64_t m_domain_losses_issued = 0;
  uint64_t m_group_reports_out = 0;
};

/// The list of nodes and instances, kept by gossip.
///
/// Every node is the single writer of its entry. Entries spread by datagrams
/// to random peers; a digest exchange repairs what was lost. Members probe each
/// other as in SWIM (Das, Gupta, Motivala 2002), but a failed probe only marks
/// a member unreachable, and the member itself clears the mark. Pure: the owner
/// passes datagrams and the time in and sends what comes back. One owner
/// thread.
class Membership {
 public:
  Membership(MembershipOptions options, TimePoint now);
  ~Membership();
  Membership(Membership&&) noexcept;
  Membership& operator=(Membership&&) noexcept;

  /// Takes one datagram that came from endpoint `from`. Bytes that do not
  /// decode are counted and dropped. Returns the datagrams to send.
  std::vector<OutgoingDatagram> OnDatagram(NodeId from,
                                           std::span<const uint8_t> bytes,
                                           TimePoint now);

  /// To be called every 100 ms or so; more often does no harm. Returns the
  /// datagrams to send.
  std::vector<OutgoingDatagram> OnTick(TimePoint now);

  /// Replaces what this node says of itself. Does nothing if it is the same.
  /// False, with the state unchanged and LastReason() set, if it is too large.
  bool SetOwn(const OwnState& state, TimePoint now);

  /// Replaces the report sent to the other nodes that host `service`.
  /// False, with LastReason() set, if it is too large.
  bool SetGroupReport(ServiceId service, std::vector<uint8_t> bytes);

  /// Hands over the reports received since the last call.
  std::vector<GroupReport> TakeGroupReports();

  /// Grows with every change a reader could see.
  uint64_t ChangeCount() const;

  /// All members including this node and those that have left, in no
  /// particular order. The views are valid until the next call of a non-const
  /// member function.
  std::vector<MemberView> Members() const;

  /// The member `node`, empty if unknown.
  std::optional<MemberView> Find(NodeId node) const;

  const MemberEntry& Own() const;

  /// Incarnation above the own one that another process announced at this
  /// node's endpoint. The owner has to start again with a greater incarnation.
  std::optional<Incarnation> SupersededBy() const;

  const MembershipStats& Stats() const;

  /// Why the last call that returned false did so.
  const std::string& LastReason() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MEMBERSHIP_MEMBERSHIP_H_
