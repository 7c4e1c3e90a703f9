#ifndef SEQUOIASTAGE_MESH_INGRESS_CALLS_INL_H_
#define SEQUOIASTAGE_MESH_INGRESS_CALLS_INL_H_

// Requests that an instance sends while it runs another one, and further rounds
// of offers. A refused call ends the run that makes it, so it waits for
// capacity as long as its deadline allows. A request whose first attempt an
// instance broke waits for another one: it may have run, so that it can't be
// rejected.

#include <algorithm>
#include <chrono>
#include <utility>

#include "sequoiastage/mesh/ingress.h"
#include "sequoiastage/mesh/ingress_inl.h"

namespace sequoiastage {

template <PlatformCodec Codec>
PlacementOptions Ingress<Codec>::PlacementFor(const Call& call) const {
  PlacementOptions options = m_options.m_placement;
  options.m_spreads_queues = call.m_manages_load;
  options.m_spares_held = call.m_manages_load;
  if (call.m_route->m_has_large_bodies) {
    options.m_max_local_wait = std::max(
        options.m_max_local_wait, std::chrono::duration_cast<Duration>(
                                      call.m_route->m_target_latency *
                                      m_options.m_large_body_wait_fraction));
  }
  return options;
}

template <PlatformCodec Codec>
bool Ingress<Codec>::StartPause(const CallPtr& call) {
  const bool can_run = CanRetry(*call) ||
                       (call->m_start_count == 0 && !call->m_may_have_executed);
  const bool may_wait =
      call->m_is_call || (call->m_manages_load && call->m_may_have_executed);
  if (!may_wait || !can_run || call->m_fallback_response ||
      call->m_rounds >= m_options.m_max_call_rounds ||
      FindCandidates(*call).empty()) {
    return false;
  }
  std::uniform_real_distribution<double> spread(0.5, 1.5);
  // New requests are many; they back off so that their offers do not add to the
  // load.
  const uint32_t factor =
      call->m_is_call ? 1 : 1U << std::min(call->m_rounds, 3U);
  const auto pause = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(m_options.m_call_pause) * factor *
      spread(m_random));
  const TimePoint end =
      call->m_is_call
          ? call->m_deadline
          : std::min(call->m_deadline,
                     call->m_received + call->m_route->m_target_latency / 4);
  if (BootNow() + pause + m_options.m_min_call_time >= end) {
    return false;
  }
  ++call->m_rounds;
  if (!call->m_is_call) {
    call->m_budget_refusals = 0;
  }
  m_paused_calls.insert(call);
  call->m_round_timer.expires_after(pause);
  call->m_round_timer.async_wait(
      [this, weak = std::weak_ptr(call)](const asio::error_code& error) {
        const CallPtr self = weak.lock();
        if (error || !self || self->m_is_done) {
          return;
        }
        m_paused_calls.erase(self);
        self->m_placement.StartRound();
        OfferToNextTarget(self);
      });
  return true;
}

template <PlatformCodec Codec>
void Ingress<Codec>::ReportCall(const Call& call,
                                CallResult result,
                                bool is_success) {
  m_hooks.m_on_call_end({.m_route = call.m_parent_route,
                         .m_service = call.m_service,
                         .m_result = result,
                         .m_is_success = is_success,
                         .m_request_id = call.m_id});
}

template <PlatformCodec Codec>
void Ingress<Codec>::ReportServedCall(const Call& call, bool is_success) {
  if (!call.m_is_call || !call.m_first_started_at) {
    return;
  }
  const std::chrono::duration<double> waited =
      *call.m_first_started_at - call.m_received;
  const bool is_delayed = waited > m_options.m_delayed_call_part *
                                       (call.m_deadline - call.m_received);
  ReportCall(call, is_delayed ? CallResult::kDelayed : CallResult::kServed,
             is_success);
}

template <PlatformCodec Codec>
void Ingress<Codec>::ReportFailedCall(const Call& call) {
  if (!call.m_is_call) {
    return;
  }
  // An instance that refuses a call although it had a free slot (kShed) tells
  // nothing about the capacity of its service.
  switch (call.m_last_reason) {
    // Without a reason it was queued until its deadline.
    case AttemptReason::kNone:
    case AttemptReason::kBusy:
    case AttemptReason::kPastDeadline:
      if (!FindCandidates(call).empty()) {
        ++m_stats.m_calls_refused;
        ReportCall(call, CallResult::kRefused, false);
      }
      return;
    default:
      return;
  }
}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_INGRESS_CALLS_INL_H_
