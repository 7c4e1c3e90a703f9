#ifndef SEQUOIASTAGE_MEMBERSHIP_MEMBERSHIP_IMPL_P_H_
#define SEQUOIASTAGE_MEMBERSHIP_MEMBERSHIP_IMPL_P_H_

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "datagram_p.h"
#include "group_exchange_p.h"
#include "member_table_p.h"
#include "outbox_p.h"
#include "peer_picker_p.h"
#include "prober_p.h"
#include "sequoiastage/membership/membership.h"
#include "token_bucket_p.h"
#include "update_queue_p.h"

namespace sequoiastage {

/// Combines the member table, gossip, probes, repair and group reports. Its
/// functions are in membership.cc (public interface), gossip.cc (datagrams and
/// gossip), domain_loss.cc (lost failure domains) and repair.cc (digest
/// exchange).
class Membership::Impl {
 public:
  Impl(MembershipOptions options, TimePoint now);

  std::vector<OutgoingDatagram> OnDatagram(NodeId from,
                                           std::span<const uint8_t> bytes,
                                           TimePoint now);
  std::vector<OutgoingDatagram> OnTick(TimePoint now);
  bool SetLocalState(const LocalState& state, TimePoint now);

  MembershipOptions m_options;
  MembershipStats m_stats;
  std::string m_last_reason;
  std::optional<Incarnation> m_superseded_by;
  uint64_t m_change_count = 0;
  MemberTable m_table;
  GroupExchange m_groups;

 private:
  MemberRecord& LocalRecord() { return *m_table.Find(m_options.m_node); }
  DatagramHeader Header() const;
  std::vector<OutgoingDatagram> FlushOutbox(Outbox& outbox);

  // gossip.cc
  void Handle(NodeId from, const Ping& ping, Outbox& outbox);
  void Handle(NodeId from, const PingRequest& request, Outbox& outbox);
  void Handle(NodeId from, const Ack& ack, Outbox& outbox);
  void Handle(NodeId from, const Nack& nack, Outbox& outbox);
  void Handle(NodeId from, const EntryMessage& message, Outbox& outbox);
  void Handle(NodeId from, const StatusMessage& message, Outbox& outbox);
  void Handle(NodeId from, const HintMessage& message, Outbox& outbox);
  void Handle(NodeId from, const GroupReportMessage& message, Outbox& outbox);
  void Handle(NodeId from, const DomainLossMessage& message, Outbox& outbox);
  void HandleSender(const DatagramHeader& header, Outbox& outbox);
  void RefuteHint(uint32_t hint_version);
  void RecordChange(NodeId node, const MergeResult& result, bool is_forwarded);
  void QueueUpdate(NodeId node, UpdateKind kind);
  /// Number of rounds in which a change is sent.
  uint32_t GossipRounds() const;
  void SendGossip(Outbox& outbox);
  bool AddUpdate(const UpdateKey& key, bool was_sent, DatagramWriter& writer);
  void ApplyProbeResults(const ProbeResults& results);
  void MarkReachable(NodeId node);
  void MarkProbeFailed(const ProbeResults::Failure& failure);
  void RemoveExpiredMembers();
  void AnnounceStatus();
  Duration StatusDelay();
  TimePoint NextStatusTime();
  Duration RandomDuration(Duration limit);
  Duration StatusInterval() const;

  // domain_loss.cc
  void MergeLoss(const DomainLossMessage& message);
  /// Announces the loss of failure domains most of whose members are hinted.
  void DetectLostDomains();
  void AddLosses(DatagramWriter& writer);
  /// Sends all known losses to `to`, which repairs lost loss messages.
  void SendLosses(NodeId to, Outbox& outbox);

  // repair.cc
  void Handle(NodeId from, const DigestMessage& message, Outbox& outbox);
  void Handle(NodeId from, const BucketMessage& message, Outbox& outbox);
  void Handle(NodeId from, const StampMessage& message, Outbox& outbox);
  void SendDigest(Outbox& outbox);
  void ContactSeed(Outbox& outbox);
  /// Sends the state in `record` that is newer than the receiver's copy
  /// `remote`.
  void SendRecord(NodeId to,
                  const MemberRecord& record,
                  const StampMessage& remote,
                  Outbox& outbox);
  Duration DigestInterval() const;

  PeerPicker m_picker;
  Prober m_prober;
  UpdateQueue m_updates;
  /// Number of rounds in which each loss is still sent.
  std::map<FailureDomain, uint32_t> m_loss_rounds;
  TokenBucket m_gossip_tokens;
  TokenBucket m_repair_tokens;
  /// Time of the current call.
  TimePoint m_now;
  /// Time of the last valid datagram from any node.
  TimePoint m_last_received_at;
  TimePoint m_next_gossip;
  TimePoint m_next_digest;
  TimePoint m_next_seed;
  TimePoint m_next_cleanup;
  TimePoint m_last_status_at;
  /// End of the delay before a newest configuration version is announced.
  TimePoint m_status_delay_until;
  /// Time at which a version that other nodes announced first is announced.
  TimePoint m_next_status_at;
  bool m_is_status_due = false;
  /// Newest configuration version announced by any member.
  LogOffset m_newest_config_version;
  /// Number of unknown members discovered since the last digest was sent.
  uint32_t m_missing_members = 0;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MEMBERSHIP_MEMBERSHIP_IMPL_P_H_
