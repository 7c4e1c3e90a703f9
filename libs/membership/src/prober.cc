#include "prober_p.h"

#include <algorithm>
#include <chrono>

namespace sequoiastage {
namespace {

constexpr Duration kInitialHintBackoff = std::chrono::seconds(2);
constexpr Duration kMaxHintBackoff = std::chrono::seconds(60);
/// Records scanned per probe for members to verify before removal.
constexpr std::size_t kRemovalScan = 256;
/// Maximum number of ping requests served concurrently for other nodes.
constexpr std::size_t kMaxRelays = 256;

}  // namespace

Prober::Prober(const MemberTable& table,
               PeerPicker& picker,
               NodeId self,
               ProberOptions options)
    : m_table(table), m_picker(picker), m_self(self), m_options(options) {}

ProbeResults Prober::OnTick(TimePoint now, Outbox& outbox) {
  ProbeResults results;
  for (auto it = m_probes.begin(); it != m_probes.end();) {
    auto& [sequence, probe] = *it;
    const Duration age = now - probe.m_started_at;
    if (age >= m_options.m_timeout + m_options.m_indirect_timeout) {
      results.m_failed.push_back(
          {.m_node = probe.m_target, .m_is_confirmed = probe.m_nacks > 0});
      it = m_probes.erase(it);
      continue;
    }
    if (!probe.m_is_indirect && age >= m_options.m_timeout) {
      probe.m_is_indirect = true;
      const auto helpers =
          m_picker.PickHelpers(probe.m_target, m_options.m_helpers);
      for (const NodeId helper : helpers) {
        outbox.Send(helper, PingRequest{.m_sequence = sequence,
                                        .m_target = probe.m_target});
      }
    }
    ++it;
  }
  for (auto it = m_relays.begin(); it != m_relays.end();) {
    if (now < it->second.m_deadline) {
      ++it;
      continue;
    }
    outbox.Send(it->second.m_origin,
                Nack{.m_sequence = it->second.m_origin_sequence});
    it = m_relays.erase(it);
  }
  if (now >= m_next_probe) {
    m_next_probe = now + m_options.m_interval;
    if (const auto target = NextTarget()) {
      StartProbe(*target, now, outbox);
    }
    if (const auto candidate = NextRemovalCandidate(now)) {
      StartProbe(*candidate, now, outbox);
    }
  }
  return results;
}

void Prober::OnPingRequest(NodeId from,
                           const PingRequest& request,
                           TimePoint now,
                           Outbox& outbox) {
  if (m_relays.size() >= kMaxRelays || request.m_target == m_self) {
    return;
  }
  const uint32_t sequence = ++m_sequence;
  m_relays[sequence] = {.m_origin = from,
                        .m_origin_sequence = request.m_sequence,
                        .m_deadline = now + m_options.m_timeout};
  SendPing(request.m_target, sequence, outbox);
}

std::optional<NodeId> Prober::OnAck(const Ack& ack, Outbox& outbox) {
  const auto relay = m_relays.find(ack.m_sequence);
  if (relay != m_relays.end()) {
    outbox.Send(relay->second.m_origin,
                Ack{.m_sequence = relay->second.m_origin_sequence});
    m_relays.erase(relay);
    return std::nullopt;
  }
  const auto probe = m_probes.find(ack.m_sequence);
  if (probe == m_probes.end()) {
    return std::nullopt;
  }
  const NodeId target = probe->second.m_target;
  m_probes.erase(probe);
  return target;
}

void Prober::OnNack(const Nack& nack) {
  const auto probe = m_probes.find(nack.m_sequence);
  if (probe != m_probes.end()) {
    ++probe->second.m_nacks;
  }
}

bool Prober::AllowHint(NodeId node, TimePoint now) {
  std::erase_if(m_backoffs, [now](const auto& item) {
    return now >= item.second.m_not_before + 2 * kMaxHintBackoff;
  });
  const auto [backoff, is_first] = m_backoffs.try_emplace(
      node, HintBackoff{.m_delay = kInitialHintBackoff, .m_not_before = now});
  HintBackoff& state = backoff->second;
  if (now < state.m_not_before) {
    return false;
  }
  state.m_not_before = now + state.m_delay;
  state.m_delay = std::min(2 * state.m_delay, kMaxHintBackoff);
  return true;
}

void Prober::StartProbe(NodeId target, TimePoint now, Outbox& outbox) {
  const uint32_t sequence = ++m_sequence;
  ++m_probes_started;
  m_probes[sequence] = {.m_target = target, .m_started_at = now};
  SendPing(target, sequence, outbox);
}

void Prober::SendPing(NodeId target, uint32_t sequence, Outbox& outbox) {
  const MemberRecord* record = m_table.Find(target);
  if (record != nullptr && record->IsHinted()) {
    // Lets the target refute the hint.
    outbox.Send(target,
                HintMessage{.m_node = target,
                            .m_incarnation = record->m_entry.m_incarnation,
                            .m_status_version = record->m_hint_version,
                            .m_loss_version = m_table.LossVersion(
                                MemberTable::GetDomain(*record))});
  }
  outbox.Send(target, Ping{.m_sequence = sequence});
}

std::optional<NodeId> Prober::NextTarget() {
  const std::vector<MemberRecord>& records = m_table.Records();
  for (int pass = 0; pass < 2; ++pass) {
    while (!m_probe_order.empty()) {
      const NodeId target = m_probe_order.back();
      m_probe_order.pop_back();
      const MemberRecord* record = m_table.Find(target);
      if (record != nullptr && record->m_entry.m_state != HostState::kLeft) {
        return target;
      }
    }
    for (const MemberRecord& record : records) {
      if (record.m_entry.m_node != m_self) {
        m_probe_order.push_back(record.m_entry.m_node);
      }
    }
    m_picker.Shuffle(m_probe_order);
  }
  return std::nullopt;
}

std::optional<NodeId> Prober::NextRemovalCandidate(TimePoint now) {
  const std::vector<MemberRecord>& records = m_table.Records();
  const std::size_t scan = std::min(kRemovalScan, records.size());
  for (std::size_t i = 0; i < scan; ++i) {
    const MemberRecord& record = records[m_removal_cursor++ % records.size()];
    if (record.IsUnreachable() &&
        now - record.m_last_contact_at >= m_options.m_remove_after) {
      return record.m_entry.m_node;
    }
  }
  return std::nullopt;
}

}  // namespace sequoiastage
