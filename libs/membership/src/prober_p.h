#ifndef SEQUOIASTAGE_MEMBERSHIP_PROBER_P_H_
#define SEQUOIASTAGE_MEMBERSHIP_PROBER_P_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "member_table_p.h"
#include "outbox_p.h"
#include "peer_picker_p.h"

namespace sequoiastage {

struct ProberOptions {
  Duration m_interval{};
  Duration m_timeout{};
  Duration m_indirect_timeout{};
  uint32_t m_helpers = 0;
  Duration m_remove_after{};
};

/// Results of completed probes; the owner applies them to the table.
struct ProbeResults {
  /// Members that replied, directly or through a helper.
  std::vector<NodeId> m_answered;
  /// A member that did not reply; confirmed if a helper could not reach it
  /// either.
  struct Failure {
    NodeId m_node;
    bool m_is_confirmed = false;
  };
  std::vector<Failure> m_failed;
};

/// Probes members in turn, first directly and then through helpers.
class Prober {
 public:
  Prober(const MemberTable& table,
         PeerPicker& picker,
         NodeId self,
         ProberOptions options);

  /// Starts the probes that are due and completes those that timed out.
  ProbeResults OnTick(TimePoint now, Outbox& outbox);

  void OnPingRequest(NodeId from,
                     const PingRequest& request,
                     TimePoint now,
                     Outbox& outbox);
  /// The member whose probe the Ack completes; empty if the Ack was relayed or
  /// unexpected.
  std::optional<NodeId> OnAck(const Ack& ack, Outbox& outbox);
  void OnNack(const Nack& nack);

  /// Whether this node can issue an unreachable hint for `node` now. A node
  /// that refuted earlier hints is hinted again only after a backoff, which
  /// doubles each time.
  bool AllowHint(NodeId node, TimePoint now);

  uint64_t ProbesStarted() const { return m_probes_started; }

 private:
  struct Probe {
    NodeId m_target;
    TimePoint m_started_at;
    bool m_is_indirect = false;
    uint32_t m_nacks = 0;
  };
  struct Relay {
    NodeId m_origin;
    uint32_t m_origin_sequence = 0;
    TimePoint m_deadline;
  };
  struct HintBackoff {
    Duration m_delay{};
    TimePoint m_not_before;
  };

  void StartProbe(NodeId target, TimePoint now, Outbox& outbox);
  void SendPing(NodeId target, uint32_t sequence, Outbox& outbox);
  std::optional<NodeId> NextTarget();
  std::optional<NodeId> NextRemovalCandidate(TimePoint now);

  const MemberTable& m_table;
  PeerPicker& m_picker;
  NodeId m_self;
  ProberOptions m_options;
  uint32_t m_sequence = 0;
  uint64_t m_probes_started = 0;
  TimePoint m_next_probe;
  std::vector<NodeId> m_probe_order;
  std::size_t m_removal_cursor = 0;
  std::map<uint32_t, Probe> m_probes;
  std::map<uint32_t, Relay> m_relays;
  std::map<NodeId, HintBackoff> m_backoffs;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MEMBERSHIP_PROBER_P_H_
