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

#include "sequoiastage/execution/attempt_ledger.h"
#include "sequoiastage/execution/idempotency_key.h"
#include "sequoiastage/execution/key_ledger.h"
#include "sequoiastage/execution/outcome_tracker.h"

namespace sequoiastage {

inline constexpr int kFleetActions = 21;

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
  explicit FakeFleet(bool is_repeatable) : m_is_repeatable(is_repeatable) {
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
        StartQueued(step.m_pick);
        break;
      case 10:
      case 11:
        EndRunning(step.m_pick, step.m_other_pick);
        break;
      case 12:
        BreakLink(step.m_pick);
        break;
      case 13:
        m_now_ms += step.m_pick % 8;
        EndOverdueRounds();
        break;
      case 14:
        RestartEgress(step.m_pick);
        break;
      case 15:
      case 16:
        RefuseQueued(step.m_pick);
        break;
      case 17:
      case 18:
        CancelOpen();
        break;
      case 19:
        m_has_target = !m_has_target;
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
    for (int request = 0; request < kRequests && !m_is_repeatable; ++request) {
      if (m_executions[request] > 1) {
        return "executed more than once";
      }
    }
    for (const AttemptId& id : m_told_not_run) {
      if (m_started.count(id) != 0) {
        return "told not-run, but executed: " + ToString(id);
      }
    }
    return m_wrong_answer ? "answer of another request" : "";
  }

  int Answered() const { return m_answered; }
  int NotRun() const { return static_cast<int>(m_told_not_run.size()); }

 private:
  static constexpr int kRequests = 3;
  static constexpr int kEgresses = 2;

  struct Egress {
    Incarnation m_incarnation{1};
    std::unique_ptr<AttemptLedger> m_ledger;
    std::vector<std::pair<AttemptTicket, int>> m_queued;
    std::vector<std::pair<AttemptTicket, int>> m_running;
  };

  enum class Kind { kDispatch, kQuery, kNotStarted, kRunning, kMayHave, kDone };

  struct Packet {
    Kind m_kind;
    int m_egress;
    AttemptTicket m_ticket;
    int m_request;
  };

  // One dispatch of a request, from its start to the outcome.
  struct Round {
    explicit Round(bool is_repeatable)
        : m_tracker({.m_is_repeatable = is_repeatable, .m_max_attempts = 2}) {}
    Tracker m_tracker;
    int m_request = 0;
    IdempotencyKey m_key;
    WallTime m_deadline;
    std::map<AttemptId, std::pair<int, AttemptTicket>> m_sent;
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

  AttemptLedger& LedgerOf(Egress& egress) {
    if (egress.m_ledger == nullptr) {
      egress.m_ledger = std::make_unique<AttemptLedger>(
          egress.m_incarnation, AttemptLedgerOptions{.m_max_attempts = 6});
    }
    return *egress.m_ledger;
  }

  // A caller shows the key of a request, for the first time or again.
  void Show(int request) {
    if (!m_is_repeatable) {
      const KeyDecision decision = m_key_ledger.Present(
          m_issuer, m_keys[request], Fingerprint(request), KeyWaiter(0), Now());
      if (decision.m_answer != nullptr) {
        m_wrong_answer |= *decision.m_answer != std::to_string(request);
      }
      if (decision.m_verdict != KeyVerdict::kDispatch) {
        return;
      }
    }
    Round round(m_is_repeatable);
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
        m_network.push_back({Kind::kQuery, egress, ticket, round.m_request});
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
    const int egress = static_cast<int>(m_next_counter % kEgresses);
    const AttemptTicket ticket{
        .m_id = {.m_ingress = m_issuer.Owner(),
                 .m_incarnation = m_issuer.OwnIncarnation(),
                 .m_counter = ++m_next_counter},
        .m_egress = m_egresses[egress].m_incarnation,
        .m_deadline = round.m_deadline};
    if (!round.m_tracker.MaySend(ticket.m_id)) {
      return;
    }
    round.m_sent.emplace(ticket.m_id, std::make_pair(egress, ticket));
    m_network.push_back({Kind::kDispatch, egress, ticket, round.m_request});
  }

  void End(Round& round, RequestOutcome outcome) {
    m_answered += outcome == RequestOutcome::kAnswered ? 1 : 0;
    if (outcome == RequestOutcome::kNotRun) {
      for (const auto& [id, sent] : round.m_sent) {
        m_told_not_run.insert(id);
      }
    }
    if (!m_is_repeatable) {
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
      case Kind::kDispatch:
        return OnDispatch(packet);
      case Kind::kQuery:
        return OnQuery(packet);
      default:
        return OnReply(packet);
    }
  }

  void Lose(uint8_t pick) {
    if (!m_network.empty()) {
      m_network.erase(m_network.begin() + pick % m_network.size());
    }
  }

  void Reply(const Packet& to, Kind kind) {
    m_network.push_back({kind, to.m_egress, to.m_ticket, to.m_request});
  }

  void OnDispatch(const Packet& packet) {
    Egress& egress = m_egresses[packet.m_egress];
    const Admission admission = LedgerOf(egress).Admit(packet.m_ticket, Now());
    switch (admission.m_verdict) {
      case Admission::Verdict::kNew:
        egress.m_queued.emplace_back(packet.m_ticket, packet.m_request);
        return;
      case Admission::Verdict::kDuplicate:
        return;
      case Admission::Verdict::kRefused:
        Reply(packet, IsProofOfNotStarted(admission.m_reason)
                          ? Kind::kNotStarted
                          : Kind::kMayHave);
    }
  }

  void OnQuery(const Packet& packet) {
    const AttemptReport report = LedgerOf(m_egresses[packet.m_egress])
                                     .CancelIfNotStarted(packet.m_ticket);
    if (report.m_knowledge == AttemptReport::Knowledge::kCannotTell) {
      Reply(packet, Kind::kMayHave);
    } else if (IsNeverStarted(report.m_state)) {
      Reply(packet, Kind::kNotStarted);
    } else if (report.m_state == AttemptState::kRunning) {
      Reply(packet, Kind::kRunning);
    } else {
      Reply(packet, report.m_answer == nullptr ? Kind::kMayHave : Kind::kDone);
    }
  }

  void OnReply(const Packet& packet) {
    const AttemptId& id = packet.m_ticket.m_id;
    for (size_t at = 0; at < m_rounds.size(); ++at) {
      if (m_rounds[at].m_sent.count(id) == 0) {
        continue;
      }
      m_wrong_answer |= packet.m_kind == Kind::kDone &&
                        packet.m_request != m_rounds[at].m_request;
      return Follow(at, StepOf(m_rounds[at].m_tracker, packet));
    }
  }

  OutcomeStep StepOf(Tracker& tracker, const Packet& packet) {
    switch (packet.m_kind) {
      case Kind::kNotStarted:
        return tracker.OnNotStarted(packet.m_ticket.m_id);
      case Kind::kRunning:
        return tracker.OnRunning(packet.m_ticket.m_id);
      case Kind::kDone:
        return tracker.OnAnswered(packet.m_ticket.m_id);
      default:
        return tracker.OnMayHaveRun(packet.m_ticket.m_id);
    }
  }

  // The egress has no slot for the attempt.
  void RefuseQueued(uint8_t pick) {
    const int at = pick % kEgresses;
    Egress& egress = m_egresses[at];
    if (egress.m_queued.empty()) {
      return;
    }
    const auto [ticket, request] = egress.m_queued.front();
    if (LedgerOf(egress).MarkRefused(ticket.m_id)) {
      Reply({Kind::kDispatch, at, ticket, request}, Kind::kNotStarted);
    }
  }

  // All callers' deadlines are near.
  void CancelOpen() {
    for (size_t at = 0; at < m_rounds.size(); ++at) {
      Follow(at, m_rounds[at].m_tracker.OnCancelTime());
    }
  }

  // The egress may be paused for any time before it comes here.
  void StartQueued(uint8_t pick) {
    Egress& egress = m_egresses[pick % kEgresses];
    if (egress.m_queued.empty()) {
      return;
    }
    const auto [ticket, request] = egress.m_queued.front();
    egress.m_queued.erase(egress.m_queued.begin());
    if (LedgerOf(egress).MarkRunning(ticket.m_id, Now())) {
      ++m_executions[request];
      m_started.insert(ticket.m_id);
      egress.m_running.emplace_back(ticket, request);
    }
  }

  void EndRunning(uint8_t pick, uint8_t how) {
    const int at = pick % kEgresses;
    Egress& egress = m_egresses[at];
    if (egress.m_running.empty()) {
      return;
    }
    const auto [ticket, request] = egress.m_running.back();
    egress.m_running.pop_back();
    const Packet packet{Kind::kDispatch, at, ticket, request};
    if (how % 4 == 0) {
      LedgerOf(egress).MarkFailed(ticket.m_id);
      return Reply(packet, Kind::kMayHave);
    }
    LedgerOf(egress).MarkAnswered(
        ticket.m_id,
        std::make_shared<const std::string>(std::to_string(request)));
    Reply(packet, Kind::kDone);
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

  void RestartEgress(uint8_t pick) {
    Egress& egress = m_egresses[pick % kEgresses];
    egress.m_incarnation = Incarnation(egress.m_incarnation.Get() + 1);
    egress.m_ledger = nullptr;
    egress.m_queued.clear();
    egress.m_running.clear();
  }

  // Its rounds are forgotten; their packets are not.
  void RestartOwner() {
    m_issuer = MakeIssuer(m_issuer.OwnIncarnation().Get() + 1);
    m_key_ledger = Keys({.m_max_keys = 64});
    m_rounds.clear();
  }

  bool m_is_repeatable;
  bool m_has_target = true;
  int64_t m_now_ms = 0;
  uint64_t m_next_counter = 0;
  KeyIssuer m_issuer = MakeIssuer(1);
  Keys m_key_ledger{{.m_max_keys = 64}};
  std::vector<IdempotencyKey> m_keys;
  std::array<Egress, kEgresses> m_egresses;
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
