#ifndef SEQUOIASTAGE_EXECUTION_TESTS_FAKE_FLEET_H_
#define SEQUOIASTAGE_EXECUTION_TESTS_FAKE_FLEET_H_

#include <array>
#include <map>
#include <memory>
#include <ostream>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fake_egress.h"
#include "sequoiastage/execution/attempt_ledger.h"
#include "sequoiastage/execution/idempotency_key.h"
#include "sequoiastage/execution/key_ledger.h"
#include "sequoiastage/execution/outcome_tracker.h"

namespace sequoiastage {

inline constexpr int kFleetActions = 28;

/// One step of a schedule; the picks are taken modulo what there is.
struct FleetStep {
  uint8_t m_action = 0;
  uint8_t m_pick = 0;
  uint8_t m_other_pick = 0;

  friend std::ostream& operator<<(std::ostream& out, const FleetStep& step) {
    return out << "action " << step.m_action % kFleetActions << " pick "
               << int{step.m_pick} << "/" << int{step.m_other_pick};
  }
};

/// Two egresses and one node that owns the keys and dispatches, joined by a
/// network that may deliver any message late, twice, in any order or not at
/// all. Every action of a schedule is chosen by the test.
template <class Tracker, class Keys>
class FakeFleet {
 public:
  explicit FakeFleet(bool is_idempotent) : m_is_idempotent(is_idempotent) {
    for (int i = 0; i < kRequests; ++i) {
      m_keys.push_back(m_issuer.Issue(Now()));
    }
  }

  void Do(const FleetStep& step) {
    switch (step.m_action % kFleetActions) {
      case 0:
      case 1:
        Show(step.m_pick % kRequests);
        break;
      case 2:
      case 3:
      case 4:
      case 5:
        Deliver(step.m_pick, /*is_kept=*/false);
        break;
      case 6:
        Deliver(step.m_pick, /*is_kept=*/true);
        break;
      case 7:
        Lose(step.m_pick);
        break;
      case 8:
      case 9:
        m_egresses[step.m_pick % kEgresses].StartQueued(Now());
        break;
      case 10:
      case 11:
        Post(m_egresses[step.m_pick % kEgresses].EndRunning(
            step.m_other_pick % 4 != 0));
        break;
      case 12:
        BreakLink(step.m_pick);
        break;
      case 13:
        m_now_ms += step.m_pick % 8;
        EndOverdueRounds();
        break;
      case 14:
        m_egresses[step.m_pick % kEgresses].Restart();
        break;
      case 15:
      case 16:
        Post(m_egresses[step.m_pick % kEgresses].RefuseQueued());
        break;
      case 17:
      case 18:
        CancelOpen();
        break;
      case 19:
        m_has_target = !m_has_target;
        break;
      case 21:
      case 22:
      case 23:
        Connect(m_egresses[step.m_pick % kEgresses]);
        break;
      case 24:
      case 25:
        Post(m_egresses[step.m_pick % kEgresses].FailConnect());
        break;
      case 26:
      case 27:
        SendCopy(step.m_pick);
        break;
      default:
        if (step.m_other_pick % 4 == 0) {
          RestartOwner();
        }
    }
  }

  /// Ends every round, as its deadline would.
  void Finish() {
    m_now_ms += 1000;
    EndOverdueRounds();
  }

  /// First broken promise, or an empty text.
  std::string BrokenPromise() const {
    for (int request = 0; request < kRequests && !m_is_idempotent; ++request) {
      if (m_executions[request] > 1) {
        return "executed more than once";
      }
    }
    for (const AttemptId& id : m_told_not_run) {
      if (m_started.count(id) != 0) {
        return "told not-run, but executed: " + ToString(id);
      }
    }
    for (const Round& round : m_rounds) {
      if (round.m_copies > (m_is_idempotent ? 1 : 0)) {
        return "a copy too many";
      }
    }
    return m_wrong_answer ? "answer of another request" : "";
  }

  int Answered() const { return m_answered; }
  int NotRun() const { return static_cast<int>(m_told_not_run.size()); }

 private:
  static constexpr int kRequests = 3;
  static constexpr int kEgresses = 2;

  // One dispatch of a request, from its start to the outcome.
  struct Round {
    explicit Round(bool is_idempotent)
        : m_tracker({.m_is_idempotent = is_idempotent, .m_max_attempts = 2}) {}
    Tracker m_tracker;
    int m_request = 0;
    IdempotencyKey m_key;
    WallTime m_deadline;
    std::map<AttemptId, std::pair<int, AttemptTicket>> m_sent;
    int m_copies = 0;
  };

  WallTime Now() const { return WallTime(std::chrono::milliseconds(m_now_ms)); }

  static KeyIssuer MakeIssuer(uint64_t incarnation) {
    return KeyIssuer({.m_owner = NodeId(Endpoint{.m_ip = 1, .m_port = 1}),
                      .m_incarnation = Incarnation(incarnation)},
                     KeyIssuer::Secret{1});
  }

  RequestFingerprint Fingerprint(int request) const {
    const std::string body = std::to_string(request);
    return FingerprintOf({.m_body = body});
  }

  // A caller shows the key of a request, for the first time or again.
  void Show(int request) {
    if (!m_is_idempotent) {
      const KeyDecision decision = m_key_ledger.Present(
          m_issuer, m_keys[request], Fingerprint(request), KeyWaiter(0), Now());
      if (decision.m_answer != nullptr) {
        m_wrong_answer |= *decision.m_answer != std::to_string(request);
      }
      if (decision.m_verdict != KeyVerdict::kDispatch) {
        return;
      }
    }
    Round round(m_is_idempotent);
    round.m_request = request;
    round.m_key = m_keys[request];
    round.m_deadline = Now() + std::chrono::milliseconds(20);
    const OutcomeStep first = round.m_tracker.Start();
    m_rounds.push_back(std::move(round));
    Follow(m_rounds.size() - 1, first);
  }

  void Follow(size_t at, const OutcomeStep& step) {
    Round& round = m_rounds[at];
    switch (step.m_next) {
      case NextStep::kWait:
        return;
      case NextStep::kSend:
        return Send(at);
      case NextStep::kQuery: {
        const auto& [egress, ticket] = round.m_sent.at(step.m_attempt);
        m_network.push_back(
            {PacketKind::kQuery, egress, ticket, round.m_request});
        return;
      }
      case NextStep::kFinish:
        return End(round, step.m_outcome);
    }
  }

  void Send(size_t at) {
    Round& round = m_rounds[at];
    if (!m_has_target) {
      return Follow(at, round.m_tracker.OnNoTarget());
    }
    const auto [egress, ticket] = MakeAttempt(round);
    if (round.m_tracker.MaySend(ticket.m_id)) {
      Dispatch(round, egress, ticket);
    }
  }

  // A request has run long.
  void SendCopy(uint8_t pick) {
    if (m_rounds.empty()) {
      return;
    }
    Round& round = m_rounds[pick % m_rounds.size()];
    const auto [egress, ticket] = MakeAttempt(round);
    if (round.m_tracker.MaySendCopy(ticket.m_id)) {
      ++round.m_copies;
      Dispatch(round, egress, ticket);
    }
  }

  std::pair<int, AttemptTicket> MakeAttempt(const Round& round) {
    const int egress = static_cast<int>(m_next_counter % kEgresses);
    return {egress,
            {.m_id = {.m_ingress = m_issuer.Owner(),
                      .m_incarnation = m_issuer.OwnIncarnation(),
                      .m_counter = ++m_next_counter},
             .m_egress = m_egresses[egress].OwnIncarnation(),
             .m_deadline = round.m_deadline}};
  }

  void Dispatch(Round& round, int egress, const AttemptTicket& ticket) {
    round.m_sent.emplace(ticket.m_id, std::make_pair(egress, ticket));
    m_network.push_back(
        {PacketKind::kDispatch, egress, ticket, round.m_request});
  }

  void End(Round& round, RequestOutcome outcome) {
    m_answered += outcome == RequestOutcome::kAnswered ? 1 : 0;
    if (outcome == RequestOutcome::kNotRun) {
      for (const auto& [id, sent] : round.m_sent) {
        m_told_not_run.insert(id);
      }
    }
    if (!m_is_idempotent) {
      m_key_ledger.Resolve(
          round.m_key, outcome,
          std::make_shared<const std::string>(std::to_string(round.m_request)));
    }
  }

  void EndOverdueRounds() {
    for (size_t at = 0; at < m_rounds.size(); ++at) {
      if (m_rounds[at].m_deadline <= Now()) {
        Follow(at, m_rounds[at].m_tracker.OnDeadline());
      }
    }
  }

  void Deliver(uint8_t pick, bool is_kept) {
    if (m_network.empty()) {
      return;
    }
    const size_t at = pick % m_network.size();
    const Packet packet = m_network[at];
    if (!is_kept) {
      m_network.erase(m_network.begin() + static_cast<std::ptrdiff_t>(at));
    }
    switch (packet.m_kind) {
      case PacketKind::kDispatch:
        return Post(m_egresses[packet.m_egress].OnDispatch(packet, Now()));
      case PacketKind::kQuery:
        return Post(m_egresses[packet.m_egress].OnQuery(packet));
      default:
        return OnReply(packet);
    }
  }

  void Lose(uint8_t pick) {
    if (!m_network.empty()) {
      m_network.erase(m_network.begin() + pick % m_network.size());
    }
  }

  void Post(const std::optional<Packet>& packet) {
    if (packet) {
      m_network.push_back(*packet);
    }
  }

  void Connect(FakeEgress& egress) {
    if (const auto sent = egress.Connect()) {
      ++m_executions[sent->m_request];
      m_started.insert(sent->m_ticket.m_id);
    }
  }

  void OnReply(const Packet& packet) {
    const AttemptId& id = packet.m_ticket.m_id;
    for (size_t at = 0; at < m_rounds.size(); ++at) {
      if (m_rounds[at].m_sent.count(id) == 0) {
        continue;
      }
      m_wrong_answer |= packet.m_kind == PacketKind::kDone &&
                        packet.m_request != m_rounds[at].m_request;
      return Follow(at, StepOf(m_rounds[at].m_tracker, packet));
    }
  }

  OutcomeStep StepOf(Tracker& tracker, const Packet& packet) {
    switch (packet.m_kind) {
      case PacketKind::kNotStarted:
        return tracker.OnNotStarted(packet.m_ticket.m_id);
      case PacketKind::kRunning:
        return tracker.OnRunning(packet.m_ticket.m_id);
      case PacketKind::kDone:
        return tracker.OnAnswered(packet.m_ticket.m_id);
      default:
        return tracker.OnMayHaveRun(packet.m_ticket.m_id);
    }
  }

  // All callers' deadlines are near.
  void CancelOpen() {
    for (size_t at = 0; at < m_rounds.size(); ++at) {
      Follow(at, m_rounds[at].m_tracker.OnCancelTime());
    }
  }

  // The owner notices that its connection to an egress broke; what is under
  // way on it may still arrive.
  void BreakLink(uint8_t pick) {
    const int egress = pick % kEgresses;
    for (size_t at = 0; at < m_rounds.size(); ++at) {
      const auto sent = m_rounds[at].m_sent;
      for (const auto& [id, target] : sent) {
        if (target.first == egress) {
          Follow(at, m_rounds[at].m_tracker.OnLinkBroken(id));
        }
      }
    }
  }

  // Its rounds are forgotten; their packets are not.
  void RestartOwner() {
    m_issuer = MakeIssuer(m_issuer.OwnIncarnation().Get() + 1);
    m_key_ledger = Keys({.m_max_keys = 64});
    m_rounds.clear();
  }

  bool m_is_idempotent;
  bool m_has_target = true;
  int64_t m_now_ms = 0;
  uint64_t m_next_counter = 0;
  KeyIssuer m_issuer = MakeIssuer(1);
  Keys m_key_ledger{{.m_max_keys = 64}};
  std::vector<IdempotencyKey> m_keys;
  std::array<FakeEgress, kEgresses> m_egresses{FakeEgress(0), FakeEgress(1)};
  std::vector<Round> m_rounds;
  std::vector<Packet> m_network;
  std::array<int, kRequests> m_executions{};
  std::set<AttemptId> m_started;
  std::set<AttemptId> m_told_not_run;
  int m_answered = 0;
  bool m_wrong_answer = false;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_EXECUTION_TESTS_FAKE_FLEET_H_
