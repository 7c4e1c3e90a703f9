#include <algorithm>
#include <variant>

#include "membership_impl_p.h"

namespace sequoiastage {
namespace {

/// Failed probes of this node that a removal needs.
constexpr uint8_t kProbesBeforeRemoval = 3;
/// A node that hears no datagram at all for so long removes nobody.
constexpr Duration kIsolationSilence = std::chrono::seconds(30);

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
  for (const DatagramPart& part : datagram->m_parts) {
    std::visit([&](const auto& p) { Handle(from, p, outbox); }, part);
  }
  HearSender(datagram->m_header, outbox);
  return Take(outbox);
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
    MarkAnswered(*answered);
  }
}

void Membership::Impl::Handle(NodeId /*from*/,
                              const Nack& nack,
                              Outbox& /*outbox*/) {
  m_prober.OnNack(nack);
}

void Membership::Impl::Handle(NodeId /*from*/,
                              const EntryPart& part,
                              Outbox& /*outbox*/) {
  const MemberEntry& entry = part.m_entry;
  if (entry.m_node == m_options.m_node) {
    if (entry.m_incarnation > m_options.m_incarnation) {
      m_superseded_by = entry.m_incarnation;
    }
    return;
  }
  Note(entry.m_node, m_table.MergeEntry(part, m_now), !part.m_is_repair);
}

void Membership::Impl::Handle(NodeId /*from*/,
                              const StatusPart& part,
                              Outbox& /*outbox*/) {
  if (part.m_node != m_options.m_node) {
    Note(part.m_node, m_table.MergeStatus(part, m_now), !part.m_is_repair);
  }
}

void Membership::Impl::Handle(NodeId /*from*/,
                              const HintPart& part,
                              Outbox& /*outbox*/) {
  if (part.m_node != m_options.m_node) {
    Note(part.m_node, m_table.MergeHint(part), !part.m_is_repair);
    return;
  }
  if (part.m_incarnation == m_options.m_incarnation) {
    MergeLoss({.m_domain = MemberTable::DomainOf(OwnRecord()),
               .m_loss = part.m_loss,
               .m_is_repair = true});
    RefuteHint(part.m_status);
  }
}

void Membership::Impl::Handle(NodeId from,
                              const GroupPart& part,
                              Outbox& /*outbox*/) {
  m_groups.Receive(from, part);
}

void Membership::Impl::HearSender(const DatagramHeader& header,
                                  Outbox& outbox) {
  m_heard_any_at = m_now;
  MemberRecord* record = m_table.Find(header.m_from);
  if (record != nullptr &&
      record->m_entry.m_incarnation == header.m_incarnation) {
    record->m_heard_at = m_now;
    return;
  }
  if (record != nullptr &&
      record->m_entry.m_incarnation > header.m_incarnation) {
    return;
  }
  const StampPart* removed = m_table.FindRemoved(header.m_from);
  if (removed != nullptr && removed->m_incarnation == header.m_incarnation) {
    // Its next status is newer than the removal, here and elsewhere.
    outbox.Send(header.m_from, HintPart{.m_node = header.m_from,
                                        .m_incarnation = header.m_incarnation,
                                        .m_status = removed->m_status});
  }
  outbox.Send(header.m_from, StampPart{.m_node = header.m_from});
}

void Membership::Impl::RefuteHint(uint32_t hint) {
  MemberRecord& own = OwnRecord();
  if (hint < own.m_status) {
    return;
  }
  const uint16_t loss = m_table.LossOf(MemberTable::DomainOf(own));
  m_table.Modify(own, [hint, loss](MemberRecord& changed) {
    changed.m_hint = hint;
    changed.m_status = hint + 1;
    changed.m_refuted_loss = std::max(changed.m_refuted_loss, loss);
  });
  ++m_stats.m_hints_refuted;
  Note(m_options.m_node, {.m_status = true}, true);
}

void Membership::Impl::Note(NodeId node,
                            const MergeResult& result,
                            bool passes_on) {
  if (!result.IsChange()) {
    return;
  }
  ++m_change_count;
  if (const MemberRecord* record = m_table.Find(node)) {
    m_newest_config =
        std::max(m_newest_config, record->m_entry.m_config_version);
  }
  if (!passes_on) {
    return;
  }
  if (result.m_entry) {
    Queue(node, UpdateKind::kEntry);
  } else if (result.m_status) {
    Queue(node, UpdateKind::kStatus);
  }
  if (result.m_hint) {
    Queue(node, UpdateKind::kHint);
  }
}

void Membership::Impl::Queue(NodeId node, UpdateKind kind) {
  m_updates.Push({.m_node = node, .m_kind = kind}, Rounds());
}

uint32_t Membership::Impl::Rounds() const {
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
  m_updates.Round([&](const UpdateKey& key, bool was_sent) {
    return AddUpdate(key, was_sent, writer);
  });
  if (writer.IsEmpty()) {
    return;
  }
  const std::vector<uint8_t> bytes = writer.Take();
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
      // Most nodes get the entry in the first round; the others ask for it.
      if (was_sent) {
        return writer.Add(record->Stamp());
      }
      return writer.Add(EntryPart{.m_entry = entry,
                                  .m_status = record->m_status,
                                  .m_refuted_loss = record->m_refuted_loss});
    case UpdateKind::kStatus:
      return writer.Add(StatusPart{.m_node = key.m_node,
                                   .m_incarnation = entry.m_incarnation,
                                   .m_status = record->m_status,
                                   .m_config_version = entry.m_config_version,
                                   .m_refuted_loss = record->m_refuted_loss});
    case UpdateKind::kHint:
      // The loss of its domain says as much.
      if (!record->IsHinted() || m_table.IsCovered(*record)) {
        return true;
      }
      return writer.Add(HintPart{.m_node = key.m_node,
                                 .m_incarnation = entry.m_incarnation,
                                 .m_status = record->m_hint});
  }
  return true;
}

void Membership::Impl::ApplyFindings(const ProbeFindings& findings) {
  for (const NodeId node : findings.m_answered) {
    MarkAnswered(node);
  }
  for (const ProbeFindings::Failure& failure : findings.m_failed) {
    MarkFailed(failure);
  }
}

void Membership::Impl::MarkAnswered(NodeId node) {
  MemberRecord* record = m_table.Find(node);
  if (record == nullptr) {
    return;
  }
  const bool was_unreachable = record->IsUnreachable();
  record->m_own_unreachable = false;
  record->m_failed_probes = 0;
  record->m_answered_hint = record->m_hint;
  record->m_heard_at = m_now;
  if (was_unreachable) {
    ++m_change_count;
  }
}

void Membership::Impl::MarkFailed(const ProbeFindings::Failure& failure) {
  MemberRecord* record = m_table.Find(failure.m_node);
  if (record == nullptr) {
    return;
  }
  ++m_stats.m_probes_failed;
  const bool was_unreachable = record->IsUnreachable();
  record->m_own_unreachable = true;
  if (record->m_failed_probes < kProbesBeforeRemoval) {
    ++record->m_failed_probes;
  }
  if (!was_unreachable) {
    ++m_change_count;
  }
  if (!failure.m_is_confirmed || record->IsHinted() ||
      record->m_entry.m_state == HostState::kLeft ||
      !m_prober.MayHint(failure.m_node, m_now)) {
    return;
  }
  ++m_stats.m_hints_issued;
  const HintPart hint{.m_node = failure.m_node,
                      .m_incarnation = record->m_entry.m_incarnation,
                      .m_status = record->m_status};
  Note(failure.m_node, m_table.MergeHint(hint), true);
}

void Membership::Impl::RemoveSilent() {
  // A node that hears nobody learns nothing from the silence of one.
  const bool hears_others = m_now - m_heard_any_at < kIsolationSilence;
  std::vector<NodeId> removed;
  for (const MemberRecord& record : m_table.Records()) {
    const Duration silence = m_now - record.m_heard_at;
    const bool has_left = record.m_entry.m_state == HostState::kLeft &&
                          silence >= m_options.m_left_keep;
    const bool is_lost = hears_others &&
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
