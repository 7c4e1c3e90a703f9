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

/// One step of a schedule. Each pick is taken modulo the number of choices.
struct FleetStep {
  uint8_t m_action = 0;
  uint8_t m_pick = 0;
  uint8_t m_other_pick = 0;

  friend std::ostream& operator<<(std::ostream& out, const FleetStep& step) {
    return out << "action " << step.m_action % kFleetActions << " pick "
               << int{step.m_pick} << "/" << int{step.m_other_pick};
  }
};

/// Two egresses and one node that owns the keys and dispatches requests,
/// connected by a network that delivers any message late, twice, in any order
/// or not at all. The test chooses each action of a schedule.
template <class Tracker, class Keys>
class FakeFleet {
 public:
  explicit FakeFleet(bool is_idempotent) : m_is_idempotent(is_idempotent) {
    for (int i = 0; i < kRequests; ++i) {
      m_keys.push_back(m_issuer.Issue(Now()));
    }
  }

  void Apply(const FleetStep& step) {
    switch (step.m_action % kFleetActions) {
      case 0:
      case 1:
        SubmitRequest(step.m_pick % kRequests);
        break;
      case 2:
      case 3:
      case 4:
      case 5:
        Deliver(step.m_pick, /*is_duplicated=*/false);
        break;
      case 6:
        Deliver(step.m_pick, /*is_duplicated=*/true);
        break;
      case 7:
        Drop(step.m_pick);
        break;
      case 8:
      case 9:
        m_egresses[step.m_pick % kEgresses].StartQueued(Now());
        break;
      case 10:
      case 11:
        Enqueue(m_egresses[step.m_pick % kEgresses].EndRunning(
            step.m_other_pick % 4 != 0));
        break;
      case 12:
        BreakLink(step.m_pick);
        break;
      case 13:
        m_now_ms += step.m_pick % 8;
        FinishOverdueRuns();
        break;
      case 14:
        m_egresses[step.m_pick % kEgresses].Restart();
        break;
      case 15:
      case 16:
        Enqueue(m_egresses[step.m_pick % kEgresses].RefuseQueued());
        break;
      case 17:
      case 18:
        CancelOpenAttempts();
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
        Enqueue(m_egresses[step.m_pick % kEgresses].FailConnect());
        break;
      case 26:
      case 27:
        SendHedge(step.m_pick);
        break;
      default:
        if (step.m_other_pick % 4 == 0) {
          RestartOwner();
        }
    }
  }

  /// Ends every run as at its deadline.
  void Finish() {
    m_now_ms += 1000;
    FinishOverdueRuns();
  }

  /// The first violation, or an empty text.
  std::string FindViolation() const {
    for (int request = 0; request < kRequests && !m_is_idempotent; ++request) {
      if (m_executions[request] > 1) {
        return "executed more than once";
      }
    }
    for (const AttemptId& id : m_reported_not_run) {
      if (m_started.count(id) != 0) {
        return "told not-run, but executed: " + ToString(id);
      }
    }
    for (const Run& run : m_runs) {
      if (run.m_hedges > (m_is_idempotent ? 1 : 0)) {
        return "too many hedges";
      }
    }
    return m_has_wrong_response ? "answer of another request" : "";
  }

  int Answered() const { return m_answered_count; }
  int NotRun() const { return static_cast<int>(m_reported_not_run.size()); }

 private:
  static constexpr int kRequests = 3;
  static constexpr int kEgresses = 2;

  // One dispatch of a request, from its start to its outcome.
  struct Run {
    explicit Run(bool is_idempotent)
        : m_tracker({.m_is_idempotent = is_idempotent, .m_max_attempts = 2}) {}
    Tracker m_tracker;
    int m_request = 0;
    IdempotencyKey m_key;
    WallTime m_deadline;
    std::map<AttemptId, std::pair<int, AttemptSpec>> m_sent;
    int m_hedges = 0;
  };

  WallTime Now() const { return WallTime(std::chrono::milliseconds(m_now_ms)); }

  static KeyIssuer MakeIssuer(uint64_t incarnation) {
    return KeyIssuer({.m_owner = NodeId(Endpoint{.m_ip = 1, .m_port = 1}),
                      .m_incarnation = Incarnation(incarnation)},
                     KeyIssuer::Secret{1});
  }

  RequestFingerprint Fingerprint(int request) const {
    const std::string body = std::to_string(request);
    return ComputeFingerprint({.m_body = body});
  }

  // A caller sends a request with its key, for the first time or again.
  void SubmitRequest(int request) {
    if (!m_is_idempotent) {
      const KeyDecision decision = m_key_ledger.Submit(
          m_issuer, m_keys[request], Fingerprint(request), KeyWaiter(0), Now());
      if (decision.m_response != nullptr) {
        m_has_wrong_response |= *decision.m_response != std::to_string(request);
      }
      if (decision.m_verdict != KeyVerdict::kDispatch) {
        return;
      }
    }
    Run run(m_is_idempotent);
    run.m_request = request;
    run.m_key = m_keys[request];
    run.m_deadline = Now() + std::chrono::milliseconds(20);
    const TrackerDecision first = run.m_tracker.Start();
    m_runs.push_back(std::move(run));
    Execute(m_runs.size() - 1, first);
  }

  void Execute(size_t index, const TrackerDecision& decision) {
    Run& run = m_runs[index];
    switch (decision.m_next) {
      case TrackerAction::kWait:
        return;
      case TrackerAction::kSend:
        return Send(index);
      case TrackerAction::kQuery: {
        const auto& [egress, spec] = run.m_sent.at(decision.m_attempt);
        m_network.push_back({PacketKind::kQuery, egress, spec, run.m_request});
        return;
      }
      case TrackerAction::kFinish:
        return FinishRun(run, decision.m_outcome);
    }
  }

  void Send(size_t index) {
    Run& run = m_runs[index];
    if (!m_has_target) {
      return Execute(index, run.m_tracker.OnNoTarget());
    }
    const auto [egress, spec] = MakeAttempt(run);
    if (run.m_tracker.TryBeginAttempt(spec.m_id)) {
      Dispatch(run, egress, spec);
    }
  }

  // Hedges a request.
  void SendHedge(uint8_t pick) {
    if (m_runs.empty()) {
      return;
    }
    Run& run = m_runs[pick % m_runs.size()];
    const auto [egress, spec] = MakeAttempt(run);
    if (run.m_tracker.TryBeginHedge(spec.m_id)) {
      ++run.m_hedges;
      Dispatch(run, egress, spec);
    }
  }

  std::pair<int, AttemptSpec> MakeAttempt(const Run& run) {
    const int egress = static_cast<int>(m_next_counter % kEgresses);
    return {egress,
            {.m_id = {.m_ingress = m_issuer.Owner(),
                      .m_incarnation = m_issuer.OwnIncarnation(),
                      .m_counter = ++m_next_counter},
             .m_egress = m_egresses[egress].OwnIncarnation(),
             .m_deadline = run.m_deadline}};
  }

  void Dispatch(Run& run, int egress, const AttemptSpec& spec) {
    run.m_sent.emplace(spec.m_id, std::make_pair(egress, spec));
    m_network.push_back({PacketKind::kDispatch, egress, spec, run.m_request});
  }

  void FinishRun(Run& run, RequestOutcome outcome) {
    m_answered_count += outcome == RequestOutcome::kAnswered ? 1 : 0;
    if (outcome == RequestOutcome::kNotRun) {
      for (const auto& [id, sent] : run.m_sent) {
        m_reported_not_run.insert(id);
      }
    }
    if (!m_is_idempotent) {
      m_key_ledger.Resolve(
          run.m_key, outcome,
          std::make_shared<const std::string>(std::to_string(run.m_request)));
    }
  }

  void FinishOverdueRuns() {
    for (size_t index = 0; index < m_runs.size(); ++index) {
      if (m_runs[index].m_deadline <= Now()) {
        Execute(index, m_runs[index].m_tracker.OnDeadline());
      }
    }
  }

  void Deliver(uint8_t pick, bool is_duplicated) {
    if (m_network.empty()) {
      return;
    }
    const size_t index = pick % m_network.size();
    const Packet packet = m_network[index];
    if (!is_duplicated) {
      m_network.erase(m_network.begin() + static_cast<std::ptrdiff_t>(index));
    }
    switch (packet.m_kind) {
      case PacketKind::kDispatch:
        return Enqueue(m_egresses[packet.m_egress].OnDispatch(packet, Now()));
      case PacketKind::kQuery:
        return Enqueue(m_egresses[packet.m_egress].OnQuery(packet));
      default:
        return OnReply(packet);
    }
  }

  void Drop(uint8_t pick) {
    if (!m_network.empty()) {
      m_network.erase(m_network.begin() + pick % m_network.size());
    }
  }

  void Enqueue(const std::optional<Packet>& packet) {
    if (packet) {
      m_network.push_back(*packet);
    }
  }

  void Connect(FakeEgress& egress) {
    if (const auto sent = egress.Connect()) {
      ++m_executions[sent->m_request];
      m_started.insert(sent->m_spec.m_id);
    }
  }

  void OnReply(const Packet& packet) {
    const AttemptId& id = packet.m_spec.m_id;
    for (size_t index = 0; index < m_runs.size(); ++index) {
      if (m_runs[index].m_sent.count(id) == 0) {
        continue;
      }
      m_has_wrong_response |= packet.m_kind == PacketKind::kAnswered &&
                              packet.m_request != m_runs[index].m_request;
      return Execute(index, ApplyReply(m_runs[index].m_tracker, packet));
    }
  }

  TrackerDecision ApplyReply(Tracker& tracker, const Packet& packet) {
    switch (packet.m_kind) {
      case PacketKind::kNotStarted:
        return tracker.OnNotStarted(packet.m_spec.m_id);
      case PacketKind::kRunning:
        return tracker.OnRunning(packet.m_spec.m_id);
      case PacketKind::kAnswered:
        return tracker.OnAnswered(packet.m_spec.m_id);
      default:
        return tracker.OnMaybeExecuted(packet.m_spec.m_id);
    }
  }

  // The deadlines of all callers are near.
  void CancelOpenAttempts() {
    for (size_t index = 0; index < m_runs.size(); ++index) {
      Execute(index, m_runs[index].m_tracker.OnCancelTime());
    }
  }

  // The owner detects that its connection to an egress broke; messages in
  // flight on it can still arrive.
  void BreakLink(uint8_t pick) {
    const int egress = pick % kEgresses;
    for (size_t index = 0; index < m_runs.size(); ++index) {
      const auto sent = m_runs[index].m_sent;
      for (const auto& [id, target] : sent) {
        if (target.first == egress) {
          Execute(index, m_runs[index].m_tracker.OnLinkBroken(id));
        }
      }
    }
  }

  // The owner loses its runs; their packets stay in the network.
  void RestartOwner() {
    m_issuer = MakeIssuer(m_issuer.OwnIncarnation().Get() + 1);
    m_key_ledger = Keys({.m_max_keys = 64});
    m_runs.clear();
  }

  bool m_is_idempotent;
  bool m_has_target = true;
  int64_t m_now_ms = 0;
  uint64_t m_next_counter = 0;
  KeyIssuer m_issuer = MakeIssuer(1);
  Keys m_key_ledger{{.m_max_keys = 64}};
  std::vector<IdempotencyKey> m_keys;
  std::array<FakeEgress, kEgresses> m_egresses{FakeEgress(0), FakeEgress(1)};
  std::vector<Run> m_runs;
  std::vector<Packet> m_network;
  std::array<int, kRequests> m_executions{};
  std::set<AttemptId> m_started;
  std::set<AttemptId> m_reported_not_run;
  int m_answered_count = 0;
  bool m_has_wrong_response = false;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_EXECUTION_TESTS_FAKE_FLEET_H_
