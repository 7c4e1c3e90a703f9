#include "sequoiastage/config/traffic_config.h"

#include <algorithm>

#include "sequoiastage/base/http_message.h"

namespace sequoiastage {

namespace {

bool IsPrefix(std::string_view path) {
  return !path.empty() && path.front() == '/' && path.back() == '/';
}

}  // namespace

std::string FindRouteFault(const TrafficRoute& route,
                           const std::set<ServiceId>& services) {
  if (route.m_host.empty()) {
    return "no host";
  }
  if (!IsPrefix(route.m_path_prefix)) {
    return "path prefix does not begin and end with a slash";
  }
  if (route.m_timeout <= Duration{} || route.m_target_latency <= Duration{}) {
    return "timeout and latency objective must be above 0";
  }
  if (route.m_max_attempts == 0) {
    return "no attempts are allowed";
  }
  double sum = 0;
  for (const RouteShare& share : route.m_shares) {
    if (!services.contains(share.m_service)) {
      return "unknown service";
    }
    if (share.m_weight < 0) {
      return "negative weight";
    }
    sum += share.m_weight;
  }
  return sum > 0 ? "" : "no service with a positive weight";
}

bool TrafficConfig::ManagesLoad() const {
  return RequiresKeys() || std::any_of(m_routes.begin(), m_routes.end(),
                                       [](const TrafficRoute& route) {
                                         return route.m_has_large_bodies;
                                       });
}

PrefixRoutes::PrefixRoutes(const std::vector<TrafficRoute>& routes,
                           const std::vector<TrafficRoute>& omitted) {
  for (const auto* list : {&omitted, &routes}) {
    for (const TrafficRoute& route : *list) {
      m_hosts[route.m_host].emplace(route.m_path_prefix, &route);
    }
  }
}

const TrafficRoute* PrefixRoutes::Find(std::string_view host,
                                       std::string_view target) const {
  const auto by_prefix = m_hosts.find(std::string(host));
  if (by_prefix == m_hosts.end()) {
    return nullptr;
  }
  std::string_view prefix = ExtractPath(target);
  for (size_t slash = prefix.rfind('/'); slash != std::string_view::npos;
       slash = prefix.rfind('/')) {
    prefix = prefix.substr(0, slash + 1);
    const auto found = by_prefix->second.find(prefix);
    if (found != by_prefix->second.end()) {
      return found->second;
    }
    prefix.remove_suffix(1);
  }
  return nullptr;
}

}  // namespace sequoiastage
