#ifndef SEQUOIASTAGE_EXECUTION_TESTS_FAKE_EGRESS_H_
#define SEQUOIASTAGE_EXECUTION_TESTS_FAKE_EGRESS_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sequoiastage/execution/attempt_ledger.h"

namespace sequoiastage {

enum class PacketKind {
  kDispatch,
  kQuery,
  kNotStarted,
  kRunning,
  kMaybeExecuted,
  kAnswered
};

/// A message between the key owner and an egress.
struct Packet {
  PacketKind m_kind = PacketKind::kDispatch;
  int m_egress = 0;
  AttemptSpec m_spec;
  int m_request = 0;
};

/// Fake egress around the ledger under test. It can restart, and it can be
/// paused for any time between two calls.
class FakeEgress {
 public:
  explicit FakeEgress(int number) : m_number(number) {}

  Incarnation OwnIncarnation() const { return m_incarnation; }

  /// The reply; empty when there is no immediate one.
  std::optional<Packet> OnDispatch(const Packet& packet, WallTime now) {
    const Admission admission = m_ledger->Admit(packet.m_spec, now);
    switch (admission.m_verdict) {
      case Admission::Verdict::kNew:
        m_queued.push_back(packet);
        return std::nullopt;
      case Admission::Verdict::kDuplicate:
        return std::nullopt;
      case Admission::Verdict::kRefused:
        break;
    }
    return Reply(packet, ProvesNotStarted(admission.m_reason)
                             ? PacketKind::kNotStarted
                             : PacketKind::kMaybeExecuted);
  }

  std::optional<Packet> OnQuery(const Packet& packet) {
    const AttemptReport report = m_ledger->CancelIfNotStarted(packet.m_spec);
    if (report.m_certainty == AttemptReport::Certainty::kUndetermined) {
      return Reply(packet, PacketKind::kMaybeExecuted);
    }
    if (IsNeverStarted(report.m_state)) {
      return Reply(packet, PacketKind::kNotStarted);
    }
    if (report.m_state == AttemptState::kRunning) {
      return Reply(packet, PacketKind::kRunning);
    }
    return Reply(packet, report.m_response == nullptr
                             ? PacketKind::kMaybeExecuted
                             : PacketKind::kAnswered);
  }

  /// Hands the oldest queued attempt to its instance; the connection is not
  /// open yet.
  void StartQueued(WallTime now) {
    if (m_queued.empty()) {
      return;
    }
    const Packet packet = m_queued.front();
    m_queued.erase(m_queued.begin());
    if (m_ledger->MarkRunning(packet.m_spec.m_id, now)) {
      m_connecting.push_back(packet);
    }
  }

  /// Opens the connection of an attempt and sends its request. Returns what is
  /// executed; empty when no attempt is connecting.
  std::optional<Packet> Connect() {
    if (m_connecting.empty()) {
      return std::nullopt;
    }
    m_running.push_back(m_connecting.front());
    m_connecting.erase(m_connecting.begin());
    return m_running.back();
  }

  /// Fails the connection of an attempt.
  std::optional<Packet> FailConnect() {
    if (m_connecting.empty()) {
      return std::nullopt;
    }
    const Packet packet = m_connecting.back();
    m_connecting.pop_back();
    m_ledger->MarkNotStarted(packet.m_spec.m_id);
    return Reply(packet, PacketKind::kNotStarted);
  }

  /// Refuses the oldest queued attempt, as for lack of a slot.
  std::optional<Packet> RefuseQueued() {
    if (m_queued.empty() ||
        !m_ledger->MarkRefused(m_queued.front().m_spec.m_id)) {
      return std::nullopt;
    }
    return Reply(m_queued.front(), PacketKind::kNotStarted);
  }

  std::optional<Packet> EndRunning(bool is_whole) {
    if (m_running.empty()) {
      return std::nullopt;
    }
    const Packet packet = m_running.back();
    m_running.pop_back();
    const AttemptId& id = packet.m_spec.m_id;
    if (!is_whole) {
      m_ledger->MarkFailed(id);
      return Reply(packet, PacketKind::kMaybeExecuted);
    }
    m_ledger->MarkAnswered(id, std::make_shared<const std::string>(
                                   std::to_string(packet.m_request)));
    return Reply(packet, PacketKind::kAnswered);
  }

  void Restart() {
    m_incarnation = Incarnation(m_incarnation.Get() + 1);
    m_ledger = MakeLedger();
    m_queued.clear();
    m_connecting.clear();
    m_running.clear();
  }

 private:
  std::unique_ptr<AttemptLedger> MakeLedger() const {
    return std::make_unique<AttemptLedger>(
        m_incarnation, AttemptLedgerOptions{.m_max_attempts = 6});
  }

  Packet Reply(const Packet& to, PacketKind kind) const {
    return {kind, m_number, to.m_spec, to.m_request};
  }

  int m_number;
  Incarnation m_incarnation{1};
  std::unique_ptr<AttemptLedger> m_ledger = MakeLedger();
  std::vector<Packet> m_queued;
  std::vector<Packet> m_connecting;
  std::vector<Packet> m_running;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_EXECUTION_TESTS_FAKE_EGRESS_H_
