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

/// Joins table, gossip, probes, repair and group reports. Its functions are in
/// membership.cc (owner's calls), gossip.cc (datagrams, passing on),
/// domain_loss.cc (lost failure domains) and repair.cc (digest exchange).
class Membership::Impl {
 public:
  Impl(MembershipOptions options, TimePoint now);

  std::vector<OutgoingDatagram> OnDatagram(NodeId from,
                                           std::span<const uint8_t> bytes,
                                           TimePoint now);
  std::vector<OutgoingDatagram> OnTick(TimePoint now);
  bool SetOwn(const OwnState& state, TimePoint now);

  MembershipOptions m_options;
  MembershipStats m_stats;
  std::string m_last_reason;
  std::optional<Incarnation> m_superseded_by;
  uint64_t m_change_count = 0;
  MemberTable m_table;
  GroupExchange m_groups;

 private:
  MemberRecord& OwnRecord() { return *m_table.Find(m_options.m_node); }
  DatagramHeader Header() const;
  std::vector<OutgoingDatagram> Take(Outbox& outbox);

  // gossip.cc
  void Handle(NodeId from, const Ping& ping, Outbox& outbox);
  void Handle(NodeId from, const PingRequest& request, Outbox& outbox);
  void Handle(NodeId from, const Ack& ack, Outbox& outbox);
  void Handle(NodeId from, const Nack& nack, Outbox& outbox);
  void Handle(NodeId from, const EntryPart& part, Outbox& outbox);
  void Handle(NodeId from, const StatusPart& part, Outbox& outbox);
  void Handle(NodeId from, const HintPart& part, Outbox& outbox);
  void Handle(NodeId from, const GroupPart& part, Outbox& outbox);
  void Handle(NodeId from, const DomainLossPart& part, Outbox& outbox);
  void HearSender(const DatagramHeader& header, Outbox& outbox);
  void RefuteHint(uint32_t hint);
  void Note(NodeId node, const MergeResult& result, bool passes_on);
  void Queue(NodeId node, UpdateKind kind);
  /// Rounds in which a change is passed on.
  uint32_t Rounds() const;
  void SendGossip(Outbox& outbox);
  bool AddUpdate(const UpdateKey& key, bool was_sent, DatagramWriter& writer);
  void ApplyFindings(const ProbeFindings& findings);
  void MarkAnswered(NodeId node);
  void MarkFailed(const ProbeFindings::Failure& failure);
  void RemoveSilent();
  void AnnounceStatus();
  Duration StatusHold();
  TimePoint FollowTime();
  Duration RandomPart(Duration longest);
  Duration StatusInterval() const;

  // domain_loss.cc
  void MergeLoss(const DomainLossPart& part);
  /// Tells the fleet of failure domains most of whose members are hinted.
  void FindLostDomains();
  void AddLosses(DatagramWriter& writer);
  /// Sends all losses known, so that lost copies are made up for.
  void SendLosses(NodeId to, Outbox& outbox);

  // repair.cc
  void Handle(NodeId from, const DigestPart& part, Outbox& outbox);
  void Handle(NodeId from, const BucketPart& part, Outbox& outbox);
  void Handle(NodeId from, const StampPart& part, Outbox& outbox);
  void StartDigest(Outbox& outbox);
  void ContactSeed(Outbox& outbox);
  /// Sends what of `record` is newer than the receiver's copy `theirs`.
  void SendRecord(NodeId to,
                  const MemberRecord& record,
                  const StampPart& theirs,
                  Outbox& outbox);
  Duration DigestInterval() const;

  PeerPicker m_picker;
  Prober m_prober;
  UpdateQueue m_updates;
  /// Rounds left to pass on a loss in.
  std::map<FailureDomain, uint32_t> m_loss_rounds;
  TokenBucket m_gossip_tokens;
  TokenBucket m_repair_tokens;
  /// Time of the call being served.
  TimePoint m_now;
  /// Last datagram from anyone.
  TimePoint m_heard_any_at;
  TimePoint m_next_gossip;
  TimePoint m_next_digest;
  TimePoint m_next_seed;
  TimePoint m_next_cleanup;
  TimePoint m_last_status;
  /// End of the wait before a newest configuration version is announced.
  TimePoint m_status_hold_until;
  /// When a version that others announced before is announced.
  TimePoint m_status_follow_at;
  bool m_is_status_due = false;
  /// Greatest configuration version any member has announced.
  LogOffset m_newest_config;
  /// Members that were not known, found since the last digest went out.
  uint32_t m_missing = 0;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MEMBERSHIP_MEMBERSHIP_IMPL_P_H_
