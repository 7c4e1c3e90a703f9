#ifndef SEQUOIASTAGE_LIMITS_DOWNSTREAM_GATE_H_
#define SEQUOIASTAGE_LIMITS_DOWNSTREAM_GATE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/time.h"

namespace sequoiastage {

/// How the call of a running request ended, as far as it tells the capacity of
/// the called service.
enum class CallResult : uint8_t {
  kServed,
  /// Served after it waited for capacity for long.
  kDelayed,
  /// Not run for lack of capacity.
  kRefused,
};

struct DownstreamGateOptions {
  /// A route becomes limited when a call is refused and at least this part of
  /// its calls to the service were refused. A rare refusal may come from one
  /// instance.
  double m_min_refused_part = 0.03;
  /// A route also becomes limited when a call is delayed and at least this part
  /// of its calls were delayed or refused.
  double m_min_delayed_part = 0.3;
  /// Half-life of the counted calls and refusals.
  Duration m_half_life = std::chrono::seconds(5);
  /// Applied to the limit when a call is refused.
  double m_refused_factor = 0.7;
  /// Minimum time between two reductions: calls that were sent before the first
  /// one still end as refused.
  Duration m_min_reduction_gap = std::chrono::milliseconds(300);
  /// The limit is raised by m_step for each round of as many served calls as
  /// requests may run, and lowered by m_delayed_step for a round of delayed
  /// ones. The ratio decides which part of the calls is delayed while the
  /// called service is kept busy.
  double m_step = 0.2;
  double m_delayed_step = 0.3;
  /// The step grows by itself for each such time since the last shortage, up to
  /// m_max_step_factor: after an outage the limit is far below the capacity.
  /// Also the time after a reduction during which the limit is not raised.
  Duration m_recovery = std::chrono::seconds(1);
  double m_max_step_factor = 10;
  /// Lowest limit. Below 1, a pause after each request keeps the average.
  double m_min_limit = 0.05;
  /// The limit is lifted when for this long no call was refused or delayed and
  /// no request was rejected.
  Duration m_lift_after = std::chrono::seconds(20);
  /// Routes and services without calls are forgotten after this time.
  Duration m_retention = std::chrono::minutes(1);
  size_t m_max_routes = 256;
  size_t m_max_services_per_route = 16;
  /// Bounds of the stated wait.
  Duration m_min_wait = std::chrono::milliseconds(100);
  Duration m_max_wait = std::chrono::seconds(5);
};

/// A limited route, for metrics and logs.
struct LimitedRoute {
  std::string m_route;
  double m_limit = 0;
  uint32_t m_running = 0;
};

/// Limits the requests of a route that run at this node's instance while a
/// service that they call is short of capacity. A request that is refused
/// before it starts can be retried; one whose call is refused has cost its work
/// so far.
///
/// Learns from the calls of running requests which services a route calls, how
/// often, and which part of these calls is refused. Additive increase and
/// multiplicative decrease; the capacity of the called service, which many
/// nodes share, need not be known.
///
/// Only requests that enter from outside are limited, never calls: services
/// that call each other would otherwise block each other.
///
/// Load pattern: a called service is offered 1.5 times its capacity, by
/// requests that did a second of work before they call it.
class DownstreamGate {
 public:
  explicit DownstreamGate(const DownstreamGateOptions& options = {})
      : m_options(options) {}

  /// Time after which a request of `route` may start; empty when it may start
  /// now.
  std::optional<Duration> TimeToStart(std::string_view route, TimePoint now);

  /// A request of `route` was admitted. Returns whether it is counted; if so,
  /// OnEnd() must follow.
  bool OnStart(std::string_view route, TimePoint now);
  /// `took`: time that the request ran; empty when it did not run.
  void OnEnd(std::string_view route,
             std::optional<Duration> took,
             TimePoint now);

  /// A request of `route` made a call to `service` that has ended.
  void OnCall(std::string_view route,
              ServiceId service,
              CallResult result,
              TimePoint now);

  /// Forgets all limits and what was learned; running requests stay counted.
  void Reset();

  /// Running requests that the route may have; empty when it is not limited.
  std::optional<double> Limit(std::string_view route) const;

  /// Calls per request of `route` to `service`; 0 when it is not known.
  double CallsPerRequest(std::string_view route, ServiceId service) const;

  std::vector<LimitedRoute> LimitedRoutes() const;
  size_t RouteCount() const { return m_routes.size(); }

 private:
  struct Callee {
    // Exponentially decayed counts.
    double m_calls = 0;
    double m_refused = 0;
    // Refused or delayed.
    double m_short = 0;
    TimePoint m_updated_at;
  };

  struct Route {
    uint32_t m_running = 0;
    // Empty: not limited.
    std::optional<double> m_limit;
    TimePoint m_reduced_at;
    TimePoint m_short_at;
    TimePoint m_rejected_at;
    TimePoint m_used_at;
    // While the limit is below 1.
    TimePoint m_paused_until;
    // Moving average of the time that a request runs.
    Duration m_run_time = std::chrono::milliseconds(100);
    // Exponentially decayed counts of admitted and rejected requests.
    double m_started = 0;
    double m_rejected = 0;
    TimePoint m_counted_at;
    std::unordered_map<ServiceId, Callee> m_callees;
  };

  double DecayFactor(TimePoint since, TimePoint now) const;
  void DecayCounts(Route& route, TimePoint now) const;
  Route* FindOrAdd(std::string_view name, TimePoint now);
  Callee* FindOrAddCallee(Route& route, ServiceId service, TimePoint now);
  void Reduce(Route& route, TimePoint now);
  void Lower(Route& route, TimePoint now);
  void Raise(Route& route, TimePoint now);
  bool LiftIfUnused(Route& route, TimePoint now) const;

  DownstreamGateOptions m_options;
  std::map<std::string, Route, std::less<>> m_routes;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_LIMITS_DOWNSTREAM_GATE_H_
