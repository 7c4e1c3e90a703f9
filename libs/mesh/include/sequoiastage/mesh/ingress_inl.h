#ifndef SEQUOIASTAGE_MESH_INGRESS_INL_H_
#define SEQUOIASTAGE_MESH_INGRESS_INL_H_

#include <fmt/format.h>

#include <algorithm>
#include <asio/post.hpp>
#include <set>
#include <utility>

#include "sequoiastage/mesh/ingress.h"
#include "sequoiastage/mesh/wire_time.h"

namespace sequoiastage {

namespace ingress_detail {

inline constexpr uint16_t kFirstServerError = 500;

}  // namespace ingress_detail

template <PlatformCodec Codec>
Ingress<Codec>::Ingress(asio::io_context& io,
                        const IngressOptions& options,
                        std::string local_service,
                        TargetTable& targets,
                        MeshLinks& links,
                        SharedQuarantine& quarantine,
                        Hooks hooks)
    : m_io(io),
      m_options(options),
      m_local_service(std::move(local_service)),
      m_targets(targets),
      m_links(links),
      m_quarantine(quarantine),
      m_hooks(std::move(hooks)) {}

template <PlatformCodec Codec>
void Ingress<Codec>::SetConfig(std::shared_ptr<const TrafficConfig> config) {
  m_config = std::move(config);
  m_routes = PrefixRoutes(m_config->m_routes, m_config->m_omitted.m_routes);
  m_accounts = AccountTable(m_config->m_accounts, m_config->m_omitted.m_keys);
  m_manages_load = m_config->ManagesLoad();
  m_splits.clear();
}

template <PlatformCodec Codec>
HttpResponse Ingress<Codec>::BuildTextResponse(uint16_t status,
                                               std::string_view text) {
  return {.m_status = status,
          .m_fields = {{"Content-Type", "text/plain"}},
          .m_body = std::string(text)};
}

template <PlatformCodec Codec>
ServiceId Ingress<Codec>::PickService(const TrafficRoute& route) {
  if (route.m_shares.size() == 1) {
    return route.m_shares.front().m_service;
  }
  auto split = m_splits.find(&route);
  if (split == m_splits.end()) {
    std::vector<double> weights;
    for (const RouteShare& share : route.m_shares) {
      weights.push_back(share.m_weight);
    }
    split = m_splits.emplace(&route, SplitPicker(std::move(weights), m_random))
                .first;
  }
  return route.m_shares[split->second.Pick()].m_service;
}

template <PlatformCodec Codec>
void Ingress<Codec>::ClassifyCall(Call& call, const ClientAccount* account) {
  const auto parent = m_hooks.m_find_parent(call.m_id);
  call.m_is_call_of_retry = parent && parent->m_is_extra_attempt;
  call.m_urgency = call.m_route->m_urgency;
  call.m_account = account;
  call.m_manages_load = m_manages_load;
  if (account != nullptr) {
    call.m_share_account = MakeAccountId(account->m_name);
    call.m_urgency = account->m_urgency.value_or(call.m_urgency);
  } else if (parent && m_manages_load) {
    call.m_is_call = true;
    call.m_parent_route = parent->m_route;
    call.m_share_account = parent->m_share_account;
    // A failed later call loses the work of the calls before it as well.
    call.m_urgency = parent->m_has_served_call ? 0 : parent->m_urgency;
  }
}

template <PlatformCodec Codec>
CancelHook Ingress<Codec>::OnRequest(HttpRequest request,
                                     const StreamResponder& responder) {
  const TimePoint now = BootNow();
  ++m_stats.m_requests;
  CallerMetadata metadata = Codec::DecodeCaller(request);
  const TrafficRoute* route =
      m_config ? m_routes.Find(request.m_host, request.m_target) : nullptr;
  const ClientAccount* account =
      metadata.m_key.empty() ? nullptr : m_accounts.Find(metadata.m_key);
  if (RejectUnknown(request, metadata, route, account, responder)) {
    return {};
  }
  auto call = std::make_shared<Call>(m_io);
  call->m_id = std::move(metadata.m_request_id);
  call->m_request = std::move(request);
  RemoveHopByHopFields(call->m_request.m_fields);
  Codec::RemoveCallerSecrets(call->m_request);
  call->m_responder = responder;
  call->m_config = m_config;
  call->m_route = route;
  ClassifyCall(*call, account);
  call->m_service = PickService(*route);
  call->m_placement = Placement(PlacementFor(*call));
  call->m_received = now;
  call->m_deadline =
      now + std::min(route->m_timeout,
                     metadata.m_time_left.value_or(route->m_timeout));
  ++m_request_count;
  call->m_deadline_timer.expires_after(call->m_deadline - now);
  call->m_deadline_timer.async_wait(
      [this, weak = std::weak_ptr(call)](const asio::error_code& error) {
        if (const CallPtr self = weak.lock(); !error && self) {
          OnDeadline(self);
        }
      });
  if (m_drain_end && call->m_deadline > *m_drain_end) {
    // It may take until its deadline, and would be broken off at an instance.
    Fail(call, "the node stops");
  } else if (ReserveResponse(*call)) {
    AcquireToken(call);
  } else {
    Fail(call, "the byte budget is short");
  }
  return [this, weak = std::weak_ptr(call)] {
    if (const CallPtr self = weak.lock()) {
      Cancel(self);
    }
  };
}

template <PlatformCodec Codec>
bool Ingress<Codec>::CanRetry(const Call& call) const {
  // Pending offers may already be running.
  const auto pending_offers = std::count_if(
      call.m_attempts.begin(), call.m_attempts.end(), [](const auto& entry) {
        return entry.second.m_phase == Phase::kOffered ||
               entry.second.m_phase == Phase::kQueued;
      });
  return call.m_route->m_is_idempotent &&
         call.m_start_count + pending_offers < call.m_route->m_max_attempts &&
         !QuarantineLeft(call);
}

template <PlatformCodec Codec>
RequestFingerprint Ingress<Codec>::FingerprintOf(const Call& call) const {
  return sequoiastage::FingerprintOf(call.m_request, m_local_service);
}

template <PlatformCodec Codec>
std::optional<Duration> Ingress<Codec>::QuarantineLeft(const Call& call) const {
  return m_quarantine.IsEmpty()
             ? std::nullopt
             : m_quarantine.TimeLeft(FingerprintOf(call), WallNow());
}

template <PlatformCodec Codec>
void Ingress<Codec>::FailQuarantined(const CallPtr& call) {
  ++m_stats.m_quarantined;
  Fail(call, "the request crashes instances");
}

template <PlatformCodec Codec>
void Ingress<Codec>::OfferToNextTarget(const CallPtr& call) {
  if (call->m_is_done) {
    return;
  }
  if (QuarantineLeft(*call)) {
    if (call->m_attempts.empty()) {
      FailQuarantined(call);
    }
    return;
  }
  const bool allows_trial = call->m_route->m_is_idempotent &&
                            !call->m_has_reached_instance &&
                            call->m_route->m_max_attempts > 1;
  if (const auto step =
          call->m_placement.Next(FindCandidates(*call), m_random, allows_trial,
                                 call->m_deadline - BootNow())) {
    SendOffer(call, *step);
  } else if (call->m_attempts.empty() && !StartPause(call)) {
    Fail(call, "no instance takes it");
  }
}

template <PlatformCodec Codec>
void Ingress<Codec>::ContinueAfterRefusal(const CallPtr& call, bool was_hedge) {
  if (!was_hedge) {
    OfferToNextTarget(call);
  } else if (call->m_attempts.empty()) {
    // The hedged attempt has ended in the meantime.
    RetryOrFail(call, "every attempt failed");
  } else if (CanRetry(*call)) {
    OfferHedge(call);
  }
}

template <PlatformCodec Codec>
void Ingress<Codec>::RetryOrFail(const CallPtr& call, std::string_view cause) {
  if (CanRetry(*call)) {
    OfferToNextTarget(call);
  } else if (call->m_attempts.empty()) {
    Fail(call, cause);
  }
}

template <PlatformCodec Codec>
std::vector<PlacementCandidate> Ingress<Codec>::FindCandidates(
    const Call& call) const {
  return m_targets.Candidates(call.m_service, BootNow(), [this](NodeId node) {
    return IsSelf(node) || m_links.IsUsable(node);
  });
}

template <PlatformCodec Codec>
bool Ingress<Codec>::SendTo(NodeId node, Message message) {
  if (IsSelf(node)) {
    m_hooks.m_send_to_local_egress(std::move(message));
    return true;
  }
  return m_links.Send(node, message);
}

template <PlatformCodec Codec>
void Ingress<Codec>::SendOffer(const CallPtr& call,
                               const PlacementDecision& step,
                               bool is_hedge) {
  const TimePoint now = BootNow();
  const NodeId node = ToNodeId(step.m_key);
  const MemberRecord* member = m_targets.Find(node);
  const AttemptNumber number(m_next_attempt++);
  const bool is_remote =
      DistanceBetween(m_targets.Self(), *member) == Distance::kRemote;
  Attempt& attempt = call->m_attempts[number];
  attempt.m_number = number;
  attempt.m_node = node;
  attempt.m_instance = member->Instance();
  attempt.m_sent_at = now;
  attempt.m_load_age = m_targets.LoadAge(node, now);
  attempt.m_is_hedge = is_hedge;
  // A separate start message costs a round trip, which is expensive between
  // regions. Idempotent requests do not need the proof of non-execution that it
  // provides.
  attempt.m_starts_at_once =
      is_remote && call->m_route->m_is_idempotent &&
      call->m_request.m_body.size() <= m_options.m_max_eager_body;
  if (const auto known = m_incarnations.find(node);
      known != m_incarnations.end()) {
    attempt.m_egress_incarnation = known->second;
  }
  m_calls_by_attempt[number] = call;
  m_targets.AddInFlight(node);
  call->m_placement.OnRefused(step.m_key, PlacementRefusal::kBusy, {});
  OfferMessage offer{
      .m_attempt = number,
      .m_service = call->m_service,
      .m_instance = member->m_instance,
      .m_is_idempotent = call->m_route->m_is_idempotent,
      .m_is_extra_attempt =
          call->m_has_reached_instance || call->m_is_call_of_retry,
      .m_is_hedge = is_hedge,
      .m_starts_immediately = attempt.m_starts_at_once,
      .m_may_wait = step.m_may_wait,
      .m_accepts_held = step.m_accepts_held,
      .m_urgency = call->m_urgency,
      .m_time_left_ms = ToWireMs<uint32_t>(call->m_deadline - now),
      .m_caller_service = m_local_service,
      .m_request_id = call->m_id,
      .m_account = call->m_account == nullptr ? "" : call->m_account->m_name,
      .m_share_account = call->m_share_account,
      .m_is_call = call->m_is_call,
      .m_route = call->m_manages_load && !call->m_is_call
                     ? call->m_route->m_name
                     : ""};
  if (call->m_manages_load &&
      call->m_request.m_body.size() > ByteBudget::kSmallBytes) {
    offer.m_body_bytes = static_cast<uint32_t>(call->m_request.m_body.size());
  }
  if (attempt.m_starts_at_once) {
    offer.m_request = call->m_request;
  }
  StartReplyTimer(call, attempt);
  if (!SendTo(node, call->m_manages_load
                        ? Message(TaggedOfferMessage{std::move(offer)})
                        : Message(std::move(offer)))) {
    RemoveAttempt(call, number);
    call->m_placement.OnRefused(step.m_key, PlacementRefusal::kFinal, {});
    asio::post(
        m_io, [this, call, is_hedge] { ContinueAfterRefusal(call, is_hedge); });
  }
}

template <PlatformCodec Codec>
void Ingress<Codec>::OnDeadline(const CallPtr& call) {
  if (!call->m_is_done) {
    Fail(call, "out of time");
  }
}

template <PlatformCodec Codec>
HttpResponse Ingress<Codec>::BuildRefusal(const Call& call) const {
  HttpResponse response = BuildTextResponse(503, "not run\n");
  if (const auto left = QuarantineLeft(call)) {
    response.m_body = "not run: the request has crashed several instances\n";
    response.m_fields.push_back(
        {"Retry-After",
         fmt::format("{:.0f}", std::chrono::duration<double>(*left).count())});
    return response;
  }
  // Not before the shortest queue or hold ends.
  const Duration shortest =
      std::clamp(call.m_shortest_wait, m_options.m_min_retry_after,
                 m_options.m_max_retry_after);
  const Duration earliest = call.m_downstream_refusals == 0
                                ? shortest
                                : std::clamp(call.m_downstream_wait, shortest,
                                             m_options.m_max_retry_after);
  AddRetryAfter(response, earliest, 2);
  return response;
}

template <PlatformCodec Codec>
void Ingress<Codec>::Fail(const CallPtr& call, std::string_view cause) {
  const bool is_out_of_time = BootNow() >= call->m_deadline;
  const bool may_have_executed = MayHaveExecuted(*call);
  LogFailure(*call, cause, may_have_executed);
  if (call->m_fallback_response) {
    ++m_stats.m_answered;
    FinishWithOutcome(call, m_answered_latency,
                      *std::exchange(call->m_fallback_response, std::nullopt));
    return;
  }
  if (may_have_executed) {
    ++m_stats.m_unknown;
    FinishWithOutcome(call, m_unknown_latency,
                      is_out_of_time
                          ? BuildTextResponse(504, "no answer in time\n")
                          : BuildTextResponse(502, "may have run\n"));
    return;
  }
  ++m_stats.m_not_run;
  ReleaseToken(call, false);
  ReportFailedCall(*call);
  FinishWithOutcome(call, m_not_run_latency, BuildRefusal(*call));
}

template <PlatformCodec Codec>
void Ingress<Codec>::FailAll(std::string_view cause) {
  std::set<CallPtr> calls = m_token_waiters;
  calls.insert(m_paused_calls.begin(), m_paused_calls.end());
  for (const auto& [number, call] : m_calls_by_attempt) {
    calls.insert(call);
  }
  for (const CallPtr& call : calls) {
    if (!call->m_is_done) {
      Fail(call, cause);
    }
  }
}

template <PlatformCodec Codec>
void Ingress<Codec>::LogFailure(const Call& call,
                                std::string_view cause,
                                bool may_have_executed) {
  const auto candidates = FindCandidates(call);
  int64_t held = 0;
  int64_t full = 0;
  int64_t cut = 0;
  for (const PlacementCandidate& candidate : candidates) {
    held += candidate.m_hold_remaining > Duration{} ? 1 : 0;
    full += candidate.m_used_slots >= candidate.m_slots ? 1 : 0;
    cut += candidate.m_is_reachable ? 0 : 1;
  }
  LogEvent(LogLevel::kInfo, "request_failed")
      .Add("request", call.m_id)
      .Add("route", call.m_route->m_name)
      .Add("config", static_cast<int64_t>(call.m_config->m_version.Get()))
      .Add("knowledge_ms", WholeMs(m_hooks.m_knowledge_age()))
      .Add("outcome", call.m_fallback_response ? "server-error"
                      : may_have_executed      ? "unknown"
                                               : "not-run")
      .Add("cause", cause)
      .Add("latest", ToString(call.m_last_reason))
      .Add("trail", call.m_trail)
      .Add("known", static_cast<int64_t>(candidates.size()))
      .Add("held", held)
      .Add("full", full)
      .Add("cut", cut)
      .Add("started", call.m_start_count)
      .Add("took_ms", WholeMs(BootNow() - call.m_received));
}

template <PlatformCodec Codec>
void Ingress<Codec>::WithdrawAll(const CallPtr& call) {
  while (!call->m_attempts.empty()) {
    const Attempt& attempt = call->m_attempts.begin()->second;
    const AttemptNumber number = attempt.m_number;
    const NodeId node = attempt.m_node;
    RemoveAttempt(call, number);
    SendTo(node, CancelMessage{.m_attempt = number});
  }
}

template <PlatformCodec Codec>
std::vector<MetricSample> Ingress<Codec>::Latencies() const {
  return {m_answered_latency.Sample({{"outcome", "answered"}}),
          m_not_run_latency.Sample({{"outcome", "not-run"}}),
          m_unknown_latency.Sample({{"outcome", "unknown"}})};
}

template <PlatformCodec Codec>
void Ingress<Codec>::FinishWithOutcome(const CallPtr& call,
                                       LatencyBuckets& latencies,
                                       HttpResponse response) {
  latencies.Observe(BootNow() - call->m_received);
  Finish(call, std::move(response));
}

template <PlatformCodec Codec>
void Ingress<Codec>::Finish(const CallPtr& call, HttpResponse response) {
  if (call->m_is_done) {
    return;
  }
  call->m_is_done = true;
  call->m_deadline_timer.cancel();
  call->m_hedge_timer.cancel();
  m_paused_calls.erase(call);
  // The server that sends the response counts it from now on.
  call->m_expected_response.reset();
  --m_request_count;
  WithdrawAll(call);
  if (response.m_status >= ingress_detail::kFirstServerError) {
    m_hooks.m_on_failure();
  }
  call->m_responder(std::move(response));
}

template <PlatformCodec Codec>
void Ingress<Codec>::Cancel(const CallPtr& call) {
  if (call->m_is_done) {
    return;
  }
  call->m_is_done = true;
  call->m_deadline_timer.cancel();
  call->m_hedge_timer.cancel();
  m_paused_calls.erase(call);
  --m_request_count;
  call->m_expected_response.reset();
  ++m_stats.m_cancelled;
  LogEvent(LogLevel::kDebug, "caller_left").Add("request", call->m_id);
  m_hooks.m_on_failure();
  ReleaseToken(call, MayHaveExecuted(*call));
  WithdrawAll(call);
}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_INGRESS_INL_H_
