#ifndef SEQUOIASTAGE_CONFIG_TRAFFIC_CONFIG_H_
#define SEQUOIASTAGE_CONFIG_TRAFFIC_CONFIG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "sequoiastage/base/findings.h"
#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/request_rate.h"
#include "sequoiastage/base/time.h"

/// Routes of a deployment where the node on every host serves the callers of
/// that host. One document holds the full configuration and replaces the
/// previous one.
namespace sequoiastage {

using ConfigVersion = Strong<struct ConfigVersionTag, uint64_t>;

/// A service that receives a share of a route's requests.
struct RouteShare {
  ServiceId m_service;
  /// Relative to the weights of the route's other shares; not negative.
  double m_weight = 1;

  friend bool operator==(const RouteShare&, const RouteShare&) = default;
};

struct TrafficRoute {
  std::string m_name{};
  /// Lower case, without port.
  std::string m_host{};
  /// Begins and ends with a slash.
  std::string m_path_prefix{};
  /// Whether requests are idempotent and can be retried after an execution.
  bool m_is_idempotent = false;
  /// Maximum number of instances that one request is sent to; at least 1.
  uint32_t m_max_attempts = 1;
  /// Maximum time until the caller receives a response; above 0.
  Duration m_timeout = std::chrono::seconds(1);
  /// Latency objective, above 0; has no effect above m_timeout.
  Duration m_target_latency = std::chrono::seconds(1);
  /// Priority class; 0 is the most urgent.
  uint8_t m_urgency = 0;
  /// Requests need no key of a client account.
  bool m_is_public = false;
  /// Requests or responses have large bodies.
  bool m_has_large_bodies = false;
  /// The route can't be used; only its name, host and path prefix are set. Its
  /// requests must not run, not even by a route with a shorter prefix.
  bool m_is_omitted = false;
  /// One per service; at least one, with a positive sum of weights.
  std::vector<RouteShare> m_shares{};

  friend bool operator==(const TrafficRoute&, const TrafficRoute&) = default;
};

/// Rate limit of a client account, over all nodes together.
struct AccountLimit {
  /// Above 0.
  RequestRate m_rate{};
  /// Requests above the rate that may arrive together; not negative.
  double m_burst = 0;

  friend bool operator==(const AccountLimit&, const AccountLimit&) = default;
};

struct ClientAccount {
  std::string m_name{};
  /// Secrets; a request that carries one of them belongs to the account.
  std::vector<std::string> m_keys{};
  /// Takes precedence over TrafficRoute::m_urgency; empty: the route decides.
  std::optional<uint8_t> m_urgency{};
  /// Empty: not limited.
  std::optional<AccountLimit> m_limit{};

  friend bool operator==(const ClientAccount&, const ClientAccount&) = default;
};

/// Limits on requests and connections of callers.
struct CallerLimits {
  size_t m_max_header_bytes = size_t{16} << 10;
  size_t m_max_body_bytes = size_t{64} << 20;
  /// From the first byte of a request to the end of its header.
  Duration m_header_timeout = std::chrono::seconds(3);
  /// Time after which a connection without requests is closed.
  Duration m_idle_timeout = std::chrono::seconds(15);

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

/// What a configuration document has, but a node can't use. Requests that need
/// it are rejected as not run, since the next version may bring it back.
struct OmittedElements {
  /// Routes whose host and path prefix are known; see
  /// TrafficRoute::m_is_omitted.
  std::vector<TrafficRoute> m_routes{};
  /// Keys of client accounts that can't be used.
  std::vector<std::string> m_keys{};
  /// There are accounts that can't be used; keys are still needed.
  bool m_has_accounts = false;
  /// The list of routes as a whole can't be read.
  bool m_has_all_routes = false;
  /// The list of accounts as a whole can't be read.
  bool m_has_all_accounts = false;
  /// Number of elements that can't be used as they are written, and the first
  /// of them with the reasons, which quote no key.
  size_t m_finding_count = 0;
  std::vector<Finding> m_findings{};

  friend bool operator==(const OmittedElements&,
                         const OmittedElements&) = default;
};

struct TrafficConfig {
  ConfigVersion m_version{};
  std::vector<TrafficRoute> m_routes{};
  std::vector<std::string> m_services{};
  std::vector<ClientAccount> m_accounts{};
  CallerLimits m_limits{};
  OmittedElements m_omitted{};

  /// Whether requests need the key of an account on routes that are not public.
  /// An account that can't be used must not open the routes to everybody.
  bool RequiresKeys() const {
    return !m_accounts.empty() || m_omitted.m_has_accounts ||
           m_omitted.m_has_all_accounts;
  }

  /// Whether requests are ranked and bounded by account, origin and size: the
  /// configuration has client accounts or routes with large bodies. Other
  /// deployments keep the plain order by route.
  bool ManagesLoad() const;

  friend bool operator==(const TrafficConfig&, const TrafficConfig&) = default;
};

/// Describes the fault of a route that can't be used; empty when it can: no
/// host, a path prefix that does not begin and end with a slash, a timeout or
/// latency objective that is not above 0, no attempts, an unknown service, a
/// negative weight, or a sum of weights that is not positive.
std::string FindRouteFault(const TrafficRoute& route,
                           const std::set<ServiceId>& services);

/// Finds routes by host and longest matching path prefix. Immutable. The first
/// of several routes with the same host and prefix takes precedence; `omitted`
/// has none that a route before it in the document shadows.
class PrefixRoutes {
 public:
  PrefixRoutes() = default;
  explicit PrefixRoutes(const std::vector<TrafficRoute>& routes,
                        const std::vector<TrafficRoute>& omitted = {});

  /// Route of `host` with the longest prefix that matches the path of `target`;
  /// the query is ignored. Null when none matches. Points into the lists passed
  /// to the constructor.
  const TrafficRoute* Find(std::string_view host,
                           std::string_view target) const;

 private:
  using ByPrefix = std::map<std::string, const TrafficRoute*, std::less<>>;

  std::unordered_map<std::string, ByPrefix> m_hosts;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_CONFIG_TRAFFIC_CONFIG_H_
