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

// A request to execute.
struct RunRequest {
  HttpRequest m_request;
  ServiceId m_service;
  AccountId m_account;
  double m_account_share = 1;
  std::string m_completeness_field;
  bool m_is_idempotent = false;
  uint32_t m_max_attempts = 2;
  // Retry budget as a fraction of the service's requests.
  double m_retry_share = 0.1;
  // An idempotent request that runs longer than this quantile of the service's
  // recent latencies is hedged once; empty disables hedging.
  std::optional<double> m_hedge_quantile{};
  // No attempt starts after this time.
  WallTime m_deadline;
  // Time after the deadline in which outcomes of started attempts are accepted.
  std::chrono::milliseconds m_linger{0};
};

struct RunResult {
  RequestOutcome m_outcome = RequestOutcome::kUnknown;
  // Set when m_outcome is kAnswered.
  HttpResponse m_response;
  // Reason of the last attempt; kNone when none was made.
  AttemptReason m_reason = AttemptReason::kNone;
  // Delay before the caller should retry, unless answered.
  std::chrono::seconds m_retry_after{1};
};

// An attempt that the ingress sent.
struct SentAttempt {
  AttemptId m_id;
  InstanceId m_instance;
  NodeId m_node;
  Incarnation m_node_incarnation;
  WallTime m_deadline;
  TimePoint m_sent_at;
  // No final result has been received.
  bool m_is_open = true;
  bool m_may_have_run = false;
  bool m_is_other_region = false;
  // Sent while another attempt was open.
  bool m_is_hedge = false;
};

// State of a request in execution and of its attempts.
struct RunExecution {
  using Done = std::function<void(RunResult)>;

  RunExecution(asio::io_context& io, RunRequest request, Done done);

  // Time at which an outcome is reported unconditionally.
  WallTime FinalDeadline() const {
    return m_request.m_deadline + m_request.m_linger;
  }
  // True while fewer than m_max_attempts attempts may have run.
  bool CanRetry() const;
  // As CanRetry(), with open attempts counted as well.
  bool CanHedge() const;
  bool HasHedge() const;
  // Null when the attempt was not sent for this request.
  SentAttempt* Find(const AttemptId& attempt);
  std::vector<InstanceId> TriedInstances() const;

  RunRequest m_request;
  Done m_done;
  OutcomeTracker m_tracker;
  asio::steady_timer m_timer;
  std::vector<SentAttempt> m_sent;
  // Complete response with a server error, kept during retries.
  std::optional<HttpResponse> m_error_response;
  HttpResponse m_response;
  AttemptReason m_reason = AttemptReason::kNone;
  // When attempts that have not started are cancelled; empty afterwards.
  std::optional<WallTime> m_cancel_at;
  // When the open attempts of an idempotent request time out for a retry.
  std::optional<WallTime> m_attempt_timeout_at;
  // When the open attempt is hedged.
  std::optional<WallTime> m_hedge_at;
  // Attempt to query when the timer expires next.
  std::optional<AttemptId> m_pending_query;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_NODE_RUN_EXECUTION_P_H_
