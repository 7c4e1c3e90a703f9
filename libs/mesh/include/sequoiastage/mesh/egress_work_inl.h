#ifndef SEQUOIASTAGE_MESH_EGRESS_WORK_INL_H_
#define SEQUOIASTAGE_MESH_EGRESS_WORK_INL_H_

// Execution of work that holds a slot, from its start to its outcome.

#include <fmt/format.h>

#include <asio/post.hpp>
#include <utility>

#include "sequoiastage/mesh/egress.h"
#include "sequoiastage/mesh/egress_inl.h"
#include "sequoiastage/mesh/wire_time.h"

namespace sequoiastage {

template <PlatformCodec Codec>
void Egress<Codec>::Execute(const WorkPtr& work) {
  const TimePoint now = BootNow();
  const Duration left = work->m_deadline - now;
  work->m_phase = Phase::kRunning;
  work->m_started_at = now;
  m_running.Add(work->m_offer.m_request_id, work->m_key, work);
  if (IsQuarantined(*work)) {
    ++m_stats.m_quarantined;
    Complete(work,
             {.m_result = AttemptResult::kNotStarted,
              .m_reason = AttemptReason::kQuarantined},
             RequestResult::kNoEvidence);
    return;
  }
  if (left < egress_detail::kMinTimeLeft || !m_instance) {
    Complete(work,
             {.m_result = AttemptResult::kNotStarted,
              .m_reason = AttemptReason::kPastDeadline},
             RequestResult::kNoEvidence);
    return;
  }
  work->m_instance = m_instance->Incarnation();
  work->m_retry_granted_at.reset();
  if (!work->m_offer.m_is_extra_attempt) {
    m_retry_budget.OnFirstAttempt(now, work->m_offer.m_urgency,
                                  work->m_offer.m_is_call);
  }
  ++m_stats.m_started;
  work->m_run = m_hold.OnStart(KindOf(work->m_offer), now);
  HttpRequest& request = work->m_offer.m_request;
  Codec::PrepareForInstance(request,
                            {.m_instance = work->m_offer.m_instance,
                             .m_caller_service = work->m_offer.m_caller_service,
                             .m_time_left = left,
                             .m_account = work->m_offer.m_account});
  if (work->m_large_bytes > 0) {
    work->m_fingerprint = FingerprintOf(*work);
  }
  work->m_connection = AcquireConnection(*work);
  work->m_connection->Send(
      request, left,
      [id = work->m_offer.m_request_id,
       is_reused = work->m_is_connection_reused](const HttpResponse& response) {
        const ResponseMetadata metadata = Codec::DecodeResponse(response);
        // On a reused connection, a response without an id may be a late copy
        // of an earlier one.
        return metadata.m_request_id == id ||
               (metadata.m_request_id.empty() && !is_reused &&
                (metadata.m_is_not_executed || metadata.m_is_wrong_instance));
      },
      [this, work](ExchangeResult result) {
        OnExchangeEnd(work, std::move(result));
      });
  if (work->m_large_bytes > 0) {
    request.m_body = {};  // The connection has a copy.
  }
  work->m_held.Set(0);
}

template <PlatformCodec Codec>
std::shared_ptr<ExchangeConnection> Egress<Codec>::AcquireConnection(
    Work& work) {
  const TimePoint now = BootNow();
  std::erase_if(m_idle_connections, [this, now](const IdleConnection& idle) {
    // A break on a connection that was idle for long is no evidence, which the
    // first request after a hold has to give.
    const bool is_stale =
        idle.m_is_unused && now - idle.m_since >= m_options.m_max_fresh_idle;
    if (idle.m_connection->IsReusable(now) && !is_stale) {
      return false;
    }
    idle.m_connection->Abort();
    return true;
  });
  // Reuse the most recently used connection: the instance is least likely to
  // close it.
  const auto idle = std::find_if(
      m_idle_connections.rbegin(), m_idle_connections.rend(),
      [&work](const IdleConnection& candidate) {
        const auto& refused = candidate.m_refused_ids;
        return std::find(refused.begin(), refused.end(),
                         work.m_offer.m_request_id) == refused.end();
      });
  if (idle != m_idle_connections.rend() &&
      (work.m_offer.m_is_idempotent ||
       now - idle->m_since < m_options.m_max_fresh_idle)) {
    auto connection = std::move(idle->m_connection);
    work.m_connection_idle = now - idle->m_since;
    work.m_is_connection_reused = !idle->m_is_unused;
    work.m_refused_ids = std::move(idle->m_refused_ids);
    m_idle_connections.erase(std::next(idle).base());
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
  RequestResult end = RequestResult::kNoEvidence;
  switch (result.m_outcome) {
    case ExchangeOutcome::kAnswered:
      outcome = ClassifyResponse(*work, std::move(result.m_response), &end);
      break;
    case ExchangeOutcome::kConnectFailed:
      outcome.m_result = AttemptResult::kNotStarted;
      outcome.m_reason = AttemptReason::kConnectFailed;
      end = RequestResult::kBroken;
      break;
    case ExchangeOutcome::kBroken:
      outcome.m_result = AttemptResult::kFailed;
      outcome.m_reason = AttemptReason::kIncompleteResponse;
      // The instance may have closed a connection that was idle for long; this
      // is no evidence against it.
      end = work->m_connection_idle > m_options.m_max_fresh_idle
                ? RequestResult::kNoEvidence
                : RequestResult::kBroken;
      CompleteBroken(
          {.m_work = work, .m_outcome = std::move(outcome), .m_result = end});
      return;
    case ExchangeOutcome::kTimeout:
      outcome.m_result = AttemptResult::kFailed;
      outcome.m_reason = AttemptReason::kTimeout;
      end = RequestResult::kUnanswered;
      break;
  }
  Complete(work, std::move(outcome), end);
}

template <PlatformCodec Codec>
void Egress<Codec>::OnStatements(const Work& work,
                                 const ResponseMetadata& metadata) {
  if (metadata.m_is_wrong_instance || !IsAtActiveInstance(work) ||
      !(metadata.m_is_attested || metadata.m_is_not_executed)) {
    return;
  }
  if (metadata.m_is_leaving) {
    asio::post(m_io, [this, instance = m_instance->Incarnation()] {
      m_hooks.m_on_leaving(instance);
    });
  }
  if (!metadata.m_error.empty() && metadata.m_error != m_logged_error) {
    m_logged_error = metadata.m_error;
    LogEvent(LogLevel::kWarn, "instance_statement_invalid")
        .Add("instance", m_instance->m_name)
        .Add("reason", metadata.m_error);
  }
  UpdateLimit(work, metadata);
  if (!m_is_proven) {
    // After the limit, so that the added slots do not overrun it.
    m_is_proven = true;
    ApplyGateChanges(m_gate.Resize(UsableSlots(), BootNow()));
  }
}

template <PlatformCodec Codec>
void Egress<Codec>::UpdateLimit(const Work& work,
                                const ResponseMetadata& metadata) {
  const TimePoint now = BootNow();
  // A response to an earlier request may have been produced before the limit.
  const bool is_lifted = !metadata.m_rate_limit && metadata.m_error.empty() &&
                         metadata.m_is_attested &&
                         work.m_started_at >= m_limit_stated_at;
  if (!metadata.m_rate_limit && !is_lifted) {
    return;
  }
  if (metadata.m_rate_limit) {
    m_limit_stated_at = now;
  }
  if (metadata.m_rate_limit == m_stated_limit) {
    return;
  }
  m_stated_limit = metadata.m_rate_limit;
  LogEvent(LogLevel::kInfo, "instance_limit")
      .Add("instance", m_instance->m_name)
      .Add("per_s",
           m_stated_limit ? fmt::format("{}", m_stated_limit->Get()) : "none");
  ApplyGateChanges(m_gate.SetRate(m_stated_limit, now));
}

template <PlatformCodec Codec>
OutcomeMessage Egress<Codec>::ClassifyResponse(const Work& work,
                                               HttpResponse response,
                                               RequestResult* end) {
  const ResponseMetadata metadata = Codec::DecodeResponse(response);
  OnStatements(work, metadata);
  const bool is_at_active = IsAtActiveInstance(work);
  if (is_at_active) {
    m_last_broken.clear();
    m_has_crashed = false;
  }
  OutcomeMessage outcome;
  if (metadata.m_is_wrong_instance) {
    outcome.m_result = AttemptResult::kNotStarted;
    outcome.m_reason = AttemptReason::kUnknownInstance;
    if (is_at_active) {
      asio::post(m_io, [this, instance = m_instance->Incarnation()] {
        m_hooks.m_on_mismatch(instance);
      });
    }
    return outcome;
  }
  if (metadata.m_is_not_executed) {
    outcome.m_result = AttemptResult::kNotStarted;
    outcome.m_reason = AttemptReason::kShed;
    if (is_at_active) {
      m_shed_until = BootNow() + m_options.m_shed_pause;
    }
    return outcome;
  }
  const bool is_success = response.m_status >= egress_detail::kFirstSuccess &&
                          response.m_status < egress_detail::kFirstRedirect;
  if (is_success && (!metadata.m_is_attested || metadata.m_is_encoded)) {
    *end = RequestResult::kBroken;
    outcome.m_result = AttemptResult::kFailed;
    outcome.m_reason = AttemptReason::kIncompleteResponse;
    return outcome;
  }
  *end = response.m_status >= egress_detail::kFirstServerError
             ? RequestResult::kServerError
             : RequestResult::kSuccess;
  RemoveHopByHopFields(response.m_fields);
  outcome.m_result = AttemptResult::kAnswered;
  outcome.m_response = std::move(response);
  return outcome;
}

template <PlatformCodec Codec>
void Egress<Codec>::Complete(const WorkPtr& work,
                             OutcomeMessage outcome,
                             RequestResult end) {
  const TimePoint now = BootNow();
  const HoldState before = m_hold.StateAt(now);
  if (end == RequestResult::kServerError &&
      m_last_local_failure_at >= work->m_started_at) {
    end = RequestResult::kNoEvidence;
  }
  if (work->m_connection) {
    m_hold.OnEnd(work->m_run, end, now);
    m_hold.Update(now, m_gate.IsWaitingForSlot());
    m_latency.Observe(now - work->m_started_at);
    if (outcome.m_result == AttemptResult::kNotStarted) {
      work->m_refused_ids.push_back(work->m_offer.m_request_id);
    }
    if (work->m_connection->IsReusable(now) && IsAtActiveInstance(*work) &&
        work->m_refused_ids.size() < m_options.m_max_refusals) {
      m_idle_connections.push_back(
          {.m_connection = work->m_connection,
           .m_since = now,
           .m_refused_ids = std::move(work->m_refused_ids)});
    } else {
      work->m_connection->Abort();
    }
  }
  if (outcome.m_result == AttemptResult::kAnswered && !m_quarantine.IsEmpty()) {
    m_quarantine.OnExecuted(FingerprintOf(*work), WallNow());
  }
  if (outcome.m_result == AttemptResult::kAnswered && work->m_large_bytes > 0) {
    m_byte_bound.OnSuccess(RunningLargeBytes());
  }
  m_stats.m_broken += end == RequestResult::kBroken ? 1 : 0;
  Release(work, end == RequestResult::kSuccess);
  LogHoldChange(before, ToString(outcome.m_reason));
  outcome.m_attempt = work->m_key.second;
  outcome.m_load_report = CurrentLoad();
  if (outcome.m_result != AttemptResult::kAnswered) {
    LogEvent(LogLevel::kInfo, "attempt_failed")
        .Add("request", work->m_offer.m_request_id)
        .Add("instance", work->m_offer.m_instance)
        .Add("ran", outcome.m_result == AttemptResult::kFailed ? "maybe" : "no")
        .Add("reason", ToString(outcome.m_reason))
        .Add("repeatable", work->m_offer.m_is_idempotent ? "yes" : "no")
        .Add("fingerprint",
             work->m_connection ? ToString(FingerprintOf(*work)) : "")
        .Add("took_ms", WholeMs(now - work->m_started_at));
  }
  if (m_manages_load &&
      outcome.m_response.m_body.size() > ByteBudget::kSmallBytes) {
    work->m_reply(OfferReplyMessage{.m_attempt = work->m_key.second,
                                    .m_verdict = OfferVerdict::kResponding,
                                    .m_load_report = outcome.m_load_report});
  }
  work->m_reply(outcome);
  if (!work->m_offer.m_is_idempotent) {
    RetainOutcome(work->m_key, std::move(outcome));
  }
}

template <PlatformCodec Codec>
RequestKind Egress<Codec>::KindOf(const OfferMessage& offer) const {
  const HttpRequest& request = offer.m_request;
  const TrafficRoute* route = m_routes.Find(request.m_host, request.m_target);
  return {.m_objective = route == nullptr ? Duration(std::chrono::seconds(1))
                                          : std::min(route->m_target_latency,
                                                     route->m_timeout),
          // Not that of the account: the time that a request takes depends on
          // its route.
          .m_urgency = route == nullptr ? offer.m_urgency : route->m_urgency,
          .m_is_idempotent = offer.m_is_idempotent};
}

template <PlatformCodec Codec>
void Egress<Codec>::UpdateHold(TimePoint now) {
  const HoldState before = m_hold.StateAt(now);
  m_hold.Update(now, m_gate.IsWaitingForSlot());
  LogHoldChange(before, "late");
}

template <PlatformCodec Codec>
void Egress<Codec>::LogHoldChange(HoldState before, std::string_view cause) {
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
      .Add("hold_ms", static_cast<int64_t>(CurrentLoad().m_hold_ms));
}

template <PlatformCodec Codec>
void Egress<Codec>::Release(const WorkPtr& work, bool counts) {
  work->m_timer.cancel();
  SetLargeBytes(*work, 0);
  m_work.erase(work->m_key);
  m_by_ticket.erase(work->m_ticket);
  m_running.Remove(work->m_offer.m_request_id, work->m_key);
  CountDownstreamEnd(*work, BootNow());
  ReturnRetry(*work);
  m_trial_count -= work->m_is_trial ? 1 : 0;
  work->m_is_trial = false;
  if (!m_gate.CancelQueued(work->m_ticket)) {
    ApplyGateChanges(m_gate.OnFinish(work->m_ticket, BootNow(), counts));
  }
}

template <PlatformCodec Codec>
void Egress<Codec>::ApplyGateChanges(const GateChanges& changes) {
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
    // The instance may have been held while the work was queued.
    const bool is_held = !work->m_offer.m_accepts_held && !work->m_is_trial &&
                         m_hold.StateAt(BootNow()) != HoldState::kInService;
    if (is_held || m_is_refusing_pending) {
      Release(work, false);
      Refuse(work->m_key, work->m_offer,
             is_held ? AttemptReason::kSuspect : AttemptReason::kDraining,
             work->m_reply);
      continue;
    }
    OnSlotGranted(work);
  }
  ScheduleGateTick();
}

template <PlatformCodec Codec>
void Egress<Codec>::ScheduleGateTick() {
  const auto wait = m_gate.TimeToTick(BootNow());
  if (!wait) {
    return;
  }
  m_gate_timer.expires_after(*wait);
  m_gate_timer.async_wait([this](const asio::error_code& error) {
    if (!error) {
      ApplyGateChanges(m_gate.OnTick(BootNow()));
    }
  });
}

template <PlatformCodec Codec>
void Egress<Codec>::RetainOutcome(const Key& key, OutcomeMessage outcome) {
  const TimePoint now = BootNow();
  // The outcome of an inquiry is unknown when it was dropped early.
  const size_t bytes = outcome.m_response.m_body.size();
  const ByteBudget* budget = m_options.m_budget.get();
  DropRetainedWhile([&] {
    return m_retained_outcomes.size() >= m_options.m_max_retained_outcomes ||
           (budget != nullptr &&
            (!budget->AdmitsNextStep(bytes) ||
             m_retained_bytes.Get() + bytes > budget->Limit() / 4));
  });
  m_retained_bytes.Set(m_retained_bytes.Get() + bytes);
  m_retained_outcomes.emplace_back(now + m_options.m_outcome_retention,
                                   std::pair(key, std::move(outcome)));
  if (m_retained_outcomes.size() == 1) {
    ExpireRetained();
  }
}

template <PlatformCodec Codec>
void Egress<Codec>::ExpireRetained() {
  m_retained_timer.expires_after(m_options.m_outcome_retention);
  m_retained_timer.async_wait([this](const asio::error_code& error) {
    if (error) {
      return;
    }
    const TimePoint now = BootNow();
    DropRetainedWhile([&] { return m_retained_outcomes.front().first <= now; });
    if (!m_retained_outcomes.empty()) {
      ExpireRetained();
    }
  });
}

template <PlatformCodec Codec>
template <class Predicate>
void Egress<Codec>::DropRetainedWhile(Predicate should_drop) {
  while (!m_retained_outcomes.empty() && should_drop()) {
    m_retained_bytes.Set(
        m_retained_bytes.Get() -
        m_retained_outcomes.front().second.second.m_response.m_body.size());
    m_retained_outcomes.pop_front();
  }
}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_EGRESS_WORK_INL_H_
