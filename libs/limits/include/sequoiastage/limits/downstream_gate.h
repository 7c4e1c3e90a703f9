#ifndef SEQUOIASTAGE_LIMITS_DOWNSTREAM_GATE_H_
#define SEQUOIASTAGE_LIMITS_DOWNSTREAM_GATE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/time.h"
#include "sequoiastage/limits/starvation_guard.h"

namespace sequoiastage {

/// How the call of a running request ended, as far as it tells the capacity of
/// the called service.
struct CallSample {
  /// Not run for lack of capacity.
  bool m_is_refused = false;
  /// Time that the call waited for capacity.
  Duration m_waited{};
  /// Time from the arrival of the call to its deadline.
  Duration m_available{};

  /// Wait as a part (0 to 1) of the available time; 1 when refused.
  double WaitPart() const;
};

struct DownstreamGateOptions {
  /// Time between two changes of a probability. Calls that end meanwhile count
  /// with the mean of their waits.
  Duration m_interval = std::chrono::milliseconds(150);
  /// Part of its time that a request may wait in its calls to one service, all
  /// calls together. With less, the called service is idle at times.
  double m_target_wait_part = 0.2;
  /// A route becomes limited when the wait part exceeds the target by this
  /// factor. Below the capacity, short waves of requests reach the target.
  double m_first_factor = 1.4;
  /// Probability when a route becomes limited. The requests that were
  /// admitted before reach the called service only after their own work, so the
  /// wait grows for some time after the change.
  double m_first_probability = 0.35;
  /// Change of the logarithm of the probability for a change of the wait part
  /// by 1.
  double m_proportional_gain = 2;
  /// The same for a wait part that is off by 1 for a second.
  double m_integral_gain = 0.4;
  /// Longest time since the last change that the integral takes into account: a
  /// node with few requests knows little about the time between its calls.
  Duration m_max_gap = std::chrono::seconds(1);
  /// A refused call limits a route only when at least this part of its calls to
  /// the service were refused. A rare refusal may come from one instance.
  double m_min_refused_part = 0.03;
  /// Weight (0 to 1) of the newest sample in the mean of the waits.
  double m_wait_weight = 0.125;
  /// Lowest probability. Some requests must run, so that a recovery of the
  /// called service is seen.
  double m_min_probability = 0.05;
  /// Without calls for m_max_gap, the logarithm of the probability rises by
  /// this per second.
  double m_idle_rise = 0.1;
  /// Half-life of the counted offers, starts and calls.
  Duration m_half_life = std::chrono::seconds(5);
  /// Routes and services without calls are forgotten after this time.
  Duration m_retention = std::chrono::minutes(1);
  size_t m_max_routes = 256;
  size_t m_max_services_per_route = 16;
  /// Bounds of the stated wait.
  Duration m_min_wait = std::chrono::milliseconds(100);
  Duration m_max_wait = std::chrono::seconds(5);
  StarvationGuardOptions m_starvation{};
  /// Seed of the random admissions. Should differ between nodes.
  uint32_t m_seed = 1;
};

/// A limited route, for metrics and logs.
struct LimitedRoute {
  std::string m_route;
  /// Part of the offers that is admitted, over all ranks.
  double m_probability = 1;
  /// Mean wait of the calls to the service that limits the route.
  Duration m_wait{};
};

/// A new request that asks for admission.
struct EntryRequest {
  std::string_view m_route;
  /// 0 is the most urgent.
  uint8_t m_urgency = 0;
  AccountId m_account;
};

/// Admits requests of a route with a probability while a service that they call
/// is short of capacity. A request that is refused before it starts can be
/// retried; one whose call is refused has cost its work so far.
///
/// For each route and called service, a proportional-integral controller keeps
/// the wait of the calls at a target. It acts on the logarithm of the
/// probability, so that it responds alike to a small and to a large shortage.
/// The capacity of the called service, which many nodes share, need not be
/// known, and a node that runs less than one request of the route at a time
/// admits the same part of them as others.
///
/// Requests of starved accounts and more urgent ones are admitted first: the
/// probability of the least urgent rank is lowered before that of others.
///
/// Only requests that enter from outside are limited, never calls: services
/// that call each other would otherwise block each other.
///
/// Load pattern: a called service is offered 1.5 times its capacity, by
/// requests that did a second of work before they call it.
class DownstreamGate {
 public:
  explicit DownstreamGate(const DownstreamGateOptions& options = {});

  /// Decides whether a request may start. Returns the time after which it
  /// should ask again; empty when it may start now.
  std::optional<Duration> TimeToStart(const EntryRequest& request,
                                      TimePoint now);

  /// A request was admitted.
  void OnStart(const EntryRequest& request, TimePoint now);

  /// A request of `route` made a call to `service` that has ended.
  void OnCall(std::string_view route,
              ServiceId service,
              const CallSample& sample,
              TimePoint now);

  /// Forgets all limits and what was learned.
  void Reset();

  /// Part of the offers of `route` that is admitted; empty when it is not
  /// limited.
  std::optional<double> Probability(std::string_view route) const;

  /// Probability for the rank of `request`; 1 when its route is not limited.
  double RankProbability(const EntryRequest& request) const;

  /// Calls per request of `route` to `service`; 0 when it is not known.
  double CallsPerRequest(std::string_view route, ServiceId service) const;

  std::vector<LimitedRoute> LimitedRoutes() const;
  size_t RouteCount() const { return m_routes.size(); }

 private:
  // Starved accounts, then urgencies; less urgent ones share the last rank.
  static constexpr size_t kRanks = 9;

  struct Callee {
    // Exponentially decayed counts.
    double m_calls = 0;
    double m_refused = 0;
    TimePoint m_updated_at;
    // Calls since the last change.
    double m_wait_parts = 0;
    uint32_t m_samples = 0;
    TimePoint m_changed_at;
    // Of the last change.
    double m_wait_part = 0;
    // Moving average.
    Duration m_mean_wait{};
    double m_probability = 1;
  };

  struct Route {
    TimePoint m_used_at;
    // Exponentially decayed counts.
    double m_started = 0;
    std::array<double, kRanks> m_offers{};
    TimePoint m_counted_at;
    std::unordered_map<ServiceId, Callee> m_callees;
  };

  double DecayFactor(TimePoint since, TimePoint now) const;
  void DecayCounts(Route& route, TimePoint now) const;
  Route* FindOrAdd(std::string_view name, TimePoint now);
  Callee* FindOrAddCallee(Route& route, ServiceId service, TimePoint now);
  // The callee with the lowest probability; null when none limits the route.
  static const Callee* Shortest(const Route& route);
  double CallsPerRequest(const Route& route, const Callee& callee) const;
  size_t RankOf(const EntryRequest& request) const;
  double RankProbability(const Route& route,
                         double probability,
                         size_t rank) const;
  void Change(const Route& route, Callee& callee, TimePoint now) const;
  // Raises the probabilities of callees without recent calls.
  void RaiseIdle(Route& route, TimePoint now) const;

  DownstreamGateOptions m_options;
  StarvationGuard m_starvation;
  std::minstd_rand m_random;
  std::map<std::string, Route, std::less<>> m_routes;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_LIMITS_DOWNSTREAM_GATE_H_
