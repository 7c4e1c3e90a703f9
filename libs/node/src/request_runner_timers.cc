#include <algorithm>
#include <utility>

#include "request_runner_p.h"

// Timers of requests in execution: hedges, time-outs, cancellation.
namespace sequoiastage {

namespace {

// Delay before a query of an attempt is sent again.
constexpr std::chrono::milliseconds kQueryDelay{100};

}  // namespace

// Sets when the attempt that was just sent is hedged, and when it times out for
// a retry.
void RequestRunner::SetAttemptTimers(Execution& execution) {
  const RunRequest& request = execution.m_request;
  if (!request.m_is_idempotent) {
    return;
  }
  const WallTime now = WallNow();
  const auto attempts_left = static_cast<int>(
      request.m_max_attempts - std::min<size_t>(request.m_max_attempts - 1,
                                                execution.m_sent.size() - 1));
  execution.m_attempt_timeout_at =
      now + (request.m_deadline - now) / attempts_left;
  execution.m_hedge_at.reset();
  if (!request.m_hedge_quantile || execution.HasHedge()) {
    return;
  }
  const TimePoint start = Now();
  const auto delay = GetServiceState(request, start)
                         .m_latency.Quantile(*request.m_hedge_quantile, start);
  if (delay) {
    execution.m_hedge_at =
        now + std::chrono::ceil<std::chrono::milliseconds>(*delay);
  }
}

void RequestRunner::ArmTimer(ExecutionId execution_id, Execution& execution) {
  const WallTime now = WallNow();
  WallTime wake_at = execution.FinalDeadline();
  if (execution.m_cancel_at) {
    wake_at = std::min(wake_at, *execution.m_cancel_at);
  }
  if (execution.m_attempt_timeout_at) {
    wake_at = std::min(wake_at, *execution.m_attempt_timeout_at);
  }
  if (execution.m_hedge_at) {
    wake_at = std::min(wake_at, *execution.m_hedge_at);
  }
  if (execution.m_pending_query) {
    wake_at = std::min(wake_at, now + kQueryDelay);
  }
  execution.m_timer.expires_after(
      std::max(wake_at - now, std::chrono::milliseconds(1)));
  execution.m_timer.async_wait(
      [this, execution_id](const asio::error_code& error) {
        if (!error) {
          OnTimer(execution_id);
        }
      });
}

void RequestRunner::OnTimer(ExecutionId execution_id) {
  const auto it = m_executions.find(execution_id);
  if (it == m_executions.end()) {
    return;
  }
  Execution& execution = *it->second;
  const WallTime now = WallNow();
  if (now >= execution.FinalDeadline()) {
    if (!Withdraw(execution_id, execution)) {
      ApplyStep(execution_id, execution.m_tracker.OnDeadline());
    }
    return;
  }
  if (execution.m_pending_query) {
    SendQuery(execution,
              *std::exchange(execution.m_pending_query, std::nullopt));
  }
  if (execution.m_attempt_timeout_at &&
      now >= *execution.m_attempt_timeout_at) {
    TimeOutOpenAttempts(execution_id, execution);
    return;
  }
  if (execution.m_cancel_at && now >= *execution.m_cancel_at) {
    OnCancelTime(execution_id, execution);
    return;
  }
  if (execution.m_hedge_at && now >= *execution.m_hedge_at) {
    execution.m_hedge_at.reset();
    SendHedge(execution_id, execution);
    return;
  }
  ArmTimer(execution_id, execution);
}

void RequestRunner::EndAll() {
  std::vector<ExecutionId> ids;
  ids.reserve(m_executions.size());
  for (const auto& [id, execution] : m_executions) {
    ids.push_back(id);
  }
  for (const ExecutionId id : ids) {
    auto it = m_executions.find(id);
    if (it == m_executions.end()) {
      continue;
    }
    it->second->m_request.m_deadline = WallNow();
    while (it != m_executions.end() && Withdraw(id, *it->second)) {
      it = m_executions.find(id);
    }
    if (it != m_executions.end()) {
      ApplyStep(id, it->second->m_tracker.OnDeadline());
    }
  }
}

// Times out the open attempts for a retry. Their responses are still accepted.
void RequestRunner::TimeOutOpenAttempts(ExecutionId execution_id,
                                        Execution& execution) {
  execution.m_attempt_timeout_at.reset();
  execution.m_hedge_at.reset();
  execution.m_reason = AttemptReason::kTimeout;
  TrackerDecision next;
  for (SentAttempt& sent : execution.m_sent) {
    if (!sent.m_is_open) {
      continue;
    }
    sent.m_may_have_run = true;
    const TrackerDecision step = execution.m_tracker.OnMaybeExecuted(sent.m_id);
    next = step.m_next == TrackerAction::kWait ? next : step;
  }
  ApplyStep(execution_id, next);
}

// The tracker queries one open attempt; a hedge beside it is queried as well.
void RequestRunner::OnCancelTime(ExecutionId execution_id,
                                 Execution& execution) {
  execution.m_cancel_at.reset();
  execution.m_hedge_at.reset();
  for (const SentAttempt& sent : execution.m_sent) {
    if (sent.m_is_open && sent.m_is_hedge) {
      SendQuery(execution, sent.m_id);
    }
  }
  if (!Withdraw(execution_id, execution)) {
    ApplyStep(execution_id, execution.m_tracker.OnCancelTime());
  }
}

// Withdraws an attempt that is still queued for a connection. True when there
// was one; its step has then been applied.
bool RequestRunner::Withdraw(ExecutionId execution_id, Execution& execution) {
  for (SentAttempt& sent : execution.m_sent) {
    if (sent.m_is_open && m_transport.Withdraw(sent.m_node, sent.m_id)) {
      CloseAttempt(sent);
      execution.m_reason = AttemptReason::kConnectFailed;
      const TrackerDecision step = execution.m_tracker.OnNotStarted(sent.m_id);
      const bool is_late = WallNow() >= execution.m_request.m_deadline;
      ApplyStep(execution_id, is_late && step.m_next == TrackerAction::kSend
                                  ? execution.m_tracker.OnDeadline()
                                  : step);
      return true;
    }
  }
  return false;
}

std::vector<NodeId> RequestRunner::OnTick() {
  std::vector<NodeId> probes = m_picker.OnTick(Now());
  if (m_picker.HasSuspectPaths()) {
    TimeOutSuspectPaths();
  }
  return probes;
}

// Retries idempotent requests whose attempts are open on a suspect path.
void RequestRunner::TimeOutSuspectPaths() {
  std::vector<std::pair<ExecutionId, AttemptId>> affected;
  for (const auto& [execution_id, execution] : m_executions) {
    if (!execution->m_request.m_is_idempotent) {
      continue;
    }
    for (SentAttempt& sent : execution->m_sent) {
      if (sent.m_is_open && !sent.m_may_have_run &&
          m_picker.IsPathSuspect(sent.m_node)) {
        sent.m_may_have_run = true;
        execution->m_reason = AttemptReason::kTimeout;
        affected.emplace_back(execution_id, sent.m_id);
      }
    }
  }
  for (const auto& [execution_id, attempt] : affected) {
    const auto it = m_executions.find(execution_id);
    if (it != m_executions.end()) {
      ApplyStep(execution_id, it->second->m_tracker.OnMaybeExecuted(attempt));
    }
  }
}

}  // namespace sequoiastage
