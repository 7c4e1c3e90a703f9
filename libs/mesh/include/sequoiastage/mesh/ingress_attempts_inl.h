#ifndef SEQUOIASTAGE_MESH_INGRESS_ATTEMPTS_INL_H_
#define SEQUOIASTAGE_MESH_INGRESS_ATTEMPTS_INL_H_

// The life of one attempt, from its offer to its outcome.

#include <fmt/format.h>

#include <utility>
#include <vector>

#include "sequoiastage/mesh/ingress.h"
#include "sequoiastage/mesh/ingress_inl.h"
#include "sequoiastage/mesh/wire_time.h"

namespace sequoiastage {

template <PlatformCodec Codec>
void Ingress<Codec>::ArmSilence(const RunPtr& run, Attempt& attempt) {
  if (IsOwn(attempt.m_node)) {
    return;
  }
  const MemberRecord* member = m_book.Find(attempt.m_node);
  const bool is_far = member != nullptr &&
                      DistanceOf(m_book.Own(), *member) == Distance::kRemote;
  attempt.m_silence = std::make_unique<asio::steady_timer>(
      m_io, is_far ? m_options.m_far_silence : m_options.m_near_silence);
  attempt.m_silence->async_wait(
      [this, weak = std::weak_ptr(run),
       number = attempt.m_number](const asio::error_code& error) {
        if (const RunPtr self = weak.lock(); !error && self) {
          OnSilence(self, number);
        }
      });
}

template <PlatformCodec Codec>
void Ingress<Codec>::OnSilence(const RunPtr& run, AttemptNumber number) {
  const auto found = run->m_attempts.find(number);
  if (run->m_is_done || found == run->m_attempts.end() ||
      found->second.m_phase != Phase::kOffered) {
    return;
  }
  const NodeId node = found->second.m_node;
  const bool is_heard = m_links.HasHeardSince(node, found->second.m_sent_at);
  LogEvent(LogLevel::kInfo, "egress_silent")
      .Add("request", run->m_id)
      .Add("node", ToString(node))
      .Add("link", is_heard ? "alive" : "silent");
  if (!is_heard) {
    // Takes the attempt, and all others over this link, to OnLinkLost().
    m_links.Drop(node, "no reply to an offer");
    return;
  }
  AddToTrail(*run, found->second, "silent");
  const bool may_have_run = found->second.m_starts_at_once;
  const bool was_copy = found->second.m_is_copy;
  if (may_have_run) {
    MarkStarted(run, found->second);
    run->m_may_have_run = true;
  }
  run->m_placement.OnRefused(KeyOf(node), PlacementRefusal::kFinal, {});
  Drop(run, number);
  SendTo(node, CancelMessage{.m_attempt = number});
  if (may_have_run) {
    StepOrGiveUp(run, "an egress is silent");
  } else {
    StepAfter(run, was_copy);
  }
}

template <PlatformCodec Codec>
void Ingress<Codec>::OnLinkOpen(NodeId node, Incarnation run) {
  m_runs[node] = run;
  std::vector<std::pair<RunPtr, AttemptNumber>> lost;
  for (const auto& [number, holder] : m_by_attempt) {
    const auto attempt = holder->m_attempts.find(number);
    if (attempt == holder->m_attempts.end() || attempt->second.m_node != node) {
      continue;
    }
    if (attempt->second.m_phase == Phase::kLost) {
      lost.emplace_back(holder, number);
    } else {
      attempt->second.m_egress_run = run;
    }
  }
  for (const auto& [holder, number] : lost) {
    // The end of another attempt may have ended the request.
    const auto found = holder->m_attempts.find(number);
    if (found == holder->m_attempts.end()) {
      continue;
    }
    Attempt& attempt = found->second;
    if (attempt.m_egress_run == run) {
      m_links.Send(node, OutcomeQueryMessage{.m_attempt = number});
      continue;
    }
    OnOutcome(holder, attempt,
              OutcomeMessage{.m_attempt = number,
                             .m_result = AttemptResult::kOutcomeUnknown,
                             .m_reason = AttemptReason::kWrongIncarnation});
  }
}

template <PlatformCodec Codec>
void Ingress<Codec>::OnLinkLost(NodeId node) {
  std::vector<std::pair<RunPtr, AttemptNumber>> lost;
  for (const auto& [number, holder] : m_by_attempt) {
    const auto attempt = holder->m_attempts.find(number);
    if (attempt != holder->m_attempts.end() && attempt->second.m_node == node) {
      lost.emplace_back(holder, number);
    }
  }
  for (const auto& [run, number] : lost) {
    const auto found = run->m_attempts.find(number);
    if (found == run->m_attempts.end()) {
      continue;
    }
    Attempt& attempt = found->second;
    const CandidateKey key = KeyOf(node);
    AddToTrail(*run, attempt, "link-lost");
    const bool is_offer =
        attempt.m_phase == Phase::kOffered || attempt.m_phase == Phase::kQueued;
    if (is_offer && !attempt.m_starts_at_once) {
      // Never started: it has not run and never will.
      run->m_placement.OnRefused(key, PlacementRefusal::kFinal, {});
      const bool was_copy = attempt.m_is_copy;
      Drop(run, number);
      StepAfter(run, was_copy);
      continue;
    }
    if (is_offer) {
      MarkStarted(run, attempt);
    }
    attempt.m_phase = Phase::kLost;
    if (MayRepeat(*run)) {
      Step(run);
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
    m_book.OnStanding(node, reply->m_load_report, now);
    number = reply->m_attempt;
  } else if (outcome != nullptr) {
    m_book.OnStanding(node, outcome->m_load_report, now);
    number = outcome->m_attempt;
  } else {
    return;
  }
  const auto found = m_by_attempt.find(number);
  if (found == m_by_attempt.end()) {
    return;  // Withdrawn meanwhile.
  }
  const RunPtr run = found->second;
  const auto attempt = run->m_attempts.find(number);
  if (attempt == run->m_attempts.end() || attempt->second.m_node != node) {
    return;
  }
  if (reply != nullptr) {
    OnOfferReply(run, attempt->second, *reply);
  } else {
    OnOutcome(run, attempt->second, std::move(*outcome));
  }
}

template <PlatformCodec Codec>
void Ingress<Codec>::MarkStarted(const RunPtr& run, const Attempt& attempt) {
  if (run->m_has_arrived) {
    ++m_stats.m_repeats;
  }
  ++run->m_started;
  run->m_has_arrived = true;
  run->m_first_start = run->m_first_start.value_or(BootNow());
  run->m_placement.OnMaybeStarted(KeyOf(attempt.m_node));
  ArmHedge(run);
}

template <PlatformCodec Codec>
void Ingress<Codec>::OnOfferReply(const RunPtr& run,
                                  Attempt& attempt,
                                  const OfferReplyMessage& reply) {
  attempt.m_silence.reset();
  const CandidateKey key = KeyOf(attempt.m_node);
  switch (reply.m_verdict) {
    case OfferVerdict::kQueued:
      attempt.m_phase = Phase::kQueued;
      return;
    case OfferVerdict::kReady:
      attempt.m_phase = Phase::kStarted;
      MarkStarted(run, attempt);
      SendTo(attempt.m_node, StartMessage{.m_attempt = attempt.m_number,
                                          .m_time_left_ms = ToWireMs<uint32_t>(
                                              run->m_deadline - BootNow()),
                                          .m_request = run->m_request});
      return;
    case OfferVerdict::kStarted:
      attempt.m_phase = Phase::kStarted;
      MarkStarted(run, attempt);
      return;
    case OfferVerdict::kRefused:
      break;
  }
  run->m_latest = reply.m_reason;
  AddToTrail(*run, attempt, ToString(reply.m_reason), &reply.m_load_report);
  const Duration wait =
      std::chrono::milliseconds(reply.m_load_report.m_expected_wait_ms);
  const Duration hold =
      std::chrono::milliseconds(reply.m_load_report.m_hold_ms);
  run->m_shortest_wait = std::min(run->m_shortest_wait, std::max(wait, hold));
  PlacementRefusal refusal = PlacementRefusal::kFinal;
  if (reply.m_reason == AttemptReason::kBusy) {
    refusal = PlacementRefusal::kBusy;
  } else if (reply.m_reason == AttemptReason::kSuspect) {
    refusal = PlacementRefusal::kHeld;
  }
  run->m_placement.OnRefused(key, refusal, wait);
  const bool was_copy = attempt.m_is_copy;
  Drop(run, attempt.m_number);
  if (reply.m_reason == AttemptReason::kRetryBudget && !was_copy &&
      ++run->m_budget_refusals >= m_options.m_max_budget_refusals) {
    if (run->m_attempts.empty()) {
      GiveUp(run, "the retry budget is used up");
    }
    return;
  }
  StepAfter(run, was_copy);
}

template <PlatformCodec Codec>
void Ingress<Codec>::OnOutcome(const RunPtr& run,
                               Attempt& attempt,
                               OutcomeMessage outcome) {
  const NodeId node = attempt.m_node;
  const AttemptNumber number = attempt.m_number;
  if (outcome.m_result == AttemptResult::kAnswered) {
    if (outcome.m_response.m_status >= ingress_detail::kFirstServerError &&
        run->m_route->m_is_idempotent) {
      AddToTrail(*run, attempt, "server-error");
    }
    Drop(run, number);
    OnAnswer(run, std::move(outcome.m_response), node);
    return;
  }
  run->m_latest = outcome.m_reason;
  AddToTrail(*run, attempt, ToString(outcome.m_reason));
  Drop(run, number);
  run->m_placement.OnRefused(KeyOf(node), PlacementRefusal::kFinal, {});
  if (outcome.m_result == AttemptResult::kNotStarted) {
    // Proven not to have run there; it may have reached the instance.
    run->m_has_arrived |= outcome.m_reason == AttemptReason::kShed ||
                          outcome.m_reason == AttemptReason::kUnknownInstance;
    run->m_started -= run->m_started > 0 ? 1 : 0;
    Step(run);
    return;
  }
  run->m_may_have_run = true;
  StepOrGiveUp(run, "an instance gave no whole answer");
}

template <PlatformCodec Codec>
void Ingress<Codec>::OnAnswer(const RunPtr& run,
                              HttpAnswer answer,
                              NodeId node) {
  if (answer.m_status >= ingress_detail::kFirstServerError &&
      run->m_route->m_is_idempotent) {
    // A later attempt may do better; if none does, this is the answer.
    run->m_fallback = std::move(answer);
    StepOrGiveUp(run, "every attempt ended with a server error");
    return;
  }
  const TimePoint now = BootNow();
  LogEvent(LogLevel::kInfo, "request_answered")
      .Add("request", run->m_id)
      .Add("route", run->m_route->m_name)
      .Add("config", static_cast<int64_t>(run->m_config->m_version.Get()))
      .Add("trail", run->m_trail)
      .Add("node", ToString(node))
      .Add("status", answer.m_status)
      .Add("waited_ms",
           WholeMs(run->m_first_start.value_or(now) - run->m_received))
      .Add("took_ms", WholeMs(now - run->m_received));
  ++m_stats.m_answered;
  FinishAs(run, m_answered_latency, std::move(answer));
}

template <PlatformCodec Codec>
void Ingress<Codec>::Drop(const RunPtr& run, AttemptNumber number) {
  const auto found = run->m_attempts.find(number);
  if (found == run->m_attempts.end()) {
    return;
  }
  m_book.OnEnded(found->second.m_node);
  run->m_attempts.erase(found);
  m_by_attempt.erase(number);
}

template <PlatformCodec Codec>
void Ingress<Codec>::AddToTrail(Run& run,
                                const Attempt& attempt,
                                std::string_view reason,
                                const EgressLoadReport* standing) {
  constexpr size_t kMaxTrailBytes = 900;
  std::string& trail = run.m_trail;
  if (trail.size() > kMaxTrailBytes) {
    return;
  }
  trail.append(trail.empty() ? "" : " ")
      .append(ToString(attempt.m_node))
      .append("=")
      .append(reason);
  if (attempt.m_told_age) {
    trail += fmt::format(";told={}", WholeMs(*attempt.m_told_age));
  }
  if (standing != nullptr) {
    trail += fmt::format(";load={}+{}/{}", standing->m_running,
                         standing->m_queued, standing->m_slots);
    if (standing->m_hold_ms > 0) {
      trail += fmt::format(";hold={}", standing->m_hold_ms);
    }
  }
}

template <PlatformCodec Codec>
void Ingress<Codec>::ArmHedge(const RunPtr& run) {
  if (!MayRepeat(*run)) {
    return;
  }
  const auto delay = std::chrono::duration_cast<Duration>(
      run->m_route->m_target_latency * m_options.m_hedge_share);
  run->m_hedge.expires_at(std::chrono::steady_clock::now() + delay -
                          (BootNow() - run->m_received));
  run->m_hedge.async_wait(
      [this, weak = std::weak_ptr(run)](const asio::error_code& error) {
        const RunPtr self = weak.lock();
        if (!error && self && !self->m_is_done && MayRepeat(*self) &&
            self->m_attempts.size() == 1) {
          OfferCopy(self);
        }
      });
}

template <PlatformCodec Codec>
void Ingress<Codec>::OfferCopy(const RunPtr& run) {
  const auto step = run->m_placement.NextForHedge(CandidatesOf(*run), m_random);
  if (!step) {
    return;
  }
  AddToTrail(*run, run->m_attempts.begin()->second, "slow");
  Offer(run, *step, true);
}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_INGRESS_ATTEMPTS_INL_H_
