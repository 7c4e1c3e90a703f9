#ifndef SEQUOIASTAGE_MESH_INGRESS_ATTEMPTS_INL_H_
#define SEQUOIASTAGE_MESH_INGRESS_ATTEMPTS_INL_H_

// Handling of single attempts, from offer to outcome.

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "sequoiastage/mesh/ingress.h"
#include "sequoiastage/mesh/ingress_inl.h"
#include "sequoiastage/mesh/wire_time.h"

namespace sequoiastage {

template <PlatformCodec Codec>
bool Ingress<Codec>::ReserveResponse(Call& call) {
  if (!m_options.m_budget || !m_manages_load ||
      !call.m_route->m_has_large_bodies) {
    return true;
  }
  const size_t expected = m_response_sizes.Expected(call.m_route->m_name);
  if (!m_options.m_budget->Admits(expected, expected)) {
    m_options.m_budget->CountRefusal();
    return false;
  }
  call.m_expected_response
      .emplace(m_options.m_budget, HeldKind::kCallerResponses)
      .Set(expected);
  return true;
}

template <PlatformCodec Codec>
void Ingress<Codec>::StartReplyTimer(const CallPtr& call, Attempt& attempt) {
  if (IsSelf(attempt.m_node)) {
    return;
  }
  const MemberRecord* member = m_targets.Find(attempt.m_node);
  const bool is_remote =
      member != nullptr &&
      DistanceBetween(m_targets.Self(), *member) == Distance::kRemote;
  attempt.m_reply_timer = std::make_unique<asio::steady_timer>(
      m_io, is_remote ? m_options.m_remote_reply_timeout
                      : m_options.m_region_reply_timeout);
  attempt.m_reply_timer->async_wait(
      [this, weak = std::weak_ptr(call),
       number = attempt.m_number](const asio::error_code& error) {
        if (const CallPtr self = weak.lock(); !error && self) {
          OnReplyTimeout(self, number);
        }
      });
}

template <PlatformCodec Codec>
void Ingress<Codec>::OnReplyTimeout(const CallPtr& call, AttemptNumber number) {
  const auto found = call->m_attempts.find(number);
  if (call->m_is_done || found == call->m_attempts.end() ||
      found->second.m_phase != Phase::kOffered) {
    return;
  }
  const NodeId node = found->second.m_node;
  const bool is_link_alive =
      m_links.HasReceivedSince(node, found->second.m_sent_at);
  LogEvent(LogLevel::kInfo, "egress_silent")
      .Add("request", call->m_id)
      .Add("node", ToString(node))
      .Add("link", is_link_alive ? "alive" : "silent");
  if (!is_link_alive) {
    // Calls OnLinkLost(), which handles this attempt and all others on the
    // link.
    m_links.Drop(node, "no reply to an offer");
    return;
  }
  AddToTrail(*call, found->second, "silent");
  const bool may_have_executed = found->second.m_starts_at_once;
  const bool was_hedge = found->second.m_is_hedge;
  if (may_have_executed) {
    MarkStarted(call, found->second);
    call->m_may_have_executed = true;
  }
  call->m_placement.OnRefused(ToCandidateKey(node), PlacementRefusal::kFinal,
                              {});
  RemoveAttempt(call, number);
  SendTo(node, CancelMessage{.m_attempt = number});
  if (may_have_executed) {
    RetryOrFail(call, "an egress is silent");
  } else {
    ContinueAfterRefusal(call, was_hedge);
  }
}

template <PlatformCodec Codec>
void Ingress<Codec>::OnLinkOpened(NodeId node, Incarnation incarnation) {
  m_incarnations[node] = incarnation;
  std::vector<std::pair<CallPtr, AttemptNumber>> lost;
  for (const auto& [number, call] : m_calls_by_attempt) {
    const auto attempt = call->m_attempts.find(number);
    if (attempt == call->m_attempts.end() || attempt->second.m_node != node) {
      continue;
    }
    if (attempt->second.m_phase == Phase::kLost) {
      lost.emplace_back(call, number);
    } else {
      attempt->second.m_egress_incarnation = incarnation;
    }
  }
  for (const auto& [call, number] : lost) {
    // Handling another attempt may have completed the request.
    const auto found = call->m_attempts.find(number);
    if (found == call->m_attempts.end()) {
      continue;
    }
    Attempt& attempt = found->second;
    if (attempt.m_egress_incarnation == incarnation) {
      m_links.Send(node, OutcomeQueryMessage{.m_attempt = number});
      continue;
    }
    OnOutcome(call, attempt,
              OutcomeMessage{.m_attempt = number,
                             .m_result = AttemptResult::kOutcomeUnknown,
                             .m_reason = AttemptReason::kWrongIncarnation});
  }
}

template <PlatformCodec Codec>
void Ingress<Codec>::OnLinkLost(NodeId node) {
  std::vector<std::pair<CallPtr, AttemptNumber>> lost;
  for (const auto& [number, call] : m_calls_by_attempt) {
    const auto attempt = call->m_attempts.find(number);
    if (attempt != call->m_attempts.end() && attempt->second.m_node == node) {
      lost.emplace_back(call, number);
    }
  }
  for (const auto& [call, number] : lost) {
    const auto found = call->m_attempts.find(number);
    if (found == call->m_attempts.end()) {
      continue;
    }
    Attempt& attempt = found->second;
    const CandidateKey key = ToCandidateKey(node);
    AddToTrail(*call, attempt, "link-lost");
    const bool is_offer =
        attempt.m_phase == Phase::kOffered || attempt.m_phase == Phase::kQueued;
    if (is_offer && !attempt.m_starts_at_once) {
      // Not started: it has not run and never will.
      call->m_placement.OnRefused(key, PlacementRefusal::kFinal, {});
      const bool was_hedge = attempt.m_is_hedge;
      RemoveAttempt(call, number);
      ContinueAfterRefusal(call, was_hedge);
      continue;
    }
    if (is_offer) {
      MarkStarted(call, attempt);
    }
    attempt.m_phase = Phase::kLost;
    if (CanRetry(*call)) {
      OfferToNextTarget(call);
    }
  }
}

template <PlatformCodec Codec>
void Ingress<Codec>::OnReply(NodeId node, Message message) {
  const TimePoint now = BootNow();
  AttemptNumber number;
  const auto* reply = std::get_if<OfferReplyMessage>(&message);
  auto* outcome = std::get_if<OutcomeMessage>(&message);
  if (reply != nullptr) {
    EgressLoadReport load = reply->m_load_report;
    if (reply->m_reason == AttemptReason::kDownstreamBusy) {
      // That wait concerns one route only.
      load.m_expected_wait_ms = 0;
    }
    m_targets.UpdateLoad(node, load, now);
    number = reply->m_attempt;
  } else if (outcome != nullptr) {
    m_targets.UpdateLoad(node, outcome->m_load_report, now);
    number = outcome->m_attempt;
  } else {
    return;
  }
  const auto found = m_calls_by_attempt.find(number);
  if (found == m_calls_by_attempt.end()) {
    return;  // Already withdrawn.
  }
  const CallPtr call = found->second;
  const auto attempt = call->m_attempts.find(number);
  if (attempt == call->m_attempts.end() || attempt->second.m_node != node) {
    return;
  }
  if (reply != nullptr) {
    OnOfferReply(call, attempt->second, *reply);
  } else {
    OnOutcome(call, attempt->second, std::move(*outcome));
  }
}

template <PlatformCodec Codec>
void Ingress<Codec>::MarkStarted(const CallPtr& call, const Attempt& attempt) {
  if (call->m_has_reached_instance) {
    ++m_stats.m_extra_attempts;
  }
  ++call->m_start_count;
  call->m_has_reached_instance = true;
  call->m_first_started_at = call->m_first_started_at.value_or(BootNow());
  call->m_placement.OnMaybeStarted(ToCandidateKey(attempt.m_node));
  StartHedgeTimer(call);
}

template <PlatformCodec Codec>
void Ingress<Codec>::SendStart(const CallPtr& call, Attempt& attempt) {
  const bool is_sent =
      SendTo(attempt.m_node, StartMessage{.m_attempt = attempt.m_number,
                                          .m_time_left_ms = ToWireMs<uint32_t>(
                                              call->m_deadline - BootNow()),
                                          .m_request = call->m_request});
  if (is_sent || !m_manages_load) {
    attempt.m_phase = Phase::kStarted;
    MarkStarted(call, attempt);
    return;
  }
  // The byte budget has no room for the message. It was not queued, so the
  // request has not run.
  const NodeId node = attempt.m_node;
  const AttemptNumber number = attempt.m_number;
  const bool was_hedge = attempt.m_is_hedge;
  AddToTrail(*call, attempt, "no-room");
  call->m_placement.OnRefused(ToCandidateKey(node), PlacementRefusal::kFinal,
                              {});
  RemoveAttempt(call, number);
  SendTo(node, CancelMessage{.m_attempt = number});
  ContinueAfterRefusal(call, was_hedge);
}

template <PlatformCodec Codec>
void Ingress<Codec>::OnOfferReply(const CallPtr& call,
                                  Attempt& attempt,
                                  const OfferReplyMessage& reply) {
  attempt.m_reply_timer.reset();
  const CandidateKey key = ToCandidateKey(attempt.m_node);
  switch (reply.m_verdict) {
    case OfferVerdict::kQueued:
      attempt.m_phase = Phase::kQueued;
      return;
    case OfferVerdict::kReady:
      if (QuarantineLeft(*call)) {
        FailQuarantined(call);
        return;
      }
      SendStart(call, attempt);
      return;
    case OfferVerdict::kStarted:
      attempt.m_phase = Phase::kStarted;
      MarkStarted(call, attempt);
      return;
    case OfferVerdict::kResponding:
      attempt.m_is_responding = true;
      return;
    case OfferVerdict::kRefused:
      break;
  }
  call->m_last_reason = reply.m_reason;
  AddToTrail(*call, attempt, ToString(reply.m_reason), &reply.m_load_report);
  const Duration wait =
      std::chrono::milliseconds(reply.m_load_report.m_expected_wait_ms);
  const Duration hold =
      std::chrono::milliseconds(reply.m_load_report.m_hold_ms);
  if (reply.m_reason == AttemptReason::kDownstreamBusy) {
    call->m_downstream_wait = std::min(call->m_downstream_wait, wait);
  }
  call->m_shortest_wait = std::min(call->m_shortest_wait, std::max(wait, hold));
  PlacementRefusal refusal = PlacementRefusal::kFinal;
  if (reply.m_reason == AttemptReason::kBusy) {
    refusal = PlacementRefusal::kBusy;
  } else if (reply.m_reason == AttemptReason::kSuspect) {
    refusal = PlacementRefusal::kHeld;
  } else if (reply.m_reason == AttemptReason::kRetryBudget) {
    refusal = PlacementRefusal::kThisRound;
  }
  call->m_placement.OnRefused(key, refusal, wait);
  if (reply.m_reason == AttemptReason::kInstanceLeft) {
    m_targets.MarkInstanceLeaving(attempt.m_node, attempt.m_instance);
  }
  const bool was_hedge = attempt.m_is_hedge;
  RemoveAttempt(call, attempt.m_number);
  if (reply.m_reason == AttemptReason::kRetryBudget && !was_hedge &&
      ++call->m_budget_refusals >= m_options.m_max_budget_refusals) {
    // A call does not wait for the budget: the run that makes it would hold its
    // slot meanwhile, and the budget is short for the whole window.
    if (call->m_attempts.empty() && (call->m_is_call || !StartPause(call))) {
      Fail(call, "the retry budget is used up");
    }
    return;
  }
  if (reply.m_reason == AttemptReason::kDownstreamBusy && !was_hedge &&
      ++call->m_downstream_refusals >= m_options.m_max_downstream_refusals) {
    if (call->m_attempts.empty()) {
      Fail(call, "a called service is short");
    }
    return;
  }
  ContinueAfterRefusal(call, was_hedge);
}

template <PlatformCodec Codec>
void Ingress<Codec>::OnOutcome(const CallPtr& call,
                               Attempt& attempt,
                               OutcomeMessage outcome) {
  const NodeId node = attempt.m_node;
  const AttemptNumber number = attempt.m_number;
  if (outcome.m_result == AttemptResult::kAnswered) {
    if (!m_quarantine.IsEmpty()) {
      m_quarantine.OnExecuted(FingerprintOf(*call), WallNow());
    }
    if (Codec::DecodeResponse(outcome.m_response).m_is_leaving) {
      m_targets.MarkInstanceLeaving(node, attempt.m_instance);
    }
    if (outcome.m_response.m_status >= ingress_detail::kFirstServerError &&
        call->m_route->m_is_idempotent) {
      AddToTrail(*call, attempt, "server-error");
    }
    RemoveAttempt(call, number);
    OnResponse(call, std::move(outcome.m_response), node);
    return;
  }
  if (outcome.m_reason == AttemptReason::kInstanceCrashed) {
    const WallTime now = WallNow();
    m_quarantine.OnCrash(
        {.m_node = node,
         .m_instance_start_ms = attempt.m_instance.m_start_time_ms,
         .m_at = now,
         .m_running = {FingerprintOf(*call)}},
        now);
  }
  call->m_last_reason = outcome.m_reason;
  AddToTrail(*call, attempt, ToString(outcome.m_reason));
  RemoveAttempt(call, number);
  call->m_placement.OnRefused(ToCandidateKey(node), PlacementRefusal::kFinal,
                              {});
  if (outcome.m_result == AttemptResult::kNotStarted) {
    // Not executed, but the request may have reached the instance.
    call->m_has_reached_instance |=
        outcome.m_reason == AttemptReason::kShed ||
        outcome.m_reason == AttemptReason::kUnknownInstance;
    call->m_start_count -= call->m_start_count > 0 ? 1 : 0;
    if (outcome.m_reason == AttemptReason::kQuarantined) {
      // This node may not know of the crashes yet.
      if (call->m_attempts.empty()) {
        FailQuarantined(call);
      }
      return;
    }
    OfferToNextTarget(call);
    return;
  }
  call->m_may_have_executed = true;
  RetryOrFail(call, "an instance gave no whole answer");
}

template <PlatformCodec Codec>
void Ingress<Codec>::OnResponse(const CallPtr& call,
                                HttpResponse response,
                                NodeId node) {
  if (response.m_status >= ingress_detail::kFirstServerError &&
      call->m_route->m_is_idempotent) {
    ReportServedCall(*call, false);
    // A later attempt may succeed; otherwise this response is returned.
    call->m_fallback_response = std::move(response);
    RetryOrFail(call, "every attempt ended with a server error");
    return;
  }
  const TimePoint now = BootNow();
  LogEvent(LogLevel::kInfo, "request_answered")
      .Add("request", call->m_id)
      .Add("route", call->m_route->m_name)
      .Add("config", static_cast<int64_t>(call->m_config->m_version.Get()))
      .Add("trail", call->m_trail)
      .Add("node", ToString(node))
      .Add("status", response.m_status)
      .Add("waited_ms",
           WholeMs(call->m_first_started_at.value_or(now) - call->m_received))
      .Add("took_ms", WholeMs(now - call->m_received));
  ReportServedCall(*call,
                   response.m_status < ingress_detail::kFirstServerError);
  ++m_stats.m_answered;
  if (call->m_expected_response) {
    m_response_sizes.Observe(call->m_route->m_name, response.m_body.size());
  }
  FinishWithOutcome(call, m_answered_latency, std::move(response));
}

template <PlatformCodec Codec>
void Ingress<Codec>::RemoveAttempt(const CallPtr& call, AttemptNumber number) {
  const auto found = call->m_attempts.find(number);
  if (found == call->m_attempts.end()) {
    return;
  }
  m_targets.RemoveInFlight(found->second.m_node);
  call->m_attempts.erase(found);
  m_calls_by_attempt.erase(number);
}

template <PlatformCodec Codec>
void Ingress<Codec>::AddToTrail(Call& call,
                                const Attempt& attempt,
                                std::string_view reason,
                                const EgressLoadReport* load) {
  constexpr size_t kMaxTrailBytes = 900;
  std::string& trail = call.m_trail;
  if (trail.size() > kMaxTrailBytes) {
    return;
  }
  trail.append(trail.empty() ? "" : " ")
      .append(ToString(attempt.m_node))
      .append("=")
      .append(reason);
  if (attempt.m_load_age) {
    trail += fmt::format(";told={}", WholeMs(*attempt.m_load_age));
  }
  if (load != nullptr) {
    trail += fmt::format(";load={}+{}/{}", load->m_running, load->m_queued,
                         load->m_slots);
    if (load->m_hold_ms > 0) {
      trail += fmt::format(";hold={}", load->m_hold_ms);
    }
  }
}

template <PlatformCodec Codec>
void Ingress<Codec>::StartHedgeTimer(const CallPtr& call) {
  if (!CanRetry(*call)) {
    return;
  }
  const auto delay = std::chrono::duration_cast<Duration>(
      call->m_route->m_target_latency * m_options.m_hedge_fraction);
  call->m_hedge_timer.expires_at(std::chrono::steady_clock::now() + delay -
                                 (BootNow() - call->m_received));
  call->m_hedge_timer.async_wait(
      [this, weak = std::weak_ptr(call)](const asio::error_code& error) {
        const CallPtr self = weak.lock();
        if (!error && self && !self->m_is_done && CanRetry(*self) &&
            self->m_attempts.size() == 1) {
          OfferHedge(self);
        }
      });
}

template <PlatformCodec Codec>
void Ingress<Codec>::OfferHedge(const CallPtr& call) {
  const bool is_responding = std::any_of(
      call->m_attempts.begin(), call->m_attempts.end(),
      [](const auto& entry) { return entry.second.m_is_responding; });
  if (is_responding || call->m_hedge_offers >= m_options.m_max_hedge_offers) {
    return;
  }
  const auto step =
      call->m_placement.NextForHedge(FindCandidates(*call), m_random);
  if (!step) {
    return;
  }
  if (call->m_hedge_offers++ == 0) {
    AddToTrail(*call, call->m_attempts.begin()->second, "slow");
  }
  SendOffer(call, *step, true);
}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_INGRESS_ATTEMPTS_INL_H_
