#include "request_runner_p.h"

#include <algorithm>
#include <utility>

namespace sequoiastage {

namespace {

// Work that has not started this long before the deadline is cancelled, so
// that the caller can be told "not-run".
constexpr std::chrono::milliseconds kCancelLead{150};
// Share of the time left that stays for the cancellation of short requests.
constexpr int kCancelShare = 4;
constexpr std::chrono::milliseconds kQueryPause{100};
size_t BytesOf(const std::vector<HttpField>& fields) {
  size_t bytes = 0;
  for (const HttpField& field : fields) {
    bytes += field.m_name.size() + field.m_value.size();
  }
  return bytes;
}

size_t BytesOf(const HttpRequest& request) {
  return request.m_target.size() + BytesOf(request.m_fields) +
         request.m_body.size();
}

size_t BytesOf(const HttpResponse& answer) {
  return BytesOf(answer.m_fields) + answer.m_body.size();
}

std::chrono::milliseconds CancelLead(std::chrono::milliseconds total) {
  return std::min(kCancelLead, total / kCancelShare);
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
  const RunId run = ++m_last_run;
  ++m_stats.m_runs;
  const auto left = request.m_deadline - WallNow();
  auto& execution =
      *m_runs
           .emplace(run, std::make_unique<Execution>(m_io, std::move(request),
                                                     std::move(done)))
           .first->second;
  if (left <= std::chrono::milliseconds(0)) {
    Follow(run, execution.m_tracker.OnDeadline());
    return;
  }
  execution.m_cancel_at = execution.m_request.m_deadline - CancelLead(left);
  Follow(run, execution.m_tracker.Start());
}

void RequestRunner::OnResult(ResultMessage result) {
  m_picker.OnLoads(result.m_loads, Now());
  const auto it = m_run_of.find(result.m_attempt);
  if (it == m_run_of.end()) {
    return;
  }
  const RunId run = it->second;
  Execution& execution = *m_runs[run];
  if (result.m_reason != AttemptReason::kNone) {
    execution.m_reason = result.m_reason;
  }
  Follow(run, StepFor(execution, result));
}

void RequestRunner::OnNotSent(const Message& message) {
  if (const auto* dispatch = std::get_if<DispatchMessage>(&message)) {
    OnResult({.m_attempt = dispatch->m_attempt,
              .m_result = AttemptResult::kNotStarted,
              .m_reason = AttemptReason::kConnectFailed});
    return;
  }
  // The attempt that a query asks about was sent earlier and may have run.
  const auto* query = std::get_if<QueryMessage>(&message);
  const auto it =
      query == nullptr ? m_run_of.end() : m_run_of.find(query->m_attempt);
  if (it != m_run_of.end()) {
    const RunId run = it->second;
    Follow(run, m_runs[run]->m_tracker.OnLinkBroken(query->m_attempt));
  }
}

void RequestRunner::OnLinkLost(NodeId node) {
  std::vector<std::pair<RunId, AttemptId>> affected;
  for (const auto& [run, execution] : m_runs) {
    for (SentAttempt& sent : execution->m_sent) {
      if (sent.m_is_open && sent.m_node == node) {
        sent.m_may_have_run = true;
        affected.emplace_back(run, sent.m_id);
      }
    }
  }
  for (const auto& [run, attempt] : affected) {
    const auto it = m_runs.find(run);
    if (it != m_runs.end()) {
      Follow(run, it->second->m_tracker.OnLinkBroken(attempt));
    }
  }
}

void RequestRunner::Follow(RunId run, const TrackerDecision& step) {
  const auto it = m_runs.find(run);
  if (it == m_runs.end()) {
    return;
  }
  Execution& execution = *it->second;
  switch (step.m_next) {
    case TrackerAction::kWait:
      break;
    case TrackerAction::kSend:
      SendAttempt(run, execution);
      return;
    case TrackerAction::kQuery:
      if (step.m_after_delay) {
        execution.m_query_next = step.m_attempt;
      } else {
        SendQuery(execution, step.m_attempt);
      }
      break;
    case TrackerAction::kFinish:
      Finish(run, step.m_outcome);
      return;
  }
  ArmTimer(run, execution);
}

void RequestRunner::SendAttempt(RunId run, Execution& execution) {
  const bool is_late = WallNow() >= execution.m_request.m_deadline;
  const Target target = !is_late && execution.MayTryAgain()
                            ? Pick(execution, /*is_copy=*/false)
                            : Target{};
  if (target.m_instance == nullptr || !TakeRetry(execution)) {
    Follow(run, execution.m_tracker.OnNoTarget());
    return;
  }
  const AttemptId id = NextAttempt();
  if (!execution.m_tracker.TryBeginAttempt(id)) {
    Follow(run, execution.m_tracker.OnNoTarget());
    return;
  }
  m_stats.m_retries += execution.m_sent.empty() ? 0 : 1;
  Dispatch(run, execution, id, target, /*is_copy=*/false);
}

void RequestRunner::SendCopy(RunId run, Execution& execution) {
  const RunRequest& request = execution.m_request;
  const Target target = execution.MayTryBesideOpen()
                            ? Pick(execution, /*is_copy=*/true)
                            : Target{};
  const TimePoint now = Now();
  if (target.m_instance == nullptr ||
      !StateOf(request, now).m_budget.TryRetry(now)) {
    ArmTimer(run, execution);
    return;
  }
  const AttemptId id = NextAttempt();
  if (!execution.m_tracker.TryBeginHedge(id)) {
    ArmTimer(run, execution);
    return;
  }
  ++m_stats.m_hedges;
  Dispatch(run, execution, id, target, /*is_copy=*/true);
}

void RequestRunner::Dispatch(RunId run,
                             Execution& execution,
                             const AttemptId& id,
                             const Target& target,
                             bool is_copy) {
  ++m_stats.m_attempts;
  const RunRequest& request = execution.m_request;
  const InstanceView& instance = *target.m_instance;
  const bool is_other_region = instance.m_locality == Locality::kOtherRegion;
  if (is_other_region) {
    ++m_stats.m_other_region_attempts;
    m_stats.m_other_region_bytes += BytesOf(request.m_request);
  }
  execution.m_sent.push_back({.m_id = id,
                              .m_instance = instance.m_id,
                              .m_node = instance.m_node,
                              .m_node_incarnation = instance.m_node_incarnation,
                              .m_deadline = request.m_deadline,
                              .m_sent_at = Now(),
                              .m_is_other_region = is_other_region,
                              .m_is_copy = is_copy});
  m_run_of[id] = run;
  m_picker.OnSent(instance.m_id, instance.m_node, Now());
  SetAttemptLimits(execution);
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
    Close(execution.m_sent.back());
    execution.m_reason = AttemptReason::kBusy;
    Follow(run, execution.m_tracker.OnNotStarted(id));
    return;
  }
  ArmTimer(run, execution);
}

// Until when the attempt that was just sent may run: alone, and at all before
// another one is made.
void RequestRunner::SetAttemptLimits(Execution& execution) {
  const RunRequest& request = execution.m_request;
  if (!request.m_is_idempotent) {
    return;
  }
  const WallTime now = WallNow();
  const auto attempts_left = static_cast<int>(
      request.m_max_attempts - std::min<size_t>(request.m_max_attempts - 1,
                                                execution.m_sent.size() - 1));
  execution.m_attempt_until = now + (request.m_deadline - now) / attempts_left;
  execution.m_hedge_at.reset();
  if (!request.m_hedge_quantile || execution.HasCopy()) {
    return;
  }
  const TimePoint start = Now();
  const auto delay = StateOf(request, start)
                         .m_latency.Quantile(*request.m_hedge_quantile, start);
  if (delay) {
    execution.m_hedge_at =
        now + std::chrono::ceil<std::chrono::milliseconds>(*delay);
  }
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

void RequestRunner::Finish(RunId run, RequestOutcome outcome) {
  const auto it = m_runs.find(run);
  const std::unique_ptr<Execution> execution = std::move(it->second);
  m_runs.erase(it);
  for (const SentAttempt& sent : execution->m_sent) {
    m_run_of.erase(sent.m_id);
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
    result.m_answer = std::move(execution->m_answer);
  } else if (execution->m_error_answer) {
    result.m_outcome = RequestOutcome::kAnswered;
    result.m_answer = std::move(*execution->m_error_answer);
  }
  if (execution->m_request.m_is_idempotent) {
    KeepLatencyOfOpen(*execution);
    CancelOpen(*execution);
  }
  for (SentAttempt& sent : execution->m_sent) {
    Close(sent);
  }
  execution->m_done(std::move(result));
}

void RequestRunner::ArmTimer(RunId run, Execution& execution) {
  const WallTime now = WallNow();
  WallTime due = execution.End();
  if (execution.m_cancel_at) {
    due = std::min(due, *execution.m_cancel_at);
  }
  if (execution.m_attempt_until) {
    due = std::min(due, *execution.m_attempt_until);
  }
  if (execution.m_hedge_at) {
    due = std::min(due, *execution.m_hedge_at);
  }
  if (execution.m_query_next) {
    due = std::min(due, now + kQueryPause);
  }
  execution.m_timer.expires_after(
      std::max(due - now, std::chrono::milliseconds(1)));
  execution.m_timer.async_wait([this, run](const asio::error_code& error) {
    if (!error) {
      OnTimer(run);
    }
  });
}

void RequestRunner::OnTimer(RunId run) {
  const auto it = m_runs.find(run);
  if (it == m_runs.end()) {
    return;
  }
  Execution& execution = *it->second;
  const WallTime now = WallNow();
  if (now >= execution.End()) {
    if (!Withdraw(run, execution)) {
      Follow(run, execution.m_tracker.OnDeadline());
    }
    return;
  }
  if (execution.m_query_next) {
    SendQuery(execution, *std::exchange(execution.m_query_next, std::nullopt));
  }
  if (execution.m_attempt_until && now >= *execution.m_attempt_until) {
    GiveUpOpen(run, execution);
    return;
  }
  if (execution.m_cancel_at && now >= *execution.m_cancel_at) {
    OnCancelTime(run, execution);
    return;
  }
  if (execution.m_hedge_at && now >= *execution.m_hedge_at) {
    execution.m_hedge_at.reset();
    SendCopy(run, execution);
    return;
  }
  ArmTimer(run, execution);
}

// Another attempt is made in place of the open ones. Their answers still count.
void RequestRunner::GiveUpOpen(RunId run, Execution& execution) {
  execution.m_attempt_until.reset();
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
  Follow(run, next);
}

// The tracker asks about one open attempt; a copy beside it is asked about too.
void RequestRunner::OnCancelTime(RunId run, Execution& execution) {
  execution.m_cancel_at.reset();
  execution.m_hedge_at.reset();
  for (const SentAttempt& sent : execution.m_sent) {
    if (sent.m_is_open && sent.m_is_copy) {
      SendQuery(execution, sent.m_id);
    }
  }
  if (!Withdraw(run, execution)) {
    Follow(run, execution.m_tracker.OnCancelTime());
  }
}

// Takes an attempt back that still waits for a connection. True when there was
// one; its step is followed then.
bool RequestRunner::Withdraw(RunId run, Execution& execution) {
  for (SentAttempt& sent : execution.m_sent) {
    if (sent.m_is_open && m_transport.Withdraw(sent.m_node, sent.m_id)) {
      Close(sent);
      execution.m_reason = AttemptReason::kConnectFailed;
      const TrackerDecision step = execution.m_tracker.OnNotStarted(sent.m_id);
      const bool is_late = WallNow() >= execution.m_request.m_deadline;
      Follow(run, is_late && step.m_next == TrackerAction::kSend
                      ? execution.m_tracker.OnDeadline()
                      : step);
      return true;
    }
  }
  return false;
}

void RequestRunner::CancelOpen(const Execution& execution) {
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

TrackerDecision RequestRunner::StepFor(Execution& execution,
                                       ResultMessage& result) {
  const AttemptId id = result.m_attempt;
  if (SentAttempt* sent = execution.Find(id)) {
    if (sent->m_is_other_region) {
      m_stats.m_other_region_bytes += BytesOf(result.m_answer);
    }
    // After a lost link another run of the egress may have started it.
    if (sent->m_may_have_run &&
        result.m_reason == AttemptReason::kWrongIncarnation) {
      result.m_result = AttemptResult::kCannotTell;
    }
    if (result.m_result == AttemptResult::kAnswered &&
        result.m_reason == AttemptReason::kNone && sent->m_is_open) {
      KeepLatency(execution.m_request, *sent);
    }
    if (result.m_result != AttemptResult::kRunning) {
      Close(*sent);
    }
    sent->m_may_have_run = result.m_result != AttemptResult::kNotStarted;
    if (result.m_reason == AttemptReason::kWrongIncarnation) {
      m_picker.OnNodeReplaced(sent->m_node, sent->m_node_incarnation);
    }
  }
  switch (result.m_result) {
    case AttemptResult::kAnswered:
      return StepForAnswer(execution, result);
    case AttemptResult::kNotStarted:
      return execution.m_tracker.OnNotStarted(id);
    case AttemptResult::kFailed:
    case AttemptResult::kCannotTell:
      return execution.m_tracker.OnMaybeExecuted(id);
    case AttemptResult::kRunning:
      break;
  }
  return execution.m_tracker.OnRunning(id);
}

TrackerDecision RequestRunner::StepForAnswer(Execution& execution,
                                             ResultMessage& result) {
  const bool is_error = result.m_reason == AttemptReason::kBackendError ||
                        result.m_reason == AttemptReason::kShed;
  if (is_error && execution.m_request.m_is_idempotent) {
    execution.m_error_answer = std::move(result.m_answer);
    return execution.m_tracker.OnMaybeExecuted(result.m_attempt);
  }
  const SentAttempt* sent = execution.Find(result.m_attempt);
  m_stats.m_hedges_won += sent != nullptr && sent->m_is_copy ? 1 : 0;
  execution.m_answer = std::move(result.m_answer);
  return execution.m_tracker.OnAnswered(result.m_attempt);
}

Target RequestRunner::Pick(const Execution& execution, bool is_copy) {
  const std::vector<InstanceId> tried = execution.TriedInstances();
  const RunRequest& request = execution.m_request;
  const SelectionRequest selection{
      .m_idempotent = request.m_is_idempotent,
      .m_time_left = request.m_deadline - WallNow(),
      .m_tried = tried};
  return is_copy ? m_picker.PickCopy(request.m_service, selection, Now())
                 : m_picker.Pick(request.m_service, selection, Now());
}

// The first refusal is followed by another try at no charge, for the view of
// the ingress may be old; any other retry takes from the service's budget.
bool RequestRunner::TakeRetry(const Execution& execution) {
  const TimePoint now = Now();
  RetryBudget& budget = StateOf(execution.m_request, now).m_budget;
  if (execution.m_sent.empty()) {
    budget.OnRequest(now);
    return true;
  }
  const bool is_first_refusal =
      execution.m_sent.size() == 1 && !execution.m_sent.front().m_may_have_run;
  return is_first_refusal || budget.TryRetry(now);
}

// How long an idempotent attempt took until its answer.
void RequestRunner::KeepLatency(const RunRequest& request,
                                const SentAttempt& sent) {
  if (request.m_is_idempotent && request.m_hedge_quantile) {
    const TimePoint now = Now();
    StateOf(request, now).m_latency.Add(now - sent.m_sent_at, now);
  }
}

// An attempt that is cancelled would have taken longer than it has run. That
// says something only of those that ran long; without them the quantile, and
// with it the delay of copies, would go down with each copy that wins.
void RequestRunner::KeepLatencyOfOpen(const Execution& execution) {
  const RunRequest& request = execution.m_request;
  const bool has_copy = execution.HasCopy();
  for (const SentAttempt& sent : execution.m_sent) {
    const bool ran_long = sent.m_may_have_run || (has_copy && !sent.m_is_copy);
    if (sent.m_is_open && ran_long) {
      KeepLatency(request, sent);
    }
  }
}

RequestRunner::ServiceState& RequestRunner::StateOf(const RunRequest& request,
                                                    TimePoint now) {
  const auto [it, is_new] = m_services.try_emplace(
      request.m_service,
      ServiceState{
          .m_share = request.m_retry_share,
          .m_budget = RetryBudget({.m_share = request.m_retry_share}, now)});
  ServiceState& known = it->second;
  if (known.m_share != request.m_retry_share) {
    known.m_share = request.m_retry_share;
    known.m_budget = RetryBudget({.m_share = request.m_retry_share}, now);
  }
  return known;
}

std::vector<NodeId> RequestRunner::OnTick() {
  std::vector<NodeId> probes = m_picker.OnTick(Now());
  if (m_picker.HasSuspectPaths()) {
    GiveUpOnSuspectPaths();
  }
  return probes;
}

// Idempotent work on a path that has gone silent is tried elsewhere.
void RequestRunner::GiveUpOnSuspectPaths() {
  std::vector<std::pair<RunId, AttemptId>> affected;
  for (const auto& [run, execution] : m_runs) {
    if (!execution->m_request.m_is_idempotent) {
      continue;
    }
    for (SentAttempt& sent : execution->m_sent) {
      if (sent.m_is_open && !sent.m_may_have_run &&
          m_picker.IsPathSuspect(sent.m_node)) {
        sent.m_may_have_run = true;
        execution->m_reason = AttemptReason::kTimeout;
        affected.emplace_back(run, sent.m_id);
      }
    }
  }
  for (const auto& [run, attempt] : affected) {
    const auto it = m_runs.find(run);
    if (it != m_runs.end()) {
      Follow(run, it->second->m_tracker.OnMaybeExecuted(attempt));
    }
  }
}

// The attempt is over for this node.
void RequestRunner::Close(SentAttempt& sent) {
  if (sent.m_is_open) {
    sent.m_is_open = false;
    m_picker.OnEnded(sent.m_instance, sent.m_node, Now());
  }
}

}  // namespace sequoiastage
