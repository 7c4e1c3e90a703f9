#include "egress_p.h"

#include <algorithm>
#include <utility>

#include "call_verdict_p.h"
#include "protocol_fields_p.h"
#include "sequoiastage/logging/log_event.h"
#include "stored_message_p.h"

namespace sequoiastage {

namespace {

// A non-idempotent call may respond this long after the caller's deadline, so
// that a caller that retries with the same key receives the response.
constexpr std::chrono::seconds kLateResponseTime{5};

// The connect timeout is the remaining time divided by this, so that a request
// that reaches no server can be retried or reported as not-run in time.
constexpr int kConnectTimeoutDivisor = 2;

AttemptSpec BuildAttemptTicket(const DispatchMessage& message) {
  return {.m_id = message.m_attempt,
          .m_egress = message.m_egress_incarnation,
          .m_deadline = DeadlineFromMs(message.m_deadline_ms)};
}

AttemptReason ToReason(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kWrongIncarnation:
      return AttemptReason::kWrongIncarnation;
    case RefusalReason::kPastDeadline:
      return AttemptReason::kPastDeadline;
    case RefusalReason::kTooOld:
      return AttemptReason::kDuplicate;
    default:
      return AttemptReason::kBusy;
  }
}

}  // namespace

Egress::Egress(asio::io_context& io, Incarnation incarnation)
    : m_client(io), m_incarnation(incarnation), m_ledger(incarnation) {}

void Egress::Dispatch(DispatchMessage message, Reply reply) {
  const Admission admission =
      m_ledger.Admit(BuildAttemptTicket(message), WallNow());
  if (admission.m_verdict == Admission::Verdict::kDuplicate) {
    ReplyToDuplicate(message, admission, std::move(reply));
    return;
  }
  if (admission.m_verdict == Admission::Verdict::kRefused) {
    const auto result = admission.m_reason == RefusalReason::kTooOld
                            ? AttemptResult::kOutcomeUnknown
                            : AttemptResult::kNotStarted;
    ++m_stats.m_refused;
    reply(MakeResult(message.m_attempt, result, ToReason(admission.m_reason)));
    return;
  }
  const AttemptReason refusal = FindRefusalReason(message);
  if (refusal != AttemptReason::kNone) {
    Refuse(message, refusal, reply);
    return;
  }
  const AttemptId id = message.m_attempt;
  const TimePoint now = Now();
  Instance& instance = *Find(message.m_instance);
  const AdmissionResult result = instance.m_gate.Admit(
      now, now + (DeadlineFromMs(message.m_deadline_ms) - WallNow()),
      message.m_account, message.m_account_share);
  if (result.m_decision == AdmissionDecision::kRefused) {
    Refuse(message, AttemptReason::kBusy, reply);
    ApplyGateChanges(instance, result.m_changes);
    return;
  }
  Attempt& attempt = m_attempts[id];
  attempt.m_message = std::move(message);
  attempt.m_replies.push_back(std::move(reply));
  attempt.m_ticket = result.m_ticket;
  instance.m_attempts[result.m_ticket] = id;
  if (result.m_decision == AdmissionDecision::kAdmitted) {
    StartAttempt(instance, id);
  }
  ApplyGateChanges(instance, result.m_changes);
}

void Egress::Query(const QueryMessage& message, Reply reply) {
  const AttemptSpec ticket{.m_id = message.m_attempt,
                           .m_egress = message.m_egress_incarnation,
                           .m_deadline = DeadlineFromMs(message.m_deadline_ms)};
  const AttemptReport report = m_ledger.CancelIfNotStarted(ticket);
  const AttemptId id = message.m_attempt;
  if (report.m_certainty == AttemptReport::Certainty::kUndetermined) {
    reply(MakeResult(id, AttemptResult::kOutcomeUnknown, AttemptReason::kNone));
    return;
  }
  if (IsNeverStarted(report.m_state)) {
    CancelQueued(id);
    reply(
        MakeResult(id, AttemptResult::kNotStarted, AttemptReason::kCancelled));
    return;
  }
  if (report.m_state == AttemptState::kRunning) {
    if (message.m_cancel_running) {
      CancelRunning(id);
      reply(MakeResult(id, AttemptResult::kFailed, AttemptReason::kCancelled));
      return;
    }
    reply(MakeResult(id, AttemptResult::kRunning, AttemptReason::kNone));
    m_attempts[id].m_replies.push_back(std::move(reply));
    return;
  }
  const auto stored = DecodeStoredMessage<ResultMessage>(report.m_response);
  reply(stored ? *stored
               : MakeResult(id, AttemptResult::kFailed, AttemptReason::kNone));
}

void Egress::ReplyToDuplicate(const DispatchMessage& message,
                              const Admission& admission,
                              Reply reply) {
  const auto it = m_attempts.find(message.m_attempt);
  if (it != m_attempts.end()) {
    it->second.m_replies.push_back(std::move(reply));
    return;
  }
  if (const auto stored =
          DecodeStoredMessage<ResultMessage>(admission.m_response)) {
    reply(*stored);
    return;
  }
  const auto result = IsNeverStarted(admission.m_state)
                          ? AttemptResult::kNotStarted
                          : AttemptResult::kFailed;
  reply(MakeResult(message.m_attempt, result, AttemptReason::kDuplicate));
}

AttemptReason Egress::FindRefusalReason(const DispatchMessage& message) {
  Instance* instance = Find(message.m_instance);
  if (instance == nullptr || instance->m_local.m_service != message.m_service) {
    return AttemptReason::kUnknownInstance;
  }
  if (m_is_draining || instance->m_local.m_is_draining ||
      instance->m_local.m_is_excluded) {
    return AttemptReason::kDraining;
  }
  if (!TryAdmitSuspect(*instance, message)) {
    return AttemptReason::kSuspect;
  }
  return AttemptReason::kNone;
}

bool Egress::TryAdmitSuspect(Instance& instance,
                             const DispatchMessage& message) {
  if (instance.m_judge.Report().m_verdict == Verdict::kHealthy ||
      message.m_accept_suspect) {
    return true;
  }
  return message.m_is_idempotent &&
         instance.m_judge.AllowProbationRequest(Now());
}

void Egress::Refuse(const DispatchMessage& message,
                    AttemptReason reason,
                    const Reply& reply) {
  m_ledger.MarkRefused(message.m_attempt);
  ++m_stats.m_refused;
  ResultMessage result =
      MakeResult(message.m_attempt, AttemptResult::kNotStarted, reason);
  result.m_loads = CollectHints(message.m_service);
  reply(std::move(result));
}

void Egress::ApplyGateChanges(Instance& instance, const GateChanges& changes) {
  for (const Ticket ticket : changes.m_refused) {
    RefuseQueued(instance, ticket);
  }
  for (const Ticket ticket : changes.m_started) {
    const auto it = instance.m_attempts.find(ticket);
    if (it != instance.m_attempts.end()) {
      StartAttempt(instance, it->second);
    }
  }
}

void Egress::RefuseQueued(Instance& instance, Ticket ticket) {
  const auto it = instance.m_attempts.find(ticket);
  if (it == instance.m_attempts.end()) {
    return;
  }
  const AttemptId id = it->second;
  instance.m_attempts.erase(it);
  const Attempt attempt = std::move(m_attempts[id]);
  m_attempts.erase(id);
  m_ledger.MarkRefused(id);
  ++m_stats.m_refused;
  ResultMessage result =
      MakeResult(id, AttemptResult::kNotStarted, AttemptReason::kBusy);
  result.m_loads = CollectHints(attempt.m_message.m_service);
  SendReplies(attempt.m_replies, result);
}

// The attempt already holds a slot of the gate.
void Egress::StartAttempt(Instance& instance, const AttemptId& id) {
  if (m_ledger.MarkRunning(id, WallNow())) {
    StartCall(instance, id);
    return;
  }
  ++m_stats.m_refused;
  const Attempt attempt = std::move(m_attempts[id]);
  m_attempts.erase(id);
  instance.m_attempts.erase(attempt.m_ticket);
  SendReplies(attempt.m_replies, MakeResult(id, AttemptResult::kNotStarted,
                                            AttemptReason::kPastDeadline));
  ApplyGateChanges(instance,
                   instance.m_gate.OnFinish(attempt.m_ticket, Now(), false));
}

void Egress::StartCall(Instance& instance, const AttemptId& id) {
  Attempt& attempt = m_attempts[id];
  const auto left = DeadlineFromMs(attempt.m_message.m_deadline_ms) - WallNow();
  HttpCallOptions options{.m_server = instance.m_local.m_id.Get(),
                          .m_timeout = left,
                          .m_is_idempotent = attempt.m_message.m_is_idempotent};
  options.m_connect_timeout = std::min<Duration>(options.m_connect_timeout,
                                                 left / kConnectTimeoutDivisor);
  if (!attempt.m_message.m_is_idempotent) {
    options.m_timeout += kLateResponseTime;
  }
  HttpRequest request = std::move(attempt.m_message.m_request);
  request.m_fields.push_back({kDeadlineField, std::to_string(left.count())});
  attempt.m_instance_incarnation = instance.m_local.m_incarnation;
  attempt.m_work = instance.m_judge.OnStart(Now());
  ++m_stats.m_started;
  attempt.m_call = m_client.Start(
      options, std::move(request),
      [this, id](HttpCallResult result) { OnCallEnd(id, std::move(result)); });
}

void Egress::OnCallEnd(const AttemptId& id, HttpCallResult result) {
  const Attempt& attempt = m_attempts[id];
  const CallVerdict verdict =
      ClassifyCall(result, attempt.m_message.m_completeness_field);
  ResultMessage message = MakeResult(id, verdict.m_result, verdict.m_reason);
  message.m_response = std::move(result.m_response);
  if (verdict.m_outcome != Outcome::kSuccess) {
    LogEvent(LogLevel::kDebug, "backend_call_failed")
        .Add("instance", ToString(attempt.m_message.m_instance))
        .Add("reason", ToString(verdict.m_reason))
        .Add("detail", result.m_reason);
  }
  Finish(id, std::move(message), verdict.m_outcome);
}

void Egress::Finish(const AttemptId& id,
                    ResultMessage result,
                    Outcome outcome) {
  const auto it = m_attempts.find(id);
  const Attempt attempt = std::move(it->second);
  m_attempts.erase(it);
  const bool is_not_started = result.m_result == AttemptResult::kNotStarted;
  if (result.m_result == AttemptResult::kAnswered) {
    ++m_stats.m_answered;
    m_ledger.MarkAnswered(id, attempt.m_message.m_is_idempotent
                                  ? nullptr
                                  : EncodeStoredMessage(result));
  } else {
    ++m_stats.m_failed;
    if (is_not_started) {
      m_ledger.MarkNotStarted(id);
    } else {
      m_ledger.MarkFailed(id);
    }
  }
  Instance* instance = Find(attempt.m_message.m_instance);
  if (instance == nullptr ||
      instance->m_local.m_incarnation != attempt.m_instance_incarnation) {
    SendReplies(attempt.m_replies, result);
    return;
  }
  const TimePoint now = Now();
  const bool is_duration_sample = outcome != Outcome::kCancelled &&
                                  outcome != Outcome::kShed && !is_not_started;
  instance->m_judge.OnFinish(attempt.m_work, now, outcome);
  instance->m_attempts.erase(attempt.m_ticket);
  const GateChanges changes =
      instance->m_gate.OnFinish(attempt.m_ticket, now, is_duration_sample);
  result.m_loads = CollectLoads(attempt.m_message.m_service);
  SendReplies(attempt.m_replies, result);
  ApplyGateChanges(*instance, changes);
}

void Egress::CancelRunning(const AttemptId& id) {
  const auto it = m_attempts.find(id);
  if (it == m_attempts.end()) {
    return;
  }
  m_client.Cancel(it->second.m_call);
  ++m_stats.m_cancelled;
  Finish(id, MakeResult(id, AttemptResult::kFailed, AttemptReason::kCancelled),
         Outcome::kCancelled);
}

void Egress::CancelQueued(const AttemptId& id) {
  const auto it = m_attempts.find(id);
  if (it == m_attempts.end()) {
    return;
  }
  ++m_stats.m_cancelled;
  const Attempt attempt = std::move(it->second);
  m_attempts.erase(it);
  if (Instance* instance = Find(attempt.m_message.m_instance)) {
    if (instance->m_gate.CancelQueued(attempt.m_ticket)) {
      instance->m_attempts.erase(attempt.m_ticket);
    }
  }
  SendReplies(attempt.m_replies, MakeResult(id, AttemptResult::kNotStarted,
                                            AttemptReason::kCancelled));
}

void Egress::SendReplies(const std::vector<Reply>& replies,
                         const ResultMessage& result) {
  for (const Reply& reply : replies) {
    reply(result);
  }
}

ResultMessage Egress::MakeResult(const AttemptId& id,
                                 AttemptResult result,
                                 AttemptReason reason) const {
  return {.m_attempt = id, .m_result = result, .m_reason = reason};
}

Egress::Instance* Egress::Find(InstanceId id) {
  const auto it = m_instances.find(id);
  return it == m_instances.end() ? nullptr : &it->second;
}

}  // namespace sequoiastage
