#ifndef SEQUOIASTAGE_NODE_RUN_EXECUTION_P_H_
#define SEQUOIASTAGE_NODE_RUN_EXECUTION_P_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "sequoiastage/base/http_message.h"
#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/time.h"
#include "sequoiastage/execution/outcome_tracker.h"
#include "sequoiastage/wire/messages.h"

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
  // An idempotent request that runs longer than this quantile of the service's
  // recent latencies gets one copy; empty: never.
  std::optional<double> m_hedge_quantile{};
  // Nothing is started later.
  WallTime m_deadline;
  // How long after the deadline the outcome of started work still counts.
  std::chrono::milliseconds m_linger{0};
};

struct RunResult {
  RequestOutcome m_outcome = RequestOutcome::kUnknown;
  // Set when m_outcome is kAnswered.
  HttpResponse m_answer;
  // What the last attempt ended with; kNone when there was none.
  AttemptReason m_reason = AttemptReason::kNone;
  // When to come back, unless answered.
  std::chrono::seconds m_retry_after{1};
};

// An attempt of a request as the ingress sent it.
struct SentAttempt {
  AttemptId m_id;
  InstanceId m_instance;
  NodeId m_node;
  Incarnation m_node_incarnation;
  WallTime m_deadline;
  TimePoint m_sent_at;
  // No final result has come.
  bool m_is_open = true;
  bool m_may_have_run = false;
  bool m_is_other_region = false;
  // Sent beside another open attempt.
  bool m_is_copy = false;
};

// A request that is being run, with its attempts.
struct RunExecution {
  using Done = std::function<void(RunResult)>;

  RunExecution(asio::io_context& io, RunRequest request, Done done);

  // Time at which its outcome is told, whatever is known.
  WallTime End() const { return m_request.m_deadline + m_request.m_linger; }
  // The attempts that may have run leave room for another.
  bool MayTryAgain() const;
  // The same with the open attempts counted.
  bool MayTryBesideOpen() const;
  bool HasCopy() const;
  // Null when it was not sent for this request.
  SentAttempt* Find(const AttemptId& attempt);
  std::vector<InstanceId> TriedInstances() const;

  RunRequest m_request;
  Done m_done;
  OutcomeTracker m_tracker;
  asio::steady_timer m_timer;
  std::vector<SentAttempt> m_sent;
  // A whole answer with a server error, kept while others are tried.
  std::optional<HttpResponse> m_error_answer;
  HttpResponse m_answer;
  AttemptReason m_reason = AttemptReason::kNone;
  // When work that has not started is cancelled; empty once that is done.
  std::optional<WallTime> m_cancel_at;
  // When the open attempt of an idempotent request is given up for another.
  std::optional<WallTime> m_attempt_until;
  // When the open attempt counts as running long.
  std::optional<WallTime> m_hedge_at;
  std::optional<AttemptId> m_query_next;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_NODE_RUN_EXECUTION_P_H_
