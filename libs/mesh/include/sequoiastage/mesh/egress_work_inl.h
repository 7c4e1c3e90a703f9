#ifndef SEQUOIASTAGE_MESH_EGRESS_WORK_INL_H_
#define SEQUOIASTAGE_MESH_EGRESS_WORK_INL_H_

// Work that has a slot, from its start at the instance to its end.

#include <asio/post.hpp>
#include <utility>

#include "sequoiastage/mesh/egress.h"
#include "sequoiastage/mesh/egress_inl.h"
#include "sequoiastage/mesh/wire_time.h"

namespace sequoiastage {

template <PlatformCodec Codec>
void Egress<Codec>::Run(const WorkPtr& work) {
  const TimePoint now = BootNow();
  const Duration left = work->m_deadline - now;
  work->m_phase = Phase::kRunning;
  if (left < egress_detail::kLeastTime || !m_instance) {
    End(work,
        {.m_result = AttemptResult::kNotStarted,
         .m_reason = AttemptReason::kPastDeadline},
        WorkEnd::kNoEvidence);
    return;
  }
  if (!work->m_offer.m_is_extra_attempt) {
    m_repeats.OnFirstAttempt(now, work->m_offer.m_urgency);
  }
  ++m_stats.m_started;
  work->m_started = now;
  m_hold.OnStart(now);
  HttpRequest& request = work->m_offer.m_request;
  Codec::PrepareForInstance(request,
                            {.m_instance = work->m_offer.m_instance,
                             .m_caller_service = work->m_offer.m_caller_service,
                             .m_time_left = left});
  work->m_connection = TakeConnection(*work);
  work->m_connection->Send(
      request, left,
      [id = work->m_offer.m_request_id](const HttpAnswer& answer) {
        const AnswerFacts facts = Codec::DecodeAnswer(answer);
        return facts.m_request_id == id ||
               (facts.m_request_id.empty() &&
                (facts.m_is_not_run || facts.m_is_other_instance));
      },
      [this, work](ExchangeResult result) {
        OnExchangeEnd(work, std::move(result));
      });
}

template <PlatformCodec Codec>
std::shared_ptr<ExchangeConnection> Egress<Codec>::TakeConnection(Work& work) {
  const TimePoint now = BootNow();
  std::erase_if(m_idle, [now](const IdleConnection& idle) {
    if (idle.m_connection->IsReusable(now)) {
      return false;
    }
    idle.m_connection->Abort();
    return true;
  });
  // The one used last, which the instance is least likely to close.
  if (!m_idle.empty() &&
      (work.m_offer.m_is_idempotent ||
       now - m_idle.back().m_since < m_options.m_fresh_idle)) {
    auto connection = std::move(m_idle.back().m_connection);
    work.m_connection_idle = now - m_idle.back().m_since;
    m_idle.pop_back();
    return connection;
  }
  ++m_stats.m_connections;
  return std::make_shared<ExchangeConnection>(m_io, m_instance->m_address,
                                              m_options.m_exchange);
}

template <PlatformCodec Codec>
void Egress<Codec>::OnExchangeEnd(const WorkPtr& work, ExchangeResult result) {
  if (!m_work.contains(work->m_key)) {
    return;
  }
  OutcomeMessage outcome;
  WorkEnd end = WorkEnd::kNoEvidence;
  switch (result.m_end) {
    case ExchangeEnd::kAnswered:
      outcome = JudgeAnswer(*work, std::move(result.m_answer), &end);
      break;
    case ExchangeEnd::kConnectFailed:
      outcome.m_result = AttemptResult::kNotStarted;
      outcome.m_reason = AttemptReason::kConnectFailed;
      end = WorkEnd::kBroken;
      break;
    case ExchangeEnd::kBroken:
      outcome.m_result = AttemptResult::kFailed;
      outcome.m_reason = AttemptReason::kIncompleteResponse;
      // A connection that was idle for long may have been closed at the other
      // end meanwhile: that says nothing about the instance.
      end = work->m_connection_idle > m_options.m_fresh_idle
                ? WorkEnd::kNoEvidence
                : WorkEnd::kBroken;
      break;
    case ExchangeEnd::kTimeout:
      outcome.m_result = AttemptResult::kFailed;
      outcome.m_reason = AttemptReason::kTimeout;
      end = WorkEnd::kServerError;
      break;
  }
  End(work, std::move(outcome), end);
}

template <PlatformCodec Codec>
OutcomeMessage Egress<Codec>::JudgeAnswer(const Work& work,
                                          HttpAnswer answer,
                                          WorkEnd* end) {
  const AnswerFacts facts = Codec::DecodeAnswer(answer);
  OutcomeMessage outcome;
  if (facts.m_is_other_instance) {
    outcome.m_result = AttemptResult::kNotStarted;
    outcome.m_reason = AttemptReason::kUnknownInstance;
    if (m_instance && m_instance->m_name == work.m_offer.m_instance) {
      asio::post(m_io, m_on_mismatch);
    }
    return outcome;
  }
  if (facts.m_is_not_run) {
    outcome.m_result = AttemptResult::kNotStarted;
    outcome.m_reason = AttemptReason::kShed;
    m_shed_until = BootNow() + m_options.m_shed_pause;
    return outcome;
  }
  const bool is_success = answer.m_status >= egress_detail::kFirstSuccess &&
                          answer.m_status < egress_detail::kFirstRedirect;
  if (is_success && (!facts.m_is_attested || facts.m_is_encoded)) {
    *end = WorkEnd::kBroken;
    outcome.m_result = AttemptResult::kFailed;
    outcome.m_reason = AttemptReason::kIncompleteResponse;
    return outcome;
  }
  *end = answer.m_status >= egress_detail::kFirstServerError
             ? WorkEnd::kServerError
             : WorkEnd::kSuccess;
  RemoveHopFields(answer.m_fields);
  outcome.m_result = AttemptResult::kAnswered;
  outcome.m_response = std::move(answer);
  return outcome;
}

template <PlatformCodec Codec>
void Egress<Codec>::End(const WorkPtr& work,
                        OutcomeMessage outcome,
                        WorkEnd end) {
  const TimePoint now = BootNow();
  const HoldState before = m_hold.StateAt(now);
  if (end == WorkEnd::kServerError && m_local_failure_at >= work->m_started) {
    end = WorkEnd::kNoEvidence;
  }
  if (work->m_connection) {
    m_hold.OnEnd(end, work->m_started, now);
    m_latency.Observe(now - work->m_started);
    if (work->m_connection->IsReusable(now) && m_instance &&
        m_instance->m_name == work->m_offer.m_instance) {
      m_idle.push_back({.m_connection = work->m_connection, .m_since = now});
    } else {
      work->m_connection->Abort();
    }
  }
  m_stats.m_broken += end == WorkEnd::kBroken ? 1 : 0;
  Release(work, end == WorkEnd::kSuccess);
  LogHold(before, ToString(outcome.m_reason));
  outcome.m_attempt = work->m_key.second;
  outcome.m_load_report = Standing();
  if (outcome.m_result != AttemptResult::kAnswered) {
    LogEvent(LogLevel::kInfo, "attempt_failed")
        .Add("request", work->m_offer.m_request_id)
        .Add("instance", work->m_offer.m_instance)
        .Add("ran", outcome.m_result == AttemptResult::kFailed ? "maybe" : "no")
        .Add("reason", ToString(outcome.m_reason))
        .Add("repeatable", work->m_offer.m_is_idempotent ? "yes" : "no")
        .Add("took_ms", WholeMs(now - work->m_started));
  }
  work->m_reply(outcome);
  if (!work->m_offer.m_is_idempotent) {
    Remember(work->m_key, std::move(outcome));
  }
}

template <PlatformCodec Codec>
void Egress<Codec>::LogHold(HoldState before, std::string_view cause) {
  const TimePoint now = BootNow();
  const HoldState after = m_hold.StateAt(now);
  if (before == after || !m_instance) {
    return;
  }
  m_stats.m_holds += after == HoldState::kHeld ? 1 : 0;
  LogEvent(LogLevel::kInfo,
           after == HoldState::kHeld ? "instance_held" : "instance_open")
      .Add("instance", m_instance->m_name)
      .Add("cause", cause)
      .Add("relapses", static_cast<int64_t>(m_hold.Relapses()))
      .Add("hold_ms", static_cast<int64_t>(Standing().m_hold_ms));
}

template <PlatformCodec Codec>
void Egress<Codec>::Release(const WorkPtr& work, bool counts) {
  work->m_timer.cancel();
  m_work.erase(work->m_key);
  m_by_ticket.erase(work->m_ticket);
  m_trials -= work->m_is_trial ? 1 : 0;
  work->m_is_trial = false;
  if (!m_gate.CancelQueued(work->m_ticket)) {
    Apply(m_gate.OnFinish(work->m_ticket, BootNow(), counts));
  }
}

template <PlatformCodec Codec>
void Egress<Codec>::Apply(const GateChanges& changes) {
  for (const Ticket ticket : changes.m_refused) {
    const auto found = m_by_ticket.find(ticket);
    if (found == m_by_ticket.end()) {
      continue;
    }
    const WorkPtr work = found->second;
    Release(work, false);
    Refuse(work->m_key, work->m_offer, AttemptReason::kBusy, work->m_reply);
  }
  for (const Ticket ticket : changes.m_started) {
    const auto found = m_by_ticket.find(ticket);
    if (found == m_by_ticket.end()) {
      continue;
    }
    const WorkPtr work = found->second;
    // The instance may have been held back while the work waited.
    const bool is_held = !work->m_offer.m_accepts_held && !work->m_is_trial &&
                         m_hold.StateAt(BootNow()) != HoldState::kOpen;
    if (is_held || m_is_refusing) {
      Release(work, false);
      Refuse(work->m_key, work->m_offer,
             is_held ? AttemptReason::kSuspect : AttemptReason::kDraining,
             work->m_reply);
      continue;
    }
    OnSlot(work);
  }
}

template <PlatformCodec Codec>
void Egress<Codec>::Remember(const Key& key, OutcomeMessage outcome) {
  const TimePoint now = BootNow();
  while (!m_ended.empty() && (m_ended.front().first < now ||
                              m_ended.size() >= m_options.m_max_remembered)) {
    m_ended.pop_front();
  }
  m_ended.emplace_back(now + m_options.m_remember,
                       std::pair(key, std::move(outcome)));
}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_EGRESS_WORK_INL_H_
