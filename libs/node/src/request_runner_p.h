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
#include "sequoiastage/execution/outcome_tracker.h"
#include "sequoiastage/limits/retry_after.h"
#include "sequoiastage/limits/retry_budget.h"
#include "sequoiastage/wire/messages.h"
#include "target_picker_p.h"
#include "transport_p.h"

namespace sequoiastage {

// One request to have executed.
struct RunRequest {
  HttpRequest m_request;
  ServiceId m_service;
  AccountId m_account;
  double m_account_share = 1;
  std::string m_completeness_field;
  bool m_is_idempotent = false;
  uint32_t m_max_attempts = 2;
  // Retries as a share of the service's requests.
  double m_retry_share = 0.1;
  // Nothing is started later.
  WallTime m_deadline;
  // How long after the deadline the outcome of started work still counts.
  std::chrono::milliseconds m_linger{0};
};

struct RunResult {
  RequestOutcome m_outcome = RequestOutcome::kUnknown;
  // Set when m_outcome is kAnswered.
  HttpAnswer m_answer;
  // What the last attempt ended with; kNone when there was none.
  AttemptReason m_reason = AttemptReason::kNone;
  // When to come back, unless answered.
  std::chrono::seconds m_retry_after{1};
};

struct RunnerStats {
  uint64_t m_runs = 0;
  uint64_t m_attempts = 0;
  uint64_t m_retries = 0;
  // Over the links to other regions: attempts, and the bytes of requests and
  // answers (targets, fields and bodies).
  uint64_t m_other_region_attempts = 0;
  uint64_t m_other_region_bytes = 0;
};

// Has requests executed: picks instances, sends attempts, and tells one of
// three outcomes. Owned by the ingress thread.
class RequestRunner {
 public:
  using Done = std::function<void(RunResult)>;

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

  struct ServiceBudget {
    double m_share = 0;
    RetryBudget m_budget;
  };

  struct SentAttempt {
    AttemptId m_id;
    InstanceId m_instance;
    NodeId m_node;
    Incarnation m_node_incarnation;
    WallTime m_deadline;
    // No final result has come.
    bool m_is_open = true;
    bool m_may_have_run = false;
    bool m_is_other_region = false;
  };

  struct Execution {
    Execution(asio::io_context& io, RunRequest request, Done done);

    RunRequest m_request;
    Done m_done;
    OutcomeTracker m_tracker;
    asio::steady_timer m_timer;
    std::vector<SentAttempt> m_sent;
    // A whole answer with a server error, kept while others are tried.
    std::optional<HttpAnswer> m_error_answer;
    HttpAnswer m_answer;
    AttemptReason m_reason = AttemptReason::kNone;
    // When work that has not started is cancelled; empty once that is done.
    std::optional<WallTime> m_cancel_at;
    // When the open attempt of an idempotent request is given up for another.
    std::optional<WallTime> m_attempt_until;
    std::optional<AttemptId> m_query_next;
  };

  void Follow(RunId run, const OutcomeStep& step);
  void SendAttempt(RunId run, Execution& execution);
  void SendQuery(Execution& execution, const AttemptId& attempt);
  void Finish(RunId run, RequestOutcome outcome);
  void ArmTimer(RunId run, Execution& execution);
  void OnTimer(RunId run);
  bool Withdraw(RunId run, Execution& execution);
  void CancelOpen(const Execution& execution);
  bool MayTryAgain(const Execution& execution) const;
  OutcomeStep StepFor(Execution& execution, ResultMessage& result);
  OutcomeStep StepForAnswer(Execution& execution, ResultMessage& result);
  Target Pick(const Execution& execution);
  bool TakeRetry(const Execution& execution);
  // The service's budget, started anew when its share has changed.
  RetryBudget& BudgetOf(const RunRequest& request, TimePoint now);
  void GiveUpOnSuspectPaths();
  void Close(SentAttempt& sent);
  SentAttempt* FindSent(Execution& execution, const AttemptId& attempt);

  asio::io_context& m_io;
  Options m_options;
  Transport& m_transport;
  TargetPicker m_picker;
  std::unordered_map<ServiceId, ServiceBudget> m_budgets;
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
