#include <algorithm>
#include <variant>

#include "membership_impl_p.h"

namespace sequoiastage {
namespace {

/// Failed probes by this node that are required before a member is removed.
constexpr uint8_t kProbesBeforeRemoval = 3;
/// A node that receives no datagram at all for this long removes no members.
constexpr Duration kIsolationTimeout = std::chrono::seconds(30);

}  // namespace

std::vector<OutgoingDatagram> Membership::Impl::OnDatagram(
    NodeId from,
    std::span<const uint8_t> bytes,
    TimePoint now) {
  m_now = now;
  ++m_stats.m_datagrams_in;
  m_stats.m_bytes_in += bytes.size();
  const auto datagram = DecodeDatagram(bytes, &m_last_reason);
  if (!datagram || datagram->m_header.m_from != from ||
      from == m_options.m_node) {
    ++m_stats.m_datagrams_refused;
    return {};
  }
  Outbox outbox(Header());
  for (const MembershipMessage& message : datagram->m_messages) {
    std::visit(
        [&](const auto& alternative) { Handle(from, alternative, outbox); },
        message);
  }
  HandleSender(datagram->m_header, outbox);
  return FlushOutbox(outbox);
}

void Membership::Impl::Handle(NodeId from, const Ping& ping, Outbox& outbox) {
  outbox.Send(from, Ack{.m_sequence = ping.m_sequence});
}

void Membership::Impl::Handle(NodeId from,
                              const PingRequest& request,
                              Outbox& outbox) {
  m_prober.OnPingRequest(from, request, m_now, outbox);
}

void Membership::Impl::Handle(NodeId /*from*/, const Ack& ack, Outbox& outbox) {
  if (const auto answered = m_prober.OnAck(ack, outbox)) {
    MarkReachable(*answered);
  }
}

void Membership::Impl::Handle(NodeId /*from*/,
                              const Nack& nack,
                              Outbox& /*outbox*/) {
  m_prober.OnNack(nack);
}

void Membership::Impl::Handle(NodeId /*from*/,
                              const EntryMessage& message,
                              Outbox& /*outbox*/) {
  const MemberEntry& entry = message.m_entry;
  if (entry.m_node == m_options.m_node) {
    if (entry.m_incarnation > m_options.m_incarnation) {
      m_superseded_by = entry.m_incarnation;
    }
    return;
  }
  RecordChange(entry.m_node, m_table.MergeEntry(message, m_now),
               !message.m_is_repair);
}

void Membership::Impl::Handle(NodeId /*from*/,
                              const StatusMessage& message,
                              Outbox& /*outbox*/) {
  if (message.m_node != m_options.m_node) {
    RecordChange(message.m_node, m_table.MergeStatus(message, m_now),
                 !message.m_is_repair);
  }
}

void Membership::Impl::Handle(NodeId /*from*/,
                              const HintMessage& message,
                              Outbox& /*outbox*/) {
  if (message.m_node != m_options.m_node) {
    RecordChange(message.m_node, m_table.MergeHint(message),
                 !message.m_is_repair);
    return;
  }
  if (message.m_incarnation == m_options.m_incarnation) {
    MergeLoss({.m_domain = MemberTable::GetDomain(LocalRecord()),
               .m_loss_version = message.m_loss_version,
               .m_is_repair = true});
    RefuteHint(message.m_status_version);
  }
}

void Membership::Impl::Handle(NodeId from,
                              const GroupReportMessage& message,
                              Outbox& /*outbox*/) {
  m_groups.Receive(from, message);
}

void Membership::Impl::HandleSender(const DatagramHeader& header,
                                    Outbox& outbox) {
  m_last_received_at = m_now;
  MemberRecord* record = m_table.Find(header.m_from);
  if (record != nullptr &&
      record->m_entry.m_incarnation == header.m_incarnation) {
    record->m_last_contact_at = m_now;
    return;
  }
  if (record != nullptr &&
      record->m_entry.m_incarnation > header.m_incarnation) {
    return;
  }
  const StampMessage* removed = m_table.FindRemoved(header.m_from);
  if (removed != nullptr && removed->m_incarnation == header.m_incarnation) {
    // Causes the sender to announce a status newer than the removal, which this
    // and other nodes accept.
    outbox.Send(header.m_from,
                HintMessage{.m_node = header.m_from,
                            .m_incarnation = header.m_incarnation,
                            .m_status_version = removed->m_status_version});
  }
  outbox.Send(header.m_from, StampMessage{.m_node = header.m_from});
}

void Membership::Impl::RefuteHint(uint32_t hint_version) {
  MemberRecord& local = LocalRecord();
  if (hint_version < local.m_status_version) {
    return;
  }
  const uint16_t loss_version =
      m_table.LossVersion(MemberTable::GetDomain(local));
  m_table.Modify(local, [hint_version, loss_version](MemberRecord& changed) {
    changed.m_hint_version = hint_version;
    changed.m_status_version = hint_version + 1;
    changed.m_refuted_loss_version =
        std::max(changed.m_refuted_loss_version, loss_version);
  });
  ++m_stats.m_hints_refuted;
  RecordChange(m_options.m_node, {.m_status_changed = true}, true);
}

void Membership::Impl::RecordChange(NodeId node,
                                    const MergeResult& result,
                                    bool is_forwarded) {
  if (!result.HasChanges()) {
    return;
  }
  ++m_change_count;
  if (const MemberRecord* record = m_table.Find(node)) {
    m_newest_config_version =
        std::max(m_newest_config_version, record->m_entry.m_config_version);
  }
  if (!is_forwarded) {
    return;
  }
  if (result.m_entry_changed) {
    QueueUpdate(node, UpdateKind::kEntry);
  } else if (result.m_status_changed) {
    QueueUpdate(node, UpdateKind::kStatus);
  }
  if (result.m_hint_changed) {
    QueueUpdate(node, UpdateKind::kHint);
  }
}

void Membership::Impl::QueueUpdate(NodeId node, UpdateKind kind) {
  m_updates.Push({.m_node = node, .m_kind = kind}, GossipRounds());
}

uint32_t Membership::Impl::GossipRounds() const {
  const uint32_t copies = CopiesToSend(m_table.Records().size());
  const uint32_t fanout = std::max(m_options.m_gossip_fanout, 1U);
  return (copies + fanout - 1) / fanout;
}

void Membership::Impl::SendGossip(Outbox& outbox) {
  const bool is_all_sent = m_updates.IsEmpty() && m_loss_rounds.empty();
  if (is_all_sent || !m_gossip_tokens.HasTokens(m_now)) {
    return;
  }
  const std::vector<NodeId> peers = m_picker.Pick(m_options.m_gossip_fanout);
  if (peers.empty()) {
    return;
  }
  DatagramWriter writer(Header());
  AddLosses(writer);
  m_updates.RunRound([&](const UpdateKey& key, bool was_sent) {
    return AddUpdate(key, was_sent, writer);
  });
  if (writer.IsEmpty()) {
    return;
  }
  const std::vector<uint8_t> bytes = writer.Finish();
  for (const NodeId peer : peers) {
    outbox.SendEncoded(peer, bytes);
    m_gossip_tokens.Spend(bytes.size());
  }
}

bool Membership::Impl::AddUpdate(const UpdateKey& key,
                                 bool was_sent,
                                 DatagramWriter& writer) {
  const MemberRecord* record = m_table.Find(key.m_node);
  if (record == nullptr) {
    return true;
  }
  const MemberEntry& entry = record->m_entry;
  switch (key.m_kind) {
    case UpdateKind::kEntry:
      // Most nodes receive the entry in the first round; the others request it.
      if (was_sent) {
        return writer.Add(record->Stamp());
      }
      return writer.Add(EntryMessage{
          .m_entry = entry,
          .m_status_version = record->m_status_version,
          .m_refuted_loss_version = record->m_refuted_loss_version});
    case UpdateKind::kStatus:
      return writer.Add(StatusMessage{
          .m_node = key.m_node,
          .m_incarnation = entry.m_incarnation,
          .m_status_version = record->m_status_version,
          .m_config_version = entry.m_config_version,
          .m_refuted_loss_version = record->m_refuted_loss_version});
    case UpdateKind::kHint:
      // The loss of the member's failure domain already implies the hint.
      if (!record->IsHinted() || m_table.HasActiveLoss(*record)) {
        return true;
      }
      return writer.Add(
          HintMessage{.m_node = key.m_node,
                      .m_incarnation = entry.m_incarnation,
                      .m_status_version = record->m_hint_version});
  }
  return true;
}

void Membership::Impl::ApplyProbeResults(const ProbeResults& results) {
  for (const NodeId node : results.m_answered) {
    MarkReachable(node);
  }
  for (const ProbeResults::Failure& failure : results.m_failed) {
    MarkProbeFailed(failure);
  }
}

void Membership::Impl::MarkReachable(NodeId node) {
  MemberRecord* record = m_table.Find(node);
  if (record == nullptr) {
    return;
  }
  const bool was_unreachable = record->IsUnreachable();
  record->m_locally_unreachable = false;
  record->m_failed_probes = 0;
  record->m_cleared_hint_version = record->m_hint_version;
  record->m_last_contact_at = m_now;
  if (was_unreachable) {
    ++m_change_count;
  }
}

void Membership::Impl::MarkProbeFailed(const ProbeResults::Failure& failure) {
  MemberRecord* record = m_table.Find(failure.m_node);
  if (record == nullptr) {
    return;
  }
  ++m_stats.m_probes_failed;
  const bool was_unreachable = record->IsUnreachable();
  record->m_locally_unreachable = true;
  if (record->m_failed_probes < kProbesBeforeRemoval) {
    ++record->m_failed_probes;
  }
  if (!was_unreachable) {
    ++m_change_count;
  }
  if (!failure.m_is_confirmed || record->IsHinted() ||
      record->m_entry.m_state == HostState::kLeft ||
      !m_prober.AllowHint(failure.m_node, m_now)) {
    return;
  }
  ++m_stats.m_hints_issued;
  const HintMessage hint{.m_node = failure.m_node,
                         .m_incarnation = record->m_entry.m_incarnation,
                         .m_status_version = record->m_status_version};
  RecordChange(failure.m_node, m_table.MergeHint(hint), true);
}

void Membership::Impl::RemoveExpiredMembers() {
  // An isolated node cannot infer from the silence of a member that the member
  // failed.
  const bool is_connected = m_now - m_last_received_at < kIsolationTimeout;
  std::vector<NodeId> removed;
  for (const MemberRecord& record : m_table.Records()) {
    const Duration silence = m_now - record.m_last_contact_at;
    const bool has_left = record.m_entry.m_state == HostState::kLeft &&
                          silence >= m_options.m_left_retention;
    const bool is_lost = is_connected &&
                         record.m_failed_probes >= kProbesBeforeRemoval &&
                         silence >= m_options.m_remove_after;
    if (record.m_entry.m_node != m_options.m_node && (has_left || is_lost)) {
      removed.push_back(record.m_entry.m_node);
    }
  }
  for (const NodeId node : removed) {
    m_table.Remove(node, m_now + m_options.m_remove_after);
    ++m_stats.m_members_removed;
    ++m_change_count;
  }
}

}  // namespace sequoiastage
