#include "sequoiastage/limits/downstream_gate.h"

#include <algorithm>
#include <cmath>

namespace sequoiastage {

namespace {

// What one call counts of a change by 1 in a round of calls. Below 1 the change
// is relative, so that a small limit is not overshot.
double PartOfRound(double limit) {
  return std::min(limit, 1 / limit);
}

}  // namespace

std::optional<Duration> DownstreamGate::TimeToStart(std::string_view name,
                                                    TimePoint now) {
  const auto found = m_routes.find(name);
  if (found == m_routes.end() || !found->second.m_limit) {
    return std::nullopt;
  }
  Route& route = found->second;
  if (LiftIfUnused(route, now)) {
    return std::nullopt;
  }
  const bool is_paused = now < route.m_paused_until;
  if (!is_paused && route.m_running < std::max(1.0, *route.m_limit)) {
    return std::nullopt;
  }
  DecayCounts(route, now);
  route.m_rejected += 1;
  route.m_rejected_at = now;
  // As long as the requests that want to run need at the rate at which the
  // limit lets them start.
  const double seconds =
      std::chrono::duration<double>(route.m_run_time).count() /
      std::max(m_options.m_min_limit, *route.m_limit) *
      std::max(1.0, route.m_rejected / std::max(1.0, route.m_started));
  const auto wait = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(seconds, 1e3)));
  const Duration pause = is_paused ? route.m_paused_until - now : Duration{};
  return std::clamp(std::max(wait, pause), m_options.m_min_wait,
                    m_options.m_max_wait);
}

bool DownstreamGate::OnStart(std::string_view name, TimePoint now) {
  Route* const route = FindOrAdd(name, now);
  if (route == nullptr) {
    return false;
  }
  DecayCounts(*route, now);
  route->m_started += 1;
  route->m_running += 1;
  return true;
}

void DownstreamGate::OnEnd(std::string_view name,
                           std::optional<Duration> took,
                           TimePoint now) {
  const auto found = m_routes.find(name);
  if (found == m_routes.end() || found->second.m_running == 0) {
    return;
  }
  Route& route = found->second;
  route.m_running -= 1;
  if (!took) {
    return;
  }
  constexpr int64_t kWeight = 8;
  route.m_run_time += (*took - route.m_run_time) / kWeight;
  if (route.m_limit && *route.m_limit < 1) {
    const double pauses = 1 / *route.m_limit - 1;
    route.m_paused_until =
        now + std::chrono::duration_cast<Duration>(
                  pauses * std::chrono::duration<double>(route.m_run_time));
  }
}

void DownstreamGate::OnCall(std::string_view name,
                            ServiceId service,
                            CallResult result,
                            TimePoint now) {
  Route* const route = FindOrAdd(name, now);
  Callee* const callee =
      route == nullptr ? nullptr : FindOrAddCallee(*route, service, now);
  if (callee == nullptr) {
    return;
  }
  callee->m_calls += 1;
  callee->m_refused += result == CallResult::kRefused ? 1 : 0;
  callee->m_short += result == CallResult::kServed ? 0 : 1;
  if (result == CallResult::kServed) {
    Raise(*route, now);
    return;
  }
  const bool is_refused = result == CallResult::kRefused;
  const bool is_short =
      is_refused
          ? callee->m_refused >= m_options.m_min_refused_part * callee->m_calls
          : callee->m_short >= m_options.m_min_delayed_part * callee->m_calls;
  if (!route->m_limit && !is_short) {
    return;
  }
  route->m_short_at = now;
  if (is_refused) {
    Reduce(*route, now);
  } else {
    Lower(*route, now);
  }
}

void DownstreamGate::Reset() {
  std::erase_if(m_routes,
                [](const auto& item) { return item.second.m_running == 0; });
  for (auto& [name, route] : m_routes) {
    const uint32_t running = route.m_running;
    route = Route{};
    route.m_running = running;
  }
}

std::optional<double> DownstreamGate::Limit(std::string_view name) const {
  const auto found = m_routes.find(name);
  return found == m_routes.end() ? std::nullopt : found->second.m_limit;
}

double DownstreamGate::CallsPerRequest(std::string_view name,
                                       ServiceId service) const {
  const auto found = m_routes.find(name);
  if (found == m_routes.end()) {
    return 0;
  }
  const Route& route = found->second;
  const auto callee = route.m_callees.find(service);
  if (callee == route.m_callees.end() || route.m_started <= 0) {
    return 0;
  }
  // Both counts decay alike; they may have been updated at different times.
  const TimePoint now =
      std::max(route.m_counted_at, callee->second.m_updated_at);
  return callee->second.m_calls *
         DecayFactor(callee->second.m_updated_at, now) /
         (route.m_started * DecayFactor(route.m_counted_at, now));
}

std::vector<LimitedRoute> DownstreamGate::LimitedRoutes() const {
  std::vector<LimitedRoute> limited;
  for (const auto& [name, route] : m_routes) {
    if (route.m_limit) {
      limited.push_back({.m_route = name,
                         .m_limit = *route.m_limit,
                         .m_running = route.m_running});
    }
  }
  return limited;
}

double DownstreamGate::DecayFactor(TimePoint since, TimePoint now) const {
  return std::exp2(
      -std::max(0.0, std::chrono::duration<double>(now - since) /
                         std::chrono::duration<double>(m_options.m_half_life)));
}

void DownstreamGate::DecayCounts(Route& route, TimePoint now) const {
  const double factor = DecayFactor(route.m_counted_at, now);
  route.m_started *= factor;
  route.m_rejected *= factor;
  route.m_counted_at = now;
}

DownstreamGate::Route* DownstreamGate::FindOrAdd(std::string_view name,
                                                 TimePoint now) {
  auto found = m_routes.find(name);
  if (found == m_routes.end()) {
    if (m_routes.size() >= m_options.m_max_routes) {
      std::erase_if(m_routes, [&](const auto& item) {
        return item.second.m_running == 0 &&
               now - item.second.m_used_at >= m_options.m_retention;
      });
      if (m_routes.size() >= m_options.m_max_routes) {
        return nullptr;
      }
    }
    found = m_routes.emplace(name, Route{}).first;
  } else if (now - found->second.m_used_at >= m_options.m_retention) {
    const uint32_t running = found->second.m_running;
    found->second = Route{};
    found->second.m_running = running;
  }
  found->second.m_used_at = now;
  return &found->second;
}

DownstreamGate::Callee* DownstreamGate::FindOrAddCallee(Route& route,
                                                        ServiceId service,
                                                        TimePoint now) {
  if (!route.m_callees.contains(service) &&
      route.m_callees.size() >= m_options.m_max_services_per_route) {
    std::erase_if(route.m_callees, [&](const auto& item) {
      return now - item.second.m_updated_at >= m_options.m_retention;
    });
    if (route.m_callees.size() >= m_options.m_max_services_per_route) {
      return nullptr;
    }
  }
  Callee& callee = route.m_callees[service];
  const double factor = DecayFactor(callee.m_updated_at, now);
  callee.m_calls *= factor;
  callee.m_refused *= factor;
  callee.m_short *= factor;
  callee.m_updated_at = now;
  return &callee;
}

void DownstreamGate::Reduce(Route& route, TimePoint now) {
  if (route.m_limit &&
      now - route.m_reduced_at < m_options.m_min_reduction_gap) {
    return;
  }
  // What runs above the limit was admitted before.
  const double running = std::max(1.0, static_cast<double>(route.m_running));
  route.m_limit =
      std::max(m_options.m_min_limit,
               m_options.m_refused_factor *
                   std::min(running, route.m_limit.value_or(running)));
  route.m_reduced_at = now;
}

void DownstreamGate::Lower(Route& route, TimePoint now) {
  if (!route.m_limit) {
    route.m_limit = std::max(1.0, static_cast<double>(route.m_running));
    route.m_reduced_at = now;
  }
  *route.m_limit = std::max(
      m_options.m_min_limit,
      *route.m_limit - m_options.m_delayed_step * PartOfRound(*route.m_limit));
}

void DownstreamGate::Raise(Route& route, TimePoint now) {
  if (!route.m_limit || now - route.m_reduced_at < m_options.m_recovery ||
      LiftIfUnused(route, now)) {
    return;
  }
  // A limit that is not used tells nothing about the capacity.
  if (route.m_running + 1 < *route.m_limit) {
    return;
  }
  const double factor =
      std::min(m_options.m_max_step_factor,
               std::chrono::duration<double>(now - route.m_short_at) /
                   std::chrono::duration<double>(m_options.m_recovery));
  *route.m_limit += m_options.m_step * factor * PartOfRound(*route.m_limit);
}

bool DownstreamGate::LiftIfUnused(Route& route, TimePoint now) const {
  if (now - std::max(route.m_short_at, route.m_rejected_at) <
      m_options.m_lift_after) {
    return false;
  }
  route.m_limit.reset();
  return true;
}

}  // namespace sequoiastage
