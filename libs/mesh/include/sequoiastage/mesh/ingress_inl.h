#ifndef SEQUOIASTAGE_MESH_INGRESS_INL_H_
#define SEQUOIASTAGE_MESH_INGRESS_INL_H_

#include <fmt/format.h>

#include <algorithm>
#include <asio/post.hpp>
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
                        std::string own_service,
                        TargetBook& book,
                        MeshLinks& links,
                        Hooks hooks)
    : m_io(io),
      m_options(options),
      m_own_service(std::move(own_service)),
      m_book(book),
      m_links(links),
      m_hooks(std::move(hooks)) {}

template <PlatformCodec Codec>
void Ingress<Codec>::SetConfig(std::shared_ptr<const TrafficConfig> config) {
  m_config = std::move(config);
  m_routes = PrefixRoutes(m_config->m_routes);
  m_splits.clear();
}

template <PlatformCodec Codec>
HttpAnswer Ingress<Codec>::Plain(uint16_t status, std::string_view text) {
  return {.m_status = status,
          .m_fields = {{"Content-Type", "text/plain"}},
          .m_body = std::string(text)};
}

template <PlatformCodec Codec>
ServiceId Ingress<Codec>::PickService(const TrafficRoute& route) {
  if (route.m_shares.size() == 1) {
    return route.m_shares.front().m_service;
  }
  auto split = m_splits.find(route.m_name);
  if (split == m_splits.end()) {
    std::vector<double> weights;
    for (const RouteShare& share : route.m_shares) {
      weights.push_back(share.m_weight);
    }
    split =
        m_splits
            .emplace(route.m_name, SplitPicker(std::move(weights), m_random))
            .first;
  }
  return route.m_shares[split->second.Pick()].m_service;
}

template <PlatformCodec Codec>
CancelHook Ingress<Codec>::OnRequest(HttpRequest request,
                                     const StreamResponder& responder) {
  const TimePoint now = BootNow();
  ++m_stats.m_requests;
  CallerFacts facts = Codec::DecodeCaller(request);
  const TrafficRoute* route =
      m_config ? m_routes.Find(request.m_host, request.m_target) : nullptr;
  if (route == nullptr) {
    ++m_stats.m_unrouted;
    LogEvent(LogLevel::kInfo, "request_unrouted")
        .Add("request", facts.m_request_id)
        .Add("host", request.m_host)
        .Add("config", m_config
                           ? static_cast<int64_t>(m_config->m_version.Get())
                           : int64_t{-1});
    responder(m_config ? Plain(404, "no route\n")
                       : Plain(503, "no configuration yet\n"));
    return {};
  }
  auto run = std::make_shared<Run>(m_io);
  run->m_id = std::move(facts.m_request_id);
  run->m_request = std::move(request);
  RemoveHopFields(run->m_request.m_fields);
  run->m_responder = responder;
  run->m_config = m_config;
  run->m_route = route;
  run->m_service = PickService(*route);
  run->m_placement = Placement(m_options.m_placement);
  run->m_received = now;
  run->m_deadline =
      now +
      std::min(route->m_timeout, facts.m_time_left.value_or(route->m_timeout));
  ++m_request_count;
  run->m_deadline_timer.expires_after(run->m_deadline - now);
  run->m_deadline_timer.async_wait(
      [this, weak = std::weak_ptr(run)](const asio::error_code& error) {
        if (const RunPtr self = weak.lock(); !error && self) {
          OnDeadline(self);
        }
      });
  Step(run);
  return [this, weak = std::weak_ptr(run)] {
    if (const RunPtr self = weak.lock()) {
      Cancel(self);
    }
  };
}

template <PlatformCodec Codec>
bool Ingress<Codec>::MayRepeat(const Run& run) const {
  // Offers on their way may be running already.
  const auto offered = std::count_if(
      run.m_attempts.begin(), run.m_attempts.end(), [](const auto& entry) {
        return entry.second.m_phase == Phase::kOffered ||
               entry.second.m_phase == Phase::kQueued;
      });
  return run.m_route->m_is_idempotent &&
         run.m_started + offered < run.m_route->m_max_attempts;
}

template <PlatformCodec Codec>
void Ingress<Codec>::Step(const RunPtr& run) {
  if (run->m_is_done) {
    return;
  }
  const bool may_try = run->m_route->m_is_idempotent && !run->m_has_arrived &&
                       run->m_route->m_max_attempts > 1;
  if (const auto step = run->m_placement.Next(
          CandidatesOf(*run), m_random, may_try, run->m_deadline - BootNow())) {
    Offer(run, *step);
  } else if (run->m_attempts.empty()) {
    GiveUp(run, "no instance takes it");
  }
}

template <PlatformCodec Codec>
void Ingress<Codec>::StepAfter(const RunPtr& run, bool was_copy) {
  if (!was_copy) {
    Step(run);
  } else if (run->m_attempts.empty()) {
    // The attempt that was copied has ended meanwhile.
    StepOrGiveUp(run, "every attempt failed");
  }
}

template <PlatformCodec Codec>
void Ingress<Codec>::StepOrGiveUp(const RunPtr& run, std::string_view cause) {
  if (MayRepeat(*run)) {
    Step(run);
  } else if (run->m_attempts.empty()) {
    GiveUp(run, cause);
  }
}

template <PlatformCodec Codec>
std::vector<PlacementCandidate> Ingress<Codec>::CandidatesOf(
    const Run& run) const {
  return m_book.Candidates(run.m_service, BootNow(), [this](NodeId node) {
    return IsOwn(node) || m_links.IsUsable(node);
  });
}

template <PlatformCodec Codec>
bool Ingress<Codec>::SendTo(NodeId node, Message message) {
  if (IsOwn(node)) {
    m_hooks.m_local_offer(std::move(message));
    return true;
  }
  return m_links.Send(node, message);
}

template <PlatformCodec Codec>
void Ingress<Codec>::Offer(const RunPtr& run,
                           const PlacementDecision& step,
                           bool is_copy) {
  const TimePoint now = BootNow();
  const NodeId node = NodeOf(step.m_key);
  const MemberRecord* member = m_book.Find(node);
  const AttemptNumber number(m_next_attempt++);
  const bool is_far = DistanceOf(m_book.Own(), *member) == Distance::kRemote;
  Attempt& attempt = run->m_attempts[number];
  attempt.m_number = number;
  attempt.m_node = node;
  attempt.m_sent_at = now;
  attempt.m_told_age = m_book.ToldAge(node, now);
  attempt.m_is_copy = is_copy;
  // The round trip before the start is dear between regions, and repeatable
  // work does without the proof that it gives.
  attempt.m_starts_at_once =
      is_far && run->m_route->m_is_idempotent &&
      run->m_request.m_body.size() <= m_options.m_max_eager_body;
  if (const auto known = m_runs.find(node); known != m_runs.end()) {
    attempt.m_egress_run = known->second;
  }
  m_by_attempt[number] = run;
  m_book.OnSent(node);
  run->m_placement.OnRefused(step.m_key, PlacementRefusal::kBusy, {});
  OfferMessage offer{
      .m_attempt = number,
      .m_service = run->m_service,
      .m_instance = member->m_instance,
      .m_is_idempotent = run->m_route->m_is_idempotent,
      .m_is_extra_attempt = run->m_has_arrived,
      .m_is_hedge = is_copy,
      .m_starts_immediately = attempt.m_starts_at_once,
      .m_may_wait = step.m_may_wait,
      .m_accepts_held = step.m_accepts_held,
      .m_urgency = run->m_route->m_urgency,
      .m_time_left_ms = ToWireMs<uint32_t>(run->m_deadline - now),
      .m_caller_service = m_own_service,
      .m_request_id = run->m_id};
  if (attempt.m_starts_at_once) {
    offer.m_request = run->m_request;
  }
  ArmSilence(run, attempt);
  if (!SendTo(node, std::move(offer))) {
    Drop(run, number);
    run->m_placement.OnRefused(step.m_key, PlacementRefusal::kFinal, {});
    asio::post(m_io, [this, run, is_copy] { StepAfter(run, is_copy); });
  }
}

template <PlatformCodec Codec>
void Ingress<Codec>::OnDeadline(const RunPtr& run) {
  if (!run->m_is_done) {
    GiveUp(run, "out of time");
  }
}

template <PlatformCodec Codec>
HttpAnswer Ingress<Codec>::RefusalOf(const Run& run) const {
  // Not before the shortest queue or hold ends; spread over that time again, so
  // that callers refused together don't return together.
  const Duration earliest =
      std::clamp(run.m_shortest_wait, m_options.m_min_retry_after,
                 m_options.m_max_retry_after);
  std::uniform_real_distribution<double> spread(1, 2);
  const double seconds =
      std::chrono::duration<double>(earliest).count() * spread(m_random);
  HttpAnswer answer = Plain(503, "not run\n");
  answer.m_fields.push_back({"Retry-After", fmt::format("{:.2f}", seconds)});
  return answer;
}

template <PlatformCodec Codec>
void Ingress<Codec>::GiveUp(const RunPtr& run, std::string_view cause) {
  const bool is_out_of_time = BootNow() >= run->m_deadline;
  bool may_run = run->m_may_have_run;
  for (const auto& [number, attempt] : run->m_attempts) {
    may_run |= attempt.m_phase == Phase::kStarted ||
               attempt.m_phase == Phase::kLost || attempt.m_starts_at_once;
  }
  LogFailure(*run, cause, may_run);
  if (run->m_fallback) {
    ++m_stats.m_answered;
    FinishAs(run, m_answered_latency,
             *std::exchange(run->m_fallback, std::nullopt));
    return;
  }
  if (may_run) {
    ++m_stats.m_unknown;
    FinishAs(run, m_unknown_latency,
             is_out_of_time ? Plain(504, "no answer in time\n")
                            : Plain(502, "may have run\n"));
    return;
  }
  ++m_stats.m_not_run;
  FinishAs(run, m_not_run_latency, RefusalOf(*run));
}

template <PlatformCodec Codec>
void Ingress<Codec>::LogFailure(const Run& run,
                                std::string_view cause,
                                bool may_run) {
  const auto candidates = CandidatesOf(run);
  int64_t held = 0;
  int64_t full = 0;
  int64_t cut = 0;
  for (const PlacementCandidate& candidate : candidates) {
    held += candidate.m_hold_remaining > Duration{} ? 1 : 0;
    full += candidate.m_used_slots >= candidate.m_slots ? 1 : 0;
    cut += candidate.m_is_reachable ? 0 : 1;
  }
  LogEvent(LogLevel::kInfo, "request_failed")
      .Add("request", run.m_id)
      .Add("route", run.m_route->m_name)
      .Add("config", static_cast<int64_t>(run.m_config->m_version.Get()))
      .Add("knowledge_ms", WholeMs(m_hooks.m_knowledge_age()))
      .Add("outcome", run.m_fallback ? "server-error"
                      : may_run      ? "unknown"
                                     : "not-run")
      .Add("cause", cause)
      .Add("latest", ToString(run.m_latest))
      .Add("trail", run.m_trail)
      .Add("known", static_cast<int64_t>(candidates.size()))
      .Add("held", held)
      .Add("full", full)
      .Add("cut", cut)
      .Add("started", run.m_started)
      .Add("took_ms", WholeMs(BootNow() - run.m_received));
}

template <PlatformCodec Codec>
void Ingress<Codec>::WithdrawAll(const RunPtr& run) {
  while (!run->m_attempts.empty()) {
    const Attempt& attempt = run->m_attempts.begin()->second;
    const AttemptNumber number = attempt.m_number;
    const NodeId node = attempt.m_node;
    Drop(run, number);
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
void Ingress<Codec>::FinishAs(const RunPtr& run,
                              LatencyBuckets& latencies,
                              HttpAnswer answer) {
  latencies.Observe(BootNow() - run->m_received);
  Finish(run, std::move(answer));
}

template <PlatformCodec Codec>
void Ingress<Codec>::Finish(const RunPtr& run, HttpAnswer answer) {
  if (run->m_is_done) {
    return;
  }
  run->m_is_done = true;
  run->m_deadline_timer.cancel();
  run->m_hedge.cancel();
  --m_request_count;
  WithdrawAll(run);
  if (answer.m_status >= ingress_detail::kFirstServerError) {
    m_hooks.m_on_failure();
  }
  run->m_responder(std::move(answer));
}

template <PlatformCodec Codec>
void Ingress<Codec>::Cancel(const RunPtr& run) {
  if (run->m_is_done) {
    return;
  }
  run->m_is_done = true;
  run->m_deadline_timer.cancel();
  run->m_hedge.cancel();
  --m_request_count;
  ++m_stats.m_cancelled;
  LogEvent(LogLevel::kDebug, "caller_left").Add("request", run->m_id);
  m_hooks.m_on_failure();
  WithdrawAll(run);
}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_INGRESS_INL_H_
