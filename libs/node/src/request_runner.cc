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
// Attempts that an egress refused count apart from those that may have run.
constexpr uint32_t kMaxRefusals = 6;

WallTime EndOf(const RunRequest& request) {
  return request.m_deadline + request.m_linger;
}

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

size_t BytesOf(const HttpAnswer& answer) {
  return BytesOf(answer.m_fields) + answer.m_body.size();
}

std::chrono::milliseconds CancelLead(std::chrono::milliseconds total) {
  return std::min(kCancelLead, total / kCancelShare);
}

}  // namespace

RequestRunner::Execution::Execution(asio::io_context& io,
                                    RunRequest request,
                                    Done done)
    : m_request(std::move(request)),
      m_done(std::move(done)),
      m_tracker({.m_is_idempotent = m_request.m_is_idempotent,
                 .m_max_attempts = m_request.m_max_attempts + kMaxRefusals}),
      m_timer(io) {}

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

void RequestRunner::Follow(RunId run, const OutcomeStep& step) {
  const auto it = m_runs.find(run);
  if (it == m_runs.end()) {
    return;
  }
  Execution& execution = *it->second;
  switch (step.m_next) {
    case NextStep::kWait:
      break;
    case NextStep::kSend:
      SendAttempt(run, execution);
      return;
    case NextStep::kQuery:
      if (step.m_after_pause) {
        execution.m_query_next = step.m_attempt;
      } else {
        SendQuery(execution, step.m_attempt);
      }
      break;
    case NextStep::kFinish:
      Finish(run, step.m_outcome);
      return;
  }
  ArmTimer(run, execution);
}

void RequestRunner::SendAttempt(RunId run, Execution& execution) {
  const bool is_late = WallNow() >= execution.m_request.m_deadline;
  const Target choice =
      !is_late && MayTryAgain(execution) ? Pick(execution) : Target{};
  const InstanceView* target = choice.m_instance;
  if (target == nullptr || !TakeRetry(execution)) {
    Follow(run, execution.m_tracker.OnNoTarget());
    return;
  }
  const AttemptId id = NextAttempt();
  if (!execution.m_tracker.MaySend(id)) {
    Follow(run, execution.m_tracker.OnNoTarget());
    return;
  }
  ++m_stats.m_attempts;
  m_stats.m_retries += execution.m_sent.empty() ? 0 : 1;
  const RunRequest& request = execution.m_request;
  const bool is_other_region = target->m_locality == Locality::kOtherRegion;
  if (is_other_region) {
    ++m_stats.m_other_region_attempts;
    m_stats.m_other_region_bytes += BytesOf(request.m_request);
  }
  execution.m_sent.push_back({.m_id = id,
                              .m_instance = target->m_id,
                              .m_node = target->m_node,
                              .m_node_incarnation = target->m_node_incarnation,
                              .m_deadline = request.m_deadline,
                              .m_is_other_region = is_other_region});
  m_run_of[id] = run;
  m_picker.OnSent(target->m_id, target->m_node, Now());
  const WallTime now = WallNow();
  if (request.m_is_idempotent) {
    const auto attempts_left = static_cast<int>(
        request.m_max_attempts - std::min<size_t>(request.m_max_attempts - 1,
                                                  execution.m_sent.size() - 1));
    execution.m_attempt_until =
        now + (request.m_deadline - now) / attempts_left;
  }
  const bool was_queued = m_transport.Send(
      target->m_node,
      DispatchMessage{
          .m_attempt = id,
          .m_egress_incarnation = target->m_node_incarnation,
          .m_service = request.m_service,
          .m_instance = target->m_id,
          .m_account = request.m_account,
          .m_account_share = request.m_account_share,
          .m_is_idempotent = request.m_is_idempotent,
          .m_accept_suspect = choice.m_accept_suspect,
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

void RequestRunner::SendQuery(Execution& execution, const AttemptId& attempt) {
  const SentAttempt* sent = FindSent(execution, attempt);
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
    CancelOpen(*execution);
  }
  for (SentAttempt& sent : execution->m_sent) {
    Close(sent);
  }
  execution->m_done(std::move(result));
}

void RequestRunner::ArmTimer(RunId run, Execution& execution) {
  const WallTime now = WallNow();
  WallTime due = EndOf(execution.m_request);
  if (execution.m_cancel_at) {
    due = std::min(due, *execution.m_cancel_at);
  }
  if (execution.m_attempt_until) {
    due = std::min(due, *execution.m_attempt_until);
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
  if (now >= EndOf(execution.m_request)) {
    if (!Withdraw(run, execution)) {
      Follow(run, execution.m_tracker.OnDeadline());
    }
    return;
  }
  if (execution.m_query_next) {
    SendQuery(execution, *std::exchange(execution.m_query_next, std::nullopt));
  }
  if (execution.m_attempt_until && now >= *execution.m_attempt_until) {
    execution.m_attempt_until.reset();
    SentAttempt& last = execution.m_sent.back();
    last.m_may_have_run = true;
    execution.m_reason = AttemptReason::kTimeout;
    Follow(run, execution.m_tracker.OnMayHaveRun(last.m_id));
    return;
  }
  if (execution.m_cancel_at && now >= *execution.m_cancel_at) {
    execution.m_cancel_at.reset();
    if (!Withdraw(run, execution)) {
      Follow(run, execution.m_tracker.OnCancelTime());
    }
    return;
  }
  ArmTimer(run, execution);
}

// Takes an attempt back that still waits for a connection. True when there was
// one; its step is followed then.
bool RequestRunner::Withdraw(RunId run, Execution& execution) {
  for (SentAttempt& sent : execution.m_sent) {
    if (sent.m_is_open && m_transport.Withdraw(sent.m_node, sent.m_id)) {
      Close(sent);
      execution.m_reason = AttemptReason::kConnectFailed;
      const OutcomeStep step = execution.m_tracker.OnNotStarted(sent.m_id);
      const bool is_late = WallNow() >= execution.m_request.m_deadline;
      Follow(run, is_late && step.m_next == NextStep::kSend
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

bool RequestRunner::MayTryAgain(const Execution& execution) const {
  const auto may_have_run = std::count_if(
      execution.m_sent.begin(), execution.m_sent.end(),
      [](const SentAttempt& sent) { return sent.m_may_have_run; });
  return may_have_run < execution.m_request.m_max_attempts;
}

OutcomeStep RequestRunner::StepFor(Execution& execution,
                                   ResultMessage& result) {
  const AttemptId id = result.m_attempt;
  if (SentAttempt* sent = FindSent(execution, id)) {
    if (sent->m_is_other_region) {
      m_stats.m_other_region_bytes += BytesOf(result.m_answer);
    }
    // After a lost link another run of the egress may have started it.
    if (sent->m_may_have_run &&
        result.m_reason == AttemptReason::kWrongIncarnation) {
      result.m_result = AttemptResult::kCannotTell;
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
      return execution.m_tracker.OnMayHaveRun(id);
    case AttemptResult::kRunning:
      break;
  }
  return execution.m_tracker.OnRunning(id);
}

OutcomeStep RequestRunner::StepForAnswer(Execution& execution,
                                         ResultMessage& result) {
  const bool is_error = result.m_reason == AttemptReason::kBackendError ||
                        result.m_reason == AttemptReason::kShed;
  if (is_error && execution.m_request.m_is_idempotent) {
    execution.m_error_answer = std::move(result.m_answer);
    return execution.m_tracker.OnMayHaveRun(result.m_attempt);
  }
  execution.m_answer = std::move(result.m_answer);
  return execution.m_tracker.OnAnswered(result.m_attempt);
}

Target RequestRunner::Pick(const Execution& execution) {
  std::vector<InstanceId> tried;
  tried.reserve(execution.m_sent.size());
  for (const SentAttempt& sent : execution.m_sent) {
    tried.push_back(sent.m_instance);
  }
  const RunRequest& request = execution.m_request;
  return m_picker.Pick(request.m_service,
                       {.m_idempotent = request.m_is_idempotent,
                        .m_time_left = request.m_deadline - WallNow(),
                        .m_tried = tried},
                       Now());
}

// The first refusal is followed by another try at no charge, for the view of
// the ingress may be old; any other retry takes from the service's budget.
bool RequestRunner::TakeRetry(const Execution& execution) {
  const RunRequest& request = execution.m_request;
  const TimePoint now = Now();
  RetryBudget& budget = BudgetOf(request, now);
  if (execution.m_sent.empty()) {
    budget.OnRequest(now);
    return true;
  }
  const bool is_first_refusal =
      execution.m_sent.size() == 1 && !execution.m_sent.front().m_may_have_run;
  return is_first_refusal || budget.TryRetry(now);
}

RetryBudget& RequestRunner::BudgetOf(const RunRequest& request, TimePoint now) {
  const auto [it, is_new] = m_budgets.try_emplace(
      request.m_service,
      ServiceBudget{
          .m_share = request.m_retry_share,
          .m_budget = RetryBudget({.m_share = request.m_retry_share}, now)});
  ServiceBudget& known = it->second;
  if (known.m_share != request.m_retry_share) {
    known.m_share = request.m_retry_share;
    known.m_budget = RetryBudget({.m_share = request.m_retry_share}, now);
  }
  return known.m_budget;
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
    if (!execution->m_request.m_is_idempotent || execution->m_sent.empty()) {
      continue;
    }
    SentAttempt& last = execution->m_sent.back();
    if (last.m_is_open && !last.m_may_have_run &&
        m_picker.IsPathSuspect(last.m_node)) {
      last.m_may_have_run = true;
      execution->m_reason = AttemptReason::kTimeout;
      affected.emplace_back(run, last.m_id);
    }
  }
  for (const auto& [run, attempt] : affected) {
    const auto it = m_runs.find(run);
    if (it != m_runs.end()) {
      Follow(run, it->second->m_tracker.OnMayHaveRun(attempt));
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

RequestRunner::SentAttempt* RequestRunner::FindSent(Execution& execution,
                                                    const AttemptId& attempt) {
  const auto it = std::find_if(
      execution.m_sent.begin(), execution.m_sent.end(),
      [&attempt](const SentAttempt& sent) { return sent.m_id == attempt; });
  return it == execution.m_sent.end() ? nullptr : &*it;
}

}  // namespace sequoiastage
