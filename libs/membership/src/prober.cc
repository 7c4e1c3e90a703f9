#include "prober_p.h"

#include <algorithm>
#include <chrono>

namespace sequoiastage {
namespace {

constexpr Duration kFirstHintBackoff = std::chrono::seconds(2);
constexpr Duration kLongestHintBackoff = std::chrono::seconds(60);
/// Records looked at a probe for members to verify before removal.
constexpr std::size_t kSilentScan = 256;
/// Ping requests of others served at once.
constexpr std::size_t kMaxRelays = 256;

}  // namespace

Prober::Prober(const MemberTable& table,
               PeerPicker& picker,
               NodeId own,
               ProberOptions options)
    : m_table(table), m_picker(picker), m_own(own), m_options(options) {}

ProbeFindings Prober::OnTick(TimePoint now, Outbox& outbox) {
  ProbeFindings findings;
  for (auto it = m_probes.begin(); it != m_probes.end();) {
    auto& [sequence, probe] = *it;
    const Duration age = now - probe.m_started;
    if (age >= m_options.m_timeout + m_options.m_indirect_timeout) {
      findings.m_failed.push_back(
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
      Start(*target, now, outbox);
    }
    if (const auto silent = NextSilent(now)) {
      Start(*silent, now, outbox);
    }
  }
  return findings;
}

void Prober::OnPingRequest(NodeId from,
                           const PingRequest& request,
                           TimePoint now,
                           Outbox& outbox) {
  if (m_relays.size() >= kMaxRelays || request.m_target == m_own) {
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

bool Prober::MayHint(NodeId node, TimePoint now) {
  std::erase_if(m_backoffs, [now](const auto& item) {
    return now >= item.second.m_not_before + 2 * kLongestHintBackoff;
  });
  const auto [backoff, is_first] = m_backoffs.try_emplace(
      node, HintBackoff{.m_wait = kFirstHintBackoff, .m_not_before = now});
  HintBackoff& state = backoff->second;
  if (now < state.m_not_before) {
    return false;
  }
  state.m_not_before = now + state.m_wait;
  state.m_wait = std::min(2 * state.m_wait, kLongestHintBackoff);
  return true;
}

void Prober::Start(NodeId target, TimePoint now, Outbox& outbox) {
  const uint32_t sequence = ++m_sequence;
  ++m_started;
  m_probes[sequence] = {.m_target = target, .m_started = now};
  SendPing(target, sequence, outbox);
}

void Prober::SendPing(NodeId target, uint32_t sequence, Outbox& outbox) {
  const MemberRecord* record = m_table.Find(target);
  if (record != nullptr && record->IsHinted()) {
    // Lets the target refute the hint.
    outbox.Send(
        target,
        HintPart{.m_node = target,
                 .m_incarnation = record->m_entry.m_incarnation,
                 .m_status = record->m_hint,
                 .m_loss = m_table.LossOf(MemberTable::DomainOf(*record))});
  }
  outbox.Send(target, Ping{.m_sequence = sequence});
}

std::optional<NodeId> Prober::NextTarget() {
  const std::vector<MemberRecord>& records = m_table.Records();
  for (int pass = 0; pass < 2; ++pass) {
    while (!m_order.empty()) {
      const NodeId target = m_order.back();
      m_order.pop_back();
      const MemberRecord* record = m_table.Find(target);
      if (record != nullptr && record->m_entry.m_state != HostState::kLeft) {
        return target;
      }
    }
    for (const MemberRecord& record : records) {
      if (record.m_entry.m_node != m_own) {
        m_order.push_back(record.m_entry.m_node);
      }
    }
    m_picker.Shuffle(m_order);
  }
  return std::nullopt;
}

std::optional<NodeId> Prober::NextSilent(TimePoint now) {
  const std::vector<MemberRecord>& records = m_table.Records();
  const std::size_t scan = std::min(kSilentScan, records.size());
  for (std::size_t i = 0; i < scan; ++i) {
    const MemberRecord& record = records[m_silent_cursor++ % records.size()];
    if (record.IsUnreachable() &&
        now - record.m_heard_at >= m_options.m_remove_after) {
      return record.m_entry.m_node;
    }
  }
  return std::nullopt;
}

}  // namespace sequoiastage
