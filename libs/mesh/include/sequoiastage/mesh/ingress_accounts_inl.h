#ifndef SEQUOIASTAGE_MESH_INGRESS_ACCOUNTS_INL_H_
#define SEQUOIASTAGE_MESH_INGRESS_ACCOUNTS_INL_H_

// Rate limits of client accounts: a request takes a token before it is placed.

#include <fmt/format.h>

#include <algorithm>

#include "sequoiastage/mesh/ingress.h"
#include "sequoiastage/mesh/wire_time.h"

namespace sequoiastage {

template <PlatformCodec Codec>
void Ingress<Codec>::AcquireToken(const CallPtr& call) {
  if (call->m_account == nullptr || !call->m_account->m_limit ||
      m_hooks.m_limiter == nullptr) {
    OfferToNextTarget(call);
    return;
  }
  const auto acquisition = m_hooks.m_limiter->Acquire(
      *call->m_account,
      [this, account = call->m_share_account, weak = std::weak_ptr(call)](
          bool is_granted, Duration retry_after) {
        OnToken(weak.lock(), account, is_granted, retry_after);
      });
  switch (acquisition.m_result) {
    case AccountLimiter::Result::kUnlimited:
      break;
    case AccountLimiter::Result::kTaken:
      call->m_token = TokenState::kTaken;
      break;
    case AccountLimiter::Result::kWaits:
      call->m_token = TokenState::kWaiting;
      call->m_token_waiter = acquisition.m_waiter;
      m_token_waiters.insert(call);
      return;
    case AccountLimiter::Result::kRefused:
      RejectOverLimit(call, acquisition.m_retry_after);
      return;
    case AccountLimiter::Result::kNoMembers:
      Fail(call, "the members are not known yet");
      return;
  }
  OfferToNextTarget(call);
}

template <PlatformCodec Codec>
void Ingress<Codec>::OnToken(const CallPtr& call,
                             AccountId account,
                             bool is_granted,
                             Duration retry_after) {
  if (!call || call->m_is_done) {
    // The caller left, or the deadline passed, since the decision.
    if (is_granted) {
      m_hooks.m_limiter->Return(account);
    }
    return;
  }
  m_token_waiters.erase(call);
  if (is_granted) {
    call->m_token = TokenState::kTaken;
    OfferToNextTarget(call);
    return;
  }
  call->m_token = TokenState::kNone;
  RejectOverLimit(call, retry_after);
}

template <PlatformCodec Codec>
void Ingress<Codec>::RejectOverLimit(const CallPtr& call,
                                     Duration retry_after) {
  ++m_stats.m_over_limit;
  LogEvent(LogLevel::kInfo, "request_limited")
      .Add("request", call->m_id)
      .Add("account", call->m_account->m_name)
      .Add("route", call->m_route->m_name)
      .Add("config", static_cast<int64_t>(call->m_config->m_version.Get()))
      .Add("retry_ms", WholeMs(retry_after))
      .Add("took_ms", WholeMs(BootNow() - call->m_received));
  HttpResponse response =
      BuildTextResponse(429, "the account is over its limit\n");
  AddRetryAfter(response, std::max(retry_after, m_options.m_min_retry_after),
                2);
  FinishWithOutcome(call, m_not_run_latency, std::move(response));
}

template <PlatformCodec Codec>
void Ingress<Codec>::ReleaseToken(const CallPtr& call, bool may_have_executed) {
  const TokenState token = std::exchange(call->m_token, TokenState::kNone);
  if (token == TokenState::kWaiting) {
    m_token_waiters.erase(call);
    m_hooks.m_limiter->Abandon(call->m_share_account, call->m_token_waiter);
  } else if (token == TokenState::kTaken && !may_have_executed) {
    m_hooks.m_limiter->Return(call->m_share_account);
  }
}

template <PlatformCodec Codec>
bool Ingress<Codec>::MayHaveExecuted(const Call& call) const {
  return call.m_may_have_executed || call.m_fallback_response ||
         std::any_of(call.m_attempts.begin(), call.m_attempts.end(),
                     [](const auto& entry) {
                       const Attempt& attempt = entry.second;
                       return attempt.m_phase == Phase::kStarted ||
                              attempt.m_phase == Phase::kLost ||
                              attempt.m_starts_at_once;
                     });
}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_INGRESS_ACCOUNTS_INL_H_
