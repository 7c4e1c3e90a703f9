#include "sequoiastage/limits/downstream_gate.h"

#include <algorithm>
#include <cmath>

namespace sequoiastage {

namespace {

// The calls of a request share its time. With an exponent of 1, the short waves
// below the capacity of a service with four calls per request reach the target
// too often; with 0.5, requests with four calls run out of time.
constexpr double kCallsExponent = 0.75;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

double CallSample::WaitPart() const {
  if (m_is_refused || m_available <= Duration{}) {
    return 1;
  }
  return std::clamp(Seconds(m_waited) / Seconds(m_available), 0.0, 1.0);
}

DownstreamGate::DownstreamGate(const DownstreamGateOptions& options)
    : m_options(options),
      m_starvation(options.m_starvation),
      m_random(options.m_seed) {}

std::optional<Duration> DownstreamGate::TimeToStart(const EntryRequest& request,
                                                    TimePoint now) {
  const auto found = m_routes.find(request.m_route);
  if (found == m_routes.end()) {
    return std::nullopt;
  }
  Route& route = found->second;
  RaiseIdle(route, now);
  const Callee* const callee = Shortest(route);
  if (callee == nullptr) {
    return std::nullopt;
  }
  m_starvation.OnAsked(request.m_account, now);
  const size_t rank = RankOf(request);
  DecayCounts(route, now);
  route.m_offers[rank] += 1;
  const double probability =
      RankProbability(route, callee->m_probability, rank);
  if (std::uniform_real_distribution<double>()(m_random) < probability) {
    return std::nullopt;
  }
  // What waits at the called service has to be served first, and only a part of
  // the requests is admitted then.
  const auto wait =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
          Seconds(callee->m_mean_wait) / probability));
  return std::clamp(wait, m_options.m_min_wait, m_options.m_max_wait);
}

void DownstreamGate::OnStart(const EntryRequest& request, TimePoint now) {
  Route* const route = FindOrAdd(request.m_route, now);
  if (route == nullptr) {
    return;
  }
  DecayCounts(*route, now);
  route->m_started += 1;
  if (Shortest(*route) != nullptr) {
    m_starvation.OnServed(request.m_account, now);
  }
}

void DownstreamGate::OnCall(std::string_view name,
                            ServiceId service,
                            const CallSample& sample,
                            TimePoint now) {
  Route* const route = FindOrAdd(name, now);
  Callee* const callee =
      route == nullptr ? nullptr : FindOrAddCallee(*route, service, now);
  if (callee == nullptr) {
    return;
  }
  const double part = sample.WaitPart();
  // A refused call may have been refused early; it would have waited longer.
  const Duration waited = sample.m_is_refused
                              ? std::max(sample.m_waited, sample.m_available)
                              : sample.m_waited;
  callee->m_calls += 1;
  callee->m_refused += sample.m_is_refused ? 1 : 0;
  callee->m_wait_parts += part;
  callee->m_samples += 1;
  callee->m_mean_wait += std::chrono::duration_cast<Duration>(
      m_options.m_wait_weight * (waited - callee->m_mean_wait));
  if (now - callee->m_changed_at >= m_options.m_interval) {
    Change(*route, *callee, now);
  }
}

void DownstreamGate::Reset() {
  m_routes.clear();
  m_starvation = StarvationGuard(m_options.m_starvation);
}

std::optional<double> DownstreamGate::Probability(std::string_view name) const {
  const auto found = m_routes.find(name);
  const Callee* const callee =
      found == m_routes.end() ? nullptr : Shortest(found->second);
  return callee == nullptr ? std::nullopt
                           : std::optional(callee->m_probability);
}

double DownstreamGate::RankProbability(const EntryRequest& request) const {
  const auto found = m_routes.find(request.m_route);
  const Callee* const callee =
      found == m_routes.end() ? nullptr : Shortest(found->second);
  return callee == nullptr
             ? 1
             : RankProbability(found->second, callee->m_probability,
                               RankOf(request));
}

double DownstreamGate::CallsPerRequest(std::string_view name,
                                       ServiceId service) const {
  const auto found = m_routes.find(name);
  if (found == m_routes.end()) {
    return 0;
  }
  const auto callee = found->second.m_callees.find(service);
  return callee == found->second.m_callees.end()
             ? 0
             : CallsPerRequest(found->second, callee->second);
}

std::vector<LimitedRoute> DownstreamGate::LimitedRoutes() const {
  std::vector<LimitedRoute> limited;
  for (const auto& [name, route] : m_routes) {
    if (const Callee* const callee = Shortest(route)) {
      limited.push_back({.m_route = name,
                         .m_probability = callee->m_probability,
                         .m_wait = callee->m_mean_wait});
    }
  }
  return limited;
}

double DownstreamGate::DecayFactor(TimePoint since, TimePoint now) const {
  return std::exp2(
      -std::max(0.0, Seconds(now - since) / Seconds(m_options.m_half_life)));
}

void DownstreamGate::DecayCounts(Route& route, TimePoint now) const {
  const double factor = DecayFactor(route.m_counted_at, now);
  route.m_started *= factor;
  for (double& offers : route.m_offers) {
    offers *= factor;
  }
  route.m_counted_at = now;
}

DownstreamGate::Route* DownstreamGate::FindOrAdd(std::string_view name,
                                                 TimePoint now) {
  auto found = m_routes.find(name);
  if (found == m_routes.end()) {
    if (m_routes.size() >= m_options.m_max_routes) {
      std::erase_if(m_routes, [&](const auto& item) {
        return now - item.second.m_used_at >= m_options.m_retention;
      });
      if (m_routes.size() >= m_options.m_max_routes) {
        return nullptr;
      }
    }
    found = m_routes.emplace(name, Route{}).first;
  } else if (now - found->second.m_used_at >= m_options.m_retention) {
    found->second = Route{};
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
  if (now - callee.m_updated_at >= m_options.m_retention) {
    callee = Callee{};
  }
  const double factor = DecayFactor(callee.m_updated_at, now);
  callee.m_calls *= factor;
  callee.m_refused *= factor;
  callee.m_updated_at = now;
  return &callee;
}

const DownstreamGate::Callee* DownstreamGate::Shortest(const Route& route) {
  const Callee* shortest = nullptr;
  for (const auto& [service, callee] : route.m_callees) {
    if (callee.m_probability <
        (shortest == nullptr ? 1 : shortest->m_probability)) {
      shortest = &callee;
    }
  }
  return shortest;
}

double DownstreamGate::CallsPerRequest(const Route& route,
                                       const Callee& callee) const {
  // Both counts decay alike; they may have been updated at different times.
  const TimePoint now = std::max(route.m_counted_at, callee.m_updated_at);
  const double started = route.m_started * DecayFactor(route.m_counted_at, now);
  return started <= 0
             ? 0
             : callee.m_calls * DecayFactor(callee.m_updated_at, now) / started;
}

size_t DownstreamGate::RankOf(const EntryRequest& request) const {
  return m_starvation.IsStarved(request.m_account)
             ? 0
             : std::min<size_t>(size_t{request.m_urgency} + 1, kRanks - 1);
}

double DownstreamGate::RankProbability(const Route& route,
                                       double probability,
                                       size_t rank) const {
  double all = 0;
  double before = 0;
  for (size_t i = 0; i < kRanks; ++i) {
    all += route.m_offers[i];
    before += i < rank ? route.m_offers[i] : 0;
  }
  const double own = route.m_offers[rank];
  if (own <= 0) {
    return std::max(probability, m_options.m_min_probability);
  }
  return std::clamp((probability * all - before) / own,
                    m_options.m_min_probability, 1.0);
}

void DownstreamGate::Change(const Route& route,
                            Callee& callee,
                            TimePoint now) const {
  const double part = callee.m_wait_parts / callee.m_samples;
  const double gap_s =
      Seconds(std::min(now - callee.m_changed_at, m_options.m_max_gap));
  const double difference = part - callee.m_wait_part;
  callee.m_wait_part = part;
  callee.m_changed_at = now;
  callee.m_wait_parts = 0;
  callee.m_samples = 0;
  const double calls = std::max(1.0, CallsPerRequest(route, callee));
  const double target =
      m_options.m_target_wait_part / std::pow(calls, kCallsExponent);
  if (callee.m_probability >= 1) {
    const bool is_rare_refusal =
        callee.m_refused > 0 &&
        callee.m_refused < m_options.m_min_refused_part * callee.m_calls;
    if (part > m_options.m_first_factor * target && !is_rare_refusal) {
      callee.m_probability = m_options.m_first_probability;
    }
    return;
  }
  const double change = m_options.m_integral_gain * gap_s * (part - target) +
                        m_options.m_proportional_gain * difference;
  callee.m_probability = std::clamp(callee.m_probability * std::exp(-change),
                                    m_options.m_min_probability, 1.0);
}

void DownstreamGate::RaiseIdle(Route& route, TimePoint now) const {
  for (auto& [service, callee] : route.m_callees) {
    const Duration idle = now - callee.m_changed_at - m_options.m_max_gap;
    if (callee.m_probability < 1 && idle >= m_options.m_interval) {
      callee.m_changed_at += idle;
      callee.m_probability =
          std::min(1.0, callee.m_probability *
                            std::exp(m_options.m_idle_rise * Seconds(idle)));
    }
  }
}

}  // namespace sequoiastage
