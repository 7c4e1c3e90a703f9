#ifndef SEQUOIASTAGE_NODE_REQUEST_RUNNER_P_H_
#define SEQUOIASTAGE_NODE_REQUEST_RUNNER_P_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "node_view_p.h"
#include "run_execution_p.h"
#include "sequoiastage/limits/recent_latency.h"
#include "sequoiastage/limits/retry_after.h"
#include "sequoiastage/limits/retry_budget.h"
#include "sequoiastage/wire/messages.h"
#include "target_picker_p.h"
#include "transport_p.h"

namespace sequoiastage {

struct RunnerStats {
  uint64_t m_runs = 0;
  uint64_t m_attempts = 0;
  uint64_t m_retries = 0;
  // Copies of requests that ran long, and answers that came from them.
  uint64_t m_hedges = 0;
  uint64_t m_hedges_won = 0;
  // Over the links to other regions: attempts, and the bytes of requests and
  // answers (targets, fields and bodies).
  uint64_t m_other_region_attempts = 0;
  uint64_t m_other_region_bytes = 0;
};

// Has requests executed: picks instances, sends attempts, and tells one of
// three outcomes. Owned by the ingress thread.
class RequestRunner {
 public:
  using Done = RunExecution::Done;

  struct Options {
    NodeId m_node;
    Incarnation m_incarnation;
  };

  RequestRunner(asio::io_context& io, Options options, Transport& transport);

  void SetView(NodeViewPtr view) { m_picker.SetView(std::move(view)); }

  // Runs `request`; `done` is called once, at the latest at its deadline
  // and the time it lingers.
  void Run(RunRequest request, Done done);

  // Messages and events of the transport.
  void OnResult(ResultMessage result);
  void OnNotSent(const Message& message);
  void OnLinkLost(NodeId node);
  // Any frame came from `node`.
  void OnFrame(NodeId node) { m_picker.OnFrame(node, Now()); }
  void OnConnectionFailed(NodeId node) {
    m_picker.OnConnectionFailed(node, Now());
  }

  // To be called every 50 ms; returns the nodes to send a HelloMessage to.
  std::vector<NodeId> OnTick();

  // Numbers unique in this incarnation, shared with forwarded requests.
  AttemptId NextAttempt();

  size_t InFlight() const { return m_runs.size(); }
  const RunnerStats& Stats() const { return m_stats; }

 private:
  using RunId = uint64_t;
  using Execution = RunExecution;

  struct ServiceState {
    double m_share = 0;
    RetryBudget m_budget;
    // Of idempotent attempts.
    RecentLatency m_latency{};
  };

  void Follow(RunId run, const TrackerDecision& step);
  void SendAttempt(RunId run, Execution& execution);
  // Sends a copy beside the open attempt where the rules allow it.
  void SendCopy(RunId run, Execution& execution);
  // Sends attempt `id`, which the tracker has let pass.
  void Dispatch(RunId run,
                Execution& execution,
                const AttemptId& id,
                const Target& target,
                bool is_copy);
  void SetAttemptLimits(Execution& execution);
  void SendQuery(Execution& execution, const AttemptId& attempt);
  void Finish(RunId run, RequestOutcome outcome);
  void ArmTimer(RunId run, Execution& execution);
  void OnTimer(RunId run);
  void GiveUpOpen(RunId run, Execution& execution);
  void OnCancelTime(RunId run, Execution& execution);
  bool Withdraw(RunId run, Execution& execution);
  void CancelOpen(const Execution& execution);
  TrackerDecision StepFor(Execution& execution, ResultMessage& result);
  TrackerDecision StepForAnswer(Execution& execution, ResultMessage& result);
  Target Pick(const Execution& execution, bool is_copy);
  bool TakeRetry(const Execution& execution);
  void KeepLatency(const RunRequest& request, const SentAttempt& sent);
  void KeepLatencyOfOpen(const Execution& execution);
  // The service's state; its budget starts anew when its share has changed.
  ServiceState& StateOf(const RunRequest& request, TimePoint now);
  void GiveUpOnSuspectPaths();
  void Close(SentAttempt& sent);

  asio::io_context& m_io;
  Options m_options;
  Transport& m_transport;
  TargetPicker m_picker;
  std::unordered_map<ServiceId, ServiceState> m_services;
  RetryAfter m_retry_after;
  RunId m_last_run = 0;
  uint64_t m_last_counter = 0;
  std::unordered_map<RunId, std::unique_ptr<Execution>> m_runs;
  std::unordered_map<AttemptId, RunId> m_run_of;
  std::mt19937_64 m_random;
  RunnerStats m_stats;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_NODE_REQUEST_RUNNER_P_H_
