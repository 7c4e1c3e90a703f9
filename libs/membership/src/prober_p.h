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

/// What the prober found; the owner applies it to the table.
struct ProbeFindings {
  /// Answered, directly or through a helper.
  std::vector<NodeId> m_answered;
  /// Gave no answer; the flag says that a helper found the same.
  struct Failure {
    NodeId m_node;
    bool m_is_confirmed = false;
  };
  std::vector<Failure> m_failed;
};

/// Probes members in turn, directly and then through helpers.
class Prober {
 public:
  Prober(const MemberTable& table,
         PeerPicker& picker,
         NodeId own,
         ProberOptions options);

  /// Starts the probes that are due and ends those out of time.
  ProbeFindings OnTick(TimePoint now, Outbox& outbox);

  void OnPingRequest(NodeId from,
                     const PingRequest& request,
                     TimePoint now,
                     Outbox& outbox);
  /// The member that has answered this node's probe, if any.
  std::optional<NodeId> OnAck(const Ack& ack, Outbox& outbox);
  void OnNack(const Nack& nack);

  /// Whether this node may tell others that `node` is unreachable. Each time
  /// the node has refuted it before, the next hint waits twice as long.
  bool MayHint(NodeId node, TimePoint now);

  uint64_t Started() const { return m_started; }

 private:
  struct Probe {
    NodeId m_target;
    TimePoint m_started;
    bool m_is_indirect = false;
    uint32_t m_nacks = 0;
  };
  struct Relay {
    NodeId m_origin;
    uint32_t m_origin_sequence = 0;
    TimePoint m_deadline;
  };
  struct HintBackoff {
    Duration m_wait{};
    TimePoint m_not_before;
  };

  void Start(NodeId target, TimePoint now, Outbox& outbox);
  void SendPing(NodeId target, uint32_t sequence, Outbox& outbox);
  std::optional<NodeId> NextTarget();
  std::optional<NodeId> NextSilent(TimePoint now);

  const MemberTable& m_table;
  PeerPicker& m_picker;
  NodeId m_own;
  ProberOptions m_options;
  uint32_t m_sequence = 0;
  uint64_t m_started = 0;
  TimePoint m_next_probe;
  std::vector<NodeId> m_order;
  std::size_t m_silent_cursor = 0;
  std::map<uint32_t, Probe> m_probes;
  std::map<uint32_t, Relay> m_relays;
  std::map<NodeId, HintBackoff> m_backoffs;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MEMBERSHIP_PROBER_P_H_
