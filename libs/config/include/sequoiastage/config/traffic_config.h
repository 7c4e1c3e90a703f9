#ifndef SEQUOIASTAGE_CONFIG_TRAFFIC_CONFIG_H_
#define SEQUOIASTAGE_CONFIG_TRAFFIC_CONFIG_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "sequoiastage/base/findings.h"
#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/time.h"

/// Routes of a deployment where every host has a node that serves its own
/// callers. One document holds all of it and replaces the one before.
namespace sequoiastage {

using ConfigVersion = Strong<struct ConfigVersionTag, uint64_t>;

/// A service that takes part of a route's requests.
struct RouteShare {
  ServiceId m_service;
  /// In proportion to the weights of the route's other shares.
  double m_weight = 1;

  friend bool operator==(const RouteShare&, const RouteShare&) = default;
};

struct TrafficRoute {
  std::string m_name{};
  /// Lower case, without port.
  std::string m_host{};
  /// Begins and ends with a slash.
  std::string m_path_prefix{};
  /// May be run more than once.
  bool m_is_repeatable = false;
  /// Instances to which one request may be sent.
  uint32_t m_max_attempts = 1;
  /// The caller has its answer after this time at the latest.
  Duration m_timeout = std::chrono::seconds(1);
  /// Latency objective; without effect where it is above m_timeout.
  Duration m_target_latency = std::chrono::seconds(1);
  /// 0 is the most urgent.
  uint8_t m_urgency = 0;
  /// One for each service; at least one, with a positive sum of weights.
  std::vector<RouteShare> m_shares{};

  friend bool operator==(const TrafficRoute&, const TrafficRoute&) = default;
};

/// What callers may send.
struct CallerLimits {
  size_t m_max_header_bytes = size_t{16} << 10;
  size_t m_max_body_bytes = size_t{64} << 20;
  /// From the first byte of a request to the end of its header.
  Duration m_header_timeout = std::chrono::seconds(3);
  /// A connection without requests is kept open for so long.
  Duration m_idle_timeout = std::chrono::seconds(15);

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

struct TrafficConfig {
  ConfigVersion m_version{};
  std::vector<TrafficRoute> m_routes{};
  std::vector<std::string> m_services{};
  CallerLimits m_limits{};

  friend bool operator==(const TrafficConfig&, const TrafficConfig&) = default;
};

/// Adds each fault of `config` to `findings`: routes without host, prefixes
/// that don't begin and end with a slash, unknown services, weights without a
/// sum.
void CheckTrafficConfig(const TrafficConfig& config,
                        const std::string& source,
                        Findings& findings);

/// Routes by host and longest matching prefix. Immutable. Of two routes with
/// one host and prefix the first holds.
class PrefixRoutes {
 public:
  PrefixRoutes() = default;
  explicit PrefixRoutes(const std::vector<TrafficRoute>& routes);

  /// Route whose prefix is the longest that begins the path of `target`;
  /// a query is ignored. Null when none does. Points into the list given to
  /// the constructor.
  const TrafficRoute* Find(std::string_view host,
                           std::string_view target) const;

 private:
  using ByPrefix = std::map<std::string, const TrafficRoute*, std::less<>>;

  std::unordered_map<std::string, ByPrefix> m_hosts;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_CONFIG_TRAFFIC_CONFIG_H_
