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
  m_retry_budget.SetSharesByAccount(manages);
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
  const bool was_limited = m_downstream.Probability(offer.m_route).has_value();
  const auto wait = m_downstream.TimeToStart(EntryOf(offer), now);
  LogLimitChange(offer.m_route, was_limited, "");
  return m_options.m_limits_callers ? wait : std::nullopt;
}

template <PlatformCodec Codec>
EntryRequest Egress<Codec>::EntryOf(const OfferMessage& offer) {
  return {.m_route = offer.m_route,
          .m_urgency = offer.m_urgency,
          .m_account = offer.m_share_account};
}

template <PlatformCodec Codec>
void Egress<Codec>::CountDownstreamStart(const OfferMessage& offer,
                                         TimePoint now) {
  if (m_manages_load && !offer.m_is_call && !offer.m_route.empty()) {
    m_downstream.OnStart(EntryOf(offer), now);
  }
}

template <PlatformCodec Codec>
void Egress<Codec>::OnCallEnd(const CallEnd& end) {
  if (!m_manages_load) {
    return;
  }
  const bool was_limited = m_downstream.Probability(end.m_route).has_value();
  m_downstream.OnCall(end.m_route, end.m_service, end.m_sample, BootNow());
  if (m_downstream.Probability(end.m_route).has_value() == was_limited) {
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
  const auto probability = m_downstream.Probability(route);
  if (probability.has_value() == was_limited) {
    return;
  }
  if (!probability) {
    LogEvent(LogLevel::kInfo, "route_unlimited").Add("route", route);
    return;
  }
  LogEvent(LogLevel::kInfo, "route_limited")
      .Add("route", route)
      .Add("service", service)
      .Add("probability", fmt::format("{:.2f}", *probability))
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
