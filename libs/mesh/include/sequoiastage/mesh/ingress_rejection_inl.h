#ifndef SEQUOIASTAGE_MESH_INGRESS_REJECTION_INL_H_
#define SEQUOIASTAGE_MESH_INGRESS_REJECTION_INL_H_

// Requests that are rejected on arrival because of their route or their key,
// and those that find no capacity in time.

#include <fmt/format.h>

#include <algorithm>
#include <random>

#include "sequoiastage/mesh/ingress.h"

namespace sequoiastage {

template <PlatformCodec Codec>
HttpResponse Ingress<Codec>::BuildConfigRefusal(std::string_view text) const {
  HttpResponse response = BuildTextResponse(503, text);
  AddRetryAfter(response, m_options.m_config_retry_after, 1.5);
  return response;
}

template <PlatformCodec Codec>
void Ingress<Codec>::AddRetryAfter(HttpResponse& response,
                                   Duration earliest,
                                   double max_factor) const {
  std::uniform_real_distribution<double> spread(1, max_factor);
  const double seconds =
      std::chrono::duration<double>(earliest).count() * spread(m_random);
  response.m_fields.push_back({"Retry-After", fmt::format("{:.2f}", seconds)});
}

template <PlatformCodec Codec>
void Ingress<Codec>::RejectMisconfigured(const CallerMetadata& metadata,
                                         const TrafficRoute* route,
                                         std::string_view cause,
                                         const StreamResponder& responder) {
  ++m_stats.m_misconfigured;
  LogEvent(LogLevel::kInfo, "request_misconfigured")
      .Add("request", metadata.m_request_id)
      .Add("route", route == nullptr ? "" : route->m_name)
      .Add("cause", cause)
      .Add("config", static_cast<int64_t>(m_config->m_version.Get()));
  responder(BuildConfigRefusal("not run: fault of the configuration\n"));
}

template <PlatformCodec Codec>
bool Ingress<Codec>::RejectUnknown(const HttpRequest& request,
                                   const CallerMetadata& metadata,
                                   const TrafficRoute* route,
                                   const ClientAccount* account,
                                   const StreamResponder& responder) {
  if (route == nullptr && m_config && m_config->m_omitted.m_has_all_routes) {
    RejectMisconfigured(metadata, route, "no-routes", responder);
    return true;
  }
  if (route == nullptr) {
    ++m_stats.m_unrouted;
    LogEvent(LogLevel::kInfo, "request_unrouted")
        .Add("request", metadata.m_request_id)
        .Add("host", request.m_host)
        .Add("config", m_config
                           ? static_cast<int64_t>(m_config->m_version.Get())
                           : int64_t{-1});
    responder(m_config ? BuildTextResponse(404, "no route\n")
                       : BuildConfigRefusal("no configuration yet\n"));
    return true;
  }
  if (route->m_is_omitted) {
    RejectMisconfigured(metadata, route, "route", responder);
    return true;
  }
  if (account != nullptr || route->m_is_public || !m_config->RequiresKeys()) {
    return false;
  }
  if (!metadata.m_key.empty() && (m_config->m_omitted.m_has_all_accounts ||
                                  m_accounts.IsUnusable(metadata.m_key))) {
    RejectMisconfigured(metadata, route, "account", responder);
    return true;
  }
  // Cheap and silent: callers can send any number of such requests.
  ++m_stats.m_unauthorized;
  LogEvent(LogLevel::kDebug, "request_unauthorized")
      .Add("request", metadata.m_request_id)
      .Add("route", route->m_name)
      .Add("config", static_cast<int64_t>(m_config->m_version.Get()));
  responder(BuildTextResponse(401, "unknown key\n"));
  return true;
}

template <PlatformCodec Codec>
std::optional<Duration> Ingress<Codec>::WaitLeft(const Call& call) const {
  return call.m_wait_budget && call.m_start_count == 0 && !MayHaveExecuted(call)
             ? std::optional(call.m_wait_budget->Left(BootNow()))
             : std::nullopt;
}

template <PlatformCodec Codec>
bool Ingress<Codec>::RejectForWait(const CallPtr& call) {
  const auto left = WaitLeft(*call);
  if (!left || !call->m_attempts.empty()) {
    return false;
  }
  if (*left > Duration{}) {
    // The reports tell the wait behind all queued requests. More urgent
    // requests and accounts that are served less go before these, so only an
    // offer tells the wait of theirs.
    const auto shortest =
        call->m_config->m_accounts.empty() && IsLeastUrgent(*call)
            ? m_targets.ShortestWait(
                  call->m_service, BootNow(), m_options.m_max_wait_report_age,
                  [this](NodeId node) {
                    return IsSelf(node) || m_links.IsUsable(node);
                  })
            : std::nullopt;
    if (!shortest || *shortest <= *left) {
      return false;
    }
    call->m_last_reason = AttemptReason::kBusy;
    call->m_shortest_wait = std::min(call->m_shortest_wait, *shortest);
  }
  ++m_stats.m_out_of_wait;
  Fail(call, "no capacity within its wait");
  return true;
}

template <PlatformCodec Codec>
bool Ingress<Codec>::IsLeastUrgent(const Call& call) const {
  const auto& routes = call.m_config->m_routes;
  return std::all_of(routes.begin(), routes.end(),
                     [&call](const TrafficRoute& route) {
                       return route.m_urgency <= call.m_urgency;
                     });
}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_INGRESS_REJECTION_INL_H_
