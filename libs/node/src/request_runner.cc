#include "request_runner_p.h"

#include <algorithm>
#include <utility>

namespace sequoiastage {

namespace {

// An attempt that has not started this long before the deadline is cancelled,
// so that the outcome "not-run" can be reported.
constexpr std::chrono::milliseconds kCancelLead{150};
// For short requests the lead is the remaining time divided by this.
constexpr int kCancelLeadDivisor = 4;

size_t CountBytes(const std::vector<HttpField>& fields) {
  size_t bytes = 0;
  for (const HttpField& field : fields) {
    bytes += field.m_name.size() + field.m_value.size();
  }
  return bytes;
}

size_t CountBytes(const HttpRequest& request) {
  return request.m_target.size() + CountBytes(request.m_fields) +
         request.m_body.size();
}

size_t CountBytes(const HttpResponse& response) {
  return CountBytes(response.m_fields) + response.m_body.size();
}

std::chrono::milliseconds GetCancelLead(std::chrono::milliseconds total) {
  return std::min(kCancelLead, total / kCancelLeadDivisor);
}

}  // namespace

RequestRunner::RequestRunner(asio::io_context& io,
                             Options options,
                             Transport& transport)
    : m_io(io),
      m_options(options),
      m_transport(transport),
      m_picker(options.m_node, options.m_incarnation.Get()),
      m_retry_after({}, Now()),
      m_random(options.m_incarnation.Get()) {}

AttemptId RequestRunner::NextAttempt() {
  return {.m_ingress = m_options.m_node,
          .m_incarnation = m_options.m_incarnation,
          .m_counter = ++m_last_counter};
}

void RequestRunner::Run(RunRequest request, Done done) {
  const ExecutionId execution_id = ++m_last_execution_id;
  ++m_stats.m_runs;
  const auto left = request.m_deadline - WallNow();
  auto& execution = *m_executions
                         .emplace(execution_id, std::make_unique<Execution>(
                                                    m_io, std::move(request),
                                                    std::move(done)))
                         .first->second;
  if (left <= std::chrono::milliseconds(0)) {
    ApplyStep(execution_id, execution.m_tracker.OnDeadline());
    return;
  }
  execution.m_cancel_at = execution.m_request.m_deadline - GetCancelLead(left);
  ApplyStep(execution_id, execution.m_tracker.Start());
}

void RequestRunner::OnResult(ResultMessage result) {
  m_picker.OnLoads(result.m_loads, Now());
  const auto it = m_execution_by_attempt.find(result.m_attempt);
  if (it == m_execution_by_attempt.end()) {
    return;
  }
  const ExecutionId execution_id = it->second;
  Execution& execution = *m_executions[execution_id];
  if (result.m_reason != AttemptReason::kNone) {
    execution.m_reason = result.m_reason;
  }
  ApplyStep(execution_id, ProcessResult(execution, result));
}

void RequestRunner::OnNotSent(const Message& message) {
  if (const auto* dispatch = std::get_if<DispatchMessage>(&message)) {
    OnResult({.m_attempt = dispatch->m_attempt,
              .m_result = AttemptResult::kNotStarted,
              .m_reason = AttemptReason::kConnectFailed});
    return;
  }
  // The queried attempt was sent earlier and may have run.
  const auto* query = std::get_if<QueryMessage>(&message);
  const auto it = query == nullptr
                      ? m_execution_by_attempt.end()
                      : m_execution_by_attempt.find(query->m_attempt);
  if (it != m_execution_by_attempt.end()) {
    const ExecutionId execution_id = it->second;
    ApplyStep(execution_id, m_executions[execution_id]->m_tracker.OnLinkBroken(
                                query->m_attempt));
  }
}

void RequestRunner::OnLinkLost(NodeId node) {
  std::vector<std::pair<ExecutionId, AttemptId>> affected;
  for (const auto& [execution_id, execution] : m_executions) {
    for (SentAttempt& sent : execution->m_sent) {
      if (sent.m_is_open && sent.m_node == node) {
        sent.m_may_have_run = true;
        affected.emplace_back(execution_id, sent.m_id);
      }
    }
  }
  for (const auto& [execution_id, attempt] : affected) {
    const auto it = m_executions.find(execution_id);
    if (it != m_executions.end()) {
      ApplyStep(execution_id, it->second->m_tracker.OnLinkBroken(attempt));
    }
  }
}

void RequestRunner::ApplyStep(ExecutionId execution_id,
                              const TrackerDecision& step) {
  const auto it = m_executions.find(execution_id);
  if (it == m_executions.end()) {
    return;
  }
  Execution& execution = *it->second;
  switch (step.m_next) {
    case TrackerAction::kWait:
      break;
    case TrackerAction::kSend:
      SendAttempt(execution_id, execution);
      return;
    case TrackerAction::kQuery:
      if (step.m_after_delay) {
        execution.m_pending_query = step.m_attempt;
      } else {
        SendQuery(execution, step.m_attempt);
      }
      break;
    case TrackerAction::kFinish:
      Finish(execution_id, step.m_outcome);
      return;
  }
  ArmTimer(execution_id, execution);
}

void RequestRunner::SendAttempt(ExecutionId execution_id,
                                Execution& execution) {
  const bool is_late = WallNow() >= execution.m_request.m_deadline;
  const Target target = !is_late && execution.CanRetry()
                            ? Pick(execution, /*is_hedge=*/false)
                            : Target{};
  if (target.m_instance == nullptr || !TryConsumeRetry(execution)) {
    ApplyStep(execution_id, execution.m_tracker.OnNoTarget());
    return;
  }
  const AttemptId id = NextAttempt();
  if (!execution.m_tracker.TryBeginAttempt(id)) {
    ApplyStep(execution_id, execution.m_tracker.OnNoTarget());
    return;
  }
  m_stats.m_retries += execution.m_sent.empty() ? 0 : 1;
  Dispatch(execution_id, execution, id, target, /*is_hedge=*/false);
}

void RequestRunner::SendHedge(ExecutionId execution_id, Execution& execution) {
  const RunRequest& request = execution.m_request;
  const Target target =
      execution.CanHedge() ? Pick(execution, /*is_hedge=*/true) : Target{};
  const TimePoint now = Now();
  if (target.m_instance == nullptr ||
      !GetServiceState(request, now).m_budget.TryRetry(now)) {
    ArmTimer(execution_id, execution);
    return;
  }
  const AttemptId id = NextAttempt();
  if (!execution.m_tracker.TryBeginHedge(id)) {
    ArmTimer(execution_id, execution);
    return;
  }
  ++m_stats.m_hedges;
  Dispatch(execution_id, execution, id, target, /*is_hedge=*/true);
}

void RequestRunner::Dispatch(ExecutionId execution_id,
                             Execution& execution,
                             const AttemptId& id,
                             const Target& target,
                             bool is_hedge) {
  ++m_stats.m_attempts;
  const RunRequest& request = execution.m_request;
  const InstanceView& instance = *target.m_instance;
  const bool is_other_region = instance.m_locality == Locality::kOtherRegion;
  if (is_other_region) {
    ++m_stats.m_other_region_attempts;
    m_stats.m_other_region_bytes += CountBytes(request.m_request);
  }
  execution.m_sent.push_back({.m_id = id,
                              .m_instance = instance.m_id,
                              .m_node = instance.m_node,
                              .m_node_incarnation = instance.m_node_incarnation,
                              .m_deadline = request.m_deadline,
                              .m_sent_at = Now(),
                              .m_is_other_region = is_other_region,
                              .m_is_hedge = is_hedge});
  m_execution_by_attempt[id] = execution_id;
  m_picker.OnSent(instance.m_id, instance.m_node, Now());
  SetAttemptTimers(execution);
  const bool was_queued = m_transport.Send(
      instance.m_node,
      DispatchMessage{
          .m_attempt = id,
          .m_egress_incarnation = instance.m_node_incarnation,
          .m_service = request.m_service,
          .m_instance = instance.m_id,
          .m_account = request.m_account,
          .m_account_share = request.m_account_share,
          .m_is_idempotent = request.m_is_idempotent,
          .m_accept_suspect = target.m_accept_suspect,
          .m_completeness_field = request.m_completeness_field,
          .m_deadline_ms = request.m_deadline.time_since_epoch().count(),
          .m_request = request.m_request});
  if (!was_queued) {
    CloseAttempt(execution.m_sent.back());
    execution.m_reason = AttemptReason::kBusy;
    ApplyStep(execution_id, execution.m_tracker.OnNotStarted(id));
    return;
  }
  ArmTimer(execution_id, execution);
}

void RequestRunner::SendQuery(Execution& execution, const AttemptId& attempt) {
  const SentAttempt* sent = execution.Find(attempt);
  if (sent == nullptr) {
    return;
  }
  m_transport.Send(
      sent->m_node,
      QueryMessage{
          .m_attempt = attempt,
          .m_egress_incarnation = sent->m_node_incarnation,
          .m_deadline_ms = sent->m_deadline.time_since_epoch().count()});
}

void RequestRunner::Finish(ExecutionId execution_id, RequestOutcome outcome) {
  const auto it = m_executions.find(execution_id);
  const std::unique_ptr<Execution> execution = std::move(it->second);
  m_executions.erase(it);
  for (const SentAttempt& sent : execution->m_sent) {
    m_execution_by_attempt.erase(sent.m_id);
  }
  const TimePoint now = Now();
  if (outcome == RequestOutcome::kNotRun) {
    m_retry_after.OnRefused(now);
  } else {
    m_retry_after.OnAnswered(now);
  }
  RunResult result{.m_outcome = outcome,
                   .m_reason = execution->m_reason,
                   .m_retry_after = m_retry_after.Draw(now, m_random)};
  if (outcome == RequestOutcome::kAnswered) {
    result.m_response = std::move(execution->m_response);
  } else if (execution->m_error_response) {
    result.m_outcome = RequestOutcome::kAnswered;
    result.m_response = std::move(*execution->m_error_response);
  }
  if (execution->m_request.m_is_idempotent) {
    RecordOpenLatencies(*execution);
    CancelOpenAttempts(*execution);
  }
  for (SentAttempt& sent : execution->m_sent) {
    CloseAttempt(sent);
  }
  execution->m_done(std::move(result));
}

void RequestRunner::CancelOpenAttempts(const Execution& execution) {
  for (const SentAttempt& sent : execution.m_sent) {
    if (!sent.m_is_open) {
      continue;
    }
    m_transport.Send(
        sent.m_node,
        QueryMessage{
            .m_attempt = sent.m_id,
            .m_egress_incarnation = sent.m_node_incarnation,
            .m_deadline_ms = sent.m_deadline.time_since_epoch().count(),
            .m_cancel_running = true});
  }
}

TrackerDecision RequestRunner::ProcessResult(Execution& execution,
                                             ResultMessage& result) {
  const AttemptId id = result.m_attempt;
  if (SentAttempt* sent = execution.Find(id)) {
    if (sent->m_is_other_region) {
      m_stats.m_other_region_bytes += CountBytes(result.m_response);
    }
    // After a lost link another incarnation of the egress may have started it.
    if (sent->m_may_have_run &&
        result.m_reason == AttemptReason::kWrongIncarnation) {
      result.m_result = AttemptResult::kOutcomeUnknown;
    }
    if (result.m_result == AttemptResult::kAnswered &&
        result.m_reason == AttemptReason::kNone && sent->m_is_open) {
      RecordLatency(execution.m_request, *sent);
    }
    if (result.m_result != AttemptResult::kRunning) {
      CloseAttempt(*sent);
    }
    sent->m_may_have_run = result.m_result != AttemptResult::kNotStarted;
    if (result.m_reason == AttemptReason::kWrongIncarnation) {
      m_picker.OnNodeReplaced(sent->m_node, sent->m_node_incarnation);
    }
  }
  switch (result.m_result) {
    case AttemptResult::kAnswered:
      return ProcessAnswered(execution, result);
    case AttemptResult::kNotStarted:
      return execution.m_tracker.OnNotStarted(id);
    case AttemptResult::kFailed:
    case AttemptResult::kOutcomeUnknown:
      return execution.m_tracker.OnMaybeExecuted(id);
    case AttemptResult::kRunning:
      break;
  }
  return execution.m_tracker.OnRunning(id);
}

TrackerDecision RequestRunner::ProcessAnswered(Execution& execution,
                                               ResultMessage& result) {
  const bool is_error = result.m_reason == AttemptReason::kBackendError ||
                        result.m_reason == AttemptReason::kShed;
  if (is_error && execution.m_request.m_is_idempotent) {
    execution.m_error_response = std::move(result.m_response);
    return execution.m_tracker.OnMaybeExecuted(result.m_attempt);
  }
  const SentAttempt* sent = execution.Find(result.m_attempt);
  m_stats.m_hedges_won += sent != nullptr && sent->m_is_hedge ? 1 : 0;
  execution.m_response = std::move(result.m_response);
  return execution.m_tracker.OnAnswered(result.m_attempt);
}

Target RequestRunner::Pick(const Execution& execution, bool is_hedge) {
  const std::vector<InstanceId> tried = execution.TriedInstances();
  const RunRequest& request = execution.m_request;
  const SelectionRequest selection{
      .m_idempotent = request.m_is_idempotent,
      .m_time_left = request.m_deadline - WallNow(),
      .m_tried = tried};
  return is_hedge ? m_picker.PickHedge(request.m_service, selection, Now())
                  : m_picker.Pick(request.m_service, selection, Now());
}

// The retry after a first refusal is free because the view of the ingress may
// be stale; any other retry consumes the service's retry budget.
bool RequestRunner::TryConsumeRetry(const Execution& execution) {
  const TimePoint now = Now();
  RetryBudget& budget = GetServiceState(execution.m_request, now).m_budget;
  if (execution.m_sent.empty()) {
    budget.OnRequest(now);
    return true;
  }
  const bool is_first_refusal =
      execution.m_sent.size() == 1 && !execution.m_sent.front().m_may_have_run;
  return is_first_refusal || budget.TryRetry(now);
}

// Records the latency of an idempotent attempt for the hedge delay.
void RequestRunner::RecordLatency(const RunRequest& request,
                                  const SentAttempt& sent) {
  if (request.m_is_idempotent && request.m_hedge_quantile) {
    const TimePoint now = Now();
    GetServiceState(request, now).m_latency.Add(now - sent.m_sent_at, now);
  }
}

// The elapsed time of a cancelled attempt is a lower bound of its latency,
// which is informative only for long-running attempts. Without them each
// winning hedge would lower the quantile and with it the hedge delay.
void RequestRunner::RecordOpenLatencies(const Execution& execution) {
  const RunRequest& request = execution.m_request;
  const bool has_hedge = execution.HasHedge();
  for (const SentAttempt& sent : execution.m_sent) {
    const bool ran_long =
        sent.m_may_have_run || (has_hedge && !sent.m_is_hedge);
    if (sent.m_is_open && ran_long) {
      RecordLatency(request, sent);
    }
  }
}

RequestRunner::ServiceState& RequestRunner::GetServiceState(
    const RunRequest& request,
    TimePoint now) {
  const auto [it, is_new] = m_services.try_emplace(
      request.m_service,
      ServiceState{
          .m_share = request.m_retry_share,
          .m_budget = RetryBudget({.m_share = request.m_retry_share}, now)});
  ServiceState& state = it->second;
  if (state.m_share != request.m_retry_share) {
    state.m_share = request.m_retry_share;
    state.m_budget = RetryBudget({.m_share = request.m_retry_share}, now);
  }
  return state;
}

// Marks the attempt as ended on this node.
void RequestRunner::CloseAttempt(SentAttempt& sent) {
  if (sent.m_is_open) {
    sent.m_is_open = false;
    m_picker.OnEnded(sent.m_instance, sent.m_node, Now());
  }
}

}  // namespace sequoiastage
