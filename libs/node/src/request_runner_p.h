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
  // Hedged requests, and hedges whose response was used.
  uint64_t m_hedges = 0;
  uint64_t m_hedges_won = 0;
  // Attempts over links to other regions, and the bytes of their requests and
  // responses (targets, fields and bodies).
  uint64_t m_other_region_attempts = 0;
  uint64_t m_other_region_bytes = 0;
};

// Executes requests: picks instances, sends attempts, and reports one of three
// outcomes. Owned by the ingress thread.
class RequestRunner {
 public:
  using Done = RunExecution::Done;

  struct Options {
    NodeId m_node;
    Incarnation m_incarnation;
  };

  RequestRunner(asio::io_context& io, Options options, Transport& transport);

  void SetView(NodeViewPtr view) { m_picker.SetView(std::move(view)); }

  // Executes `request`; `done` is called once, at the latest m_linger after the
  // deadline.
  void Run(RunRequest request, Done done);

  // Messages and events of the transport.
  void OnResult(ResultMessage result);
  void OnNotSent(const Message& message);
  void OnLinkLost(NodeId node);
  // A frame of any kind was received from `node`.
  void OnFrame(NodeId node) { m_picker.OnFrame(node, Now()); }
  void OnConnectionFailed(NodeId node) {
    m_picker.OnConnectionFailed(node, Now());
  }

  // Finishes all requests, as their deadlines would.
  void EndAll();

  // Runs periodic work; call every 50 ms. Returns the nodes to send a
  // HelloMessage to.
  std::vector<NodeId> OnTick();

  // Allocates an attempt id. Ids are unique in this incarnation and shared with
  // forwarded requests.
  AttemptId NextAttempt();

  size_t InFlight() const { return m_executions.size(); }
  const RunnerStats& Stats() const { return m_stats; }

 private:
  using ExecutionId = uint64_t;
  using Execution = RunExecution;

  struct ServiceState {
    double m_share = 0;
    RetryBudget m_budget;
    // Latencies of idempotent attempts.
    RecentLatency m_latency{};
  };

  void ApplyStep(ExecutionId execution_id, const TrackerDecision& step);
  void SendAttempt(ExecutionId execution_id, Execution& execution);
  // Hedges the open attempt if a target, the retry budget and the tracker allow
  // it.
  void SendHedge(ExecutionId execution_id, Execution& execution);
  // Sends attempt `id`, which the tracker has admitted.
  void Dispatch(ExecutionId execution_id,
                Execution& execution,
                const AttemptId& id,
                const Target& target,
                bool is_hedge);
  void SetAttemptTimers(Execution& execution);
  void SendQuery(Execution& execution, const AttemptId& attempt);
  void Finish(ExecutionId execution_id, RequestOutcome outcome);
  void ArmTimer(ExecutionId execution_id, Execution& execution);
  void OnTimer(ExecutionId execution_id);
  void TimeOutOpenAttempts(ExecutionId execution_id, Execution& execution);
  void OnCancelTime(ExecutionId execution_id, Execution& execution);
  bool Withdraw(ExecutionId execution_id, Execution& execution);
  void CancelOpenAttempts(const Execution& execution);
  TrackerDecision ProcessResult(Execution& execution, ResultMessage& result);
  TrackerDecision ProcessAnswered(Execution& execution, ResultMessage& result);
  Target Pick(const Execution& execution, bool is_hedge);
  bool TryConsumeRetry(const Execution& execution);
  void RecordLatency(const RunRequest& request, const SentAttempt& sent);
  void RecordOpenLatencies(const Execution& execution);
  // State of the request's service. A changed share resets its retry budget.
  ServiceState& GetServiceState(const RunRequest& request, TimePoint now);
  void TimeOutSuspectPaths();
  void CloseAttempt(SentAttempt& sent);

  asio::io_context& m_io;
  Options m_options;
  Transport& m_transport;
  TargetPicker m_picker;
  std::unordered_map<ServiceId, ServiceState> m_services;
  RetryAfter m_retry_after;
  ExecutionId m_last_execution_id = 0;
  uint64_t m_last_counter = 0;
  std::unordered_map<ExecutionId, std::unique_ptr<Execution>> m_executions;
  std::unordered_map<AttemptId, ExecutionId> m_execution_by_attempt;
  std::mt19937_64 m_random;
  RunnerStats m_stats;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_NODE_REQUEST_RUNNER_P_H_
