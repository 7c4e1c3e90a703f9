#ifndef SEQUOIASTAGE_MESH_EGRESS_SHARING_INL_H_
#define SEQUOIASTAGE_MESH_EGRESS_SHARING_INL_H_

// Sharing of capacity between accounts, and requests whose calls find none.
// Applies only where the configuration manages load.

#include <fmt/format.h>

#include <algorithm>

#include "sequoiastage/mesh/egress.h"
#include "sequoiastage/mesh/egress_inl.h"

namespace sequoiastage {

template <PlatformCodec Codec>
void Egress<Codec>::SetManagesLoad(bool manages) {
  m_manages_load = manages;
  m_gate.SetProtectsAccounts(manages);
  m_retry_budget.SetManagesLoad(manages);
  if (!manages) {
    m_downstream.Reset();
  }
}

template <PlatformCodec Codec>
std::optional<Duration> Egress<Codec>::DownstreamWait(const OfferMessage& offer,
                                                      TimePoint now) {
  // A retry belongs to a request that has begun already.
  if (!m_manages_load || offer.m_is_call || offer.m_route.empty() ||
      (offer.m_is_extra_attempt && !offer.m_is_hedge)) {
    return std::nullopt;
  }
  const bool was_limited = m_downstream.Limit(offer.m_route).has_value();
  const auto wait = m_downstream.TimeToStart(offer.m_route, now);
  LogLimitChange(offer.m_route, was_limited, "");
  return m_options.m_limits_callers ? wait : std::nullopt;
}

template <PlatformCodec Codec>
void Egress<Codec>::CountDownstreamStart(Work& work, TimePoint now) {
  const OfferMessage& offer = work.m_offer;
  work.m_is_counted = m_manages_load && !offer.m_is_call &&
                      !offer.m_route.empty() &&
                      m_downstream.OnStart(offer.m_route, now);
}

template <PlatformCodec Codec>
void Egress<Codec>::CountDownstreamEnd(Work& work, TimePoint now) {
  if (!work.m_is_counted) {
    return;
  }
  work.m_is_counted = false;
  m_downstream.OnEnd(
      work.m_offer.m_route,
      work.m_connection ? std::optional(now - work.m_started_at) : std::nullopt,
      now);
}

template <PlatformCodec Codec>
void Egress<Codec>::OnCallEnd(const CallEnd& end) {
  if (!m_manages_load) {
    return;
  }
  m_retry_budget.OnRecognizedCall(BootNow());
  if (end.m_is_success) {
    for (const auto& [key, work] : m_running.FindCaller(end.m_request_id)) {
      work->m_has_served_call = true;
    }
  }
  if (end.m_route.empty()) {
    return;
  }
  const bool was_limited = m_downstream.Limit(end.m_route).has_value();
  m_downstream.OnCall(end.m_route, end.m_service, end.m_result, BootNow());
  if (m_downstream.Limit(end.m_route).has_value() == was_limited) {
    return;
  }
  const auto service =
      std::find_if(m_config->m_services.begin(), m_config->m_services.end(),
                   [&](const std::string& name) {
                     return MakeServiceId(name) == end.m_service;
                   });
  LogLimitChange(end.m_route, was_limited,
                 service == m_config->m_services.end() ? "" : *service);
}

template <PlatformCodec Codec>
void Egress<Codec>::LogLimitChange(std::string_view route,
                                   bool was_limited,
                                   std::string_view service) {
  const auto limit = m_downstream.Limit(route);
  if (limit.has_value() == was_limited) {
    return;
  }
  if (!limit) {
    LogEvent(LogLevel::kInfo, "route_unlimited").Add("route", route);
    return;
  }
  LogEvent(LogLevel::kInfo, "route_limited")
      .Add("route", route)
      .Add("service", service)
      .Add("limit", fmt::format("{:.1f}", *limit))
      .Add("running", static_cast<int64_t>(m_gate.Running()));
}

template <PlatformCodec Codec>
EgressStats Egress<Codec>::Stats() const {
  EgressStats stats = m_stats;
  stats.m_boosted = m_gate.Stats().m_boosted;
  stats.m_queued_calls = m_gate.QueuedCalls();
  stats.m_starved_accounts = m_gate.StarvedAccounts();
  stats.m_limited_routes = m_downstream.LimitedRoutes();
  return stats;
}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_EGRESS_SHARING_INL_H_
