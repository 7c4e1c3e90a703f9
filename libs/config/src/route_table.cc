#include "sequoiastage/config/route_table.h"

#include <utility>

#include "sequoiastage/base/http_message.h"

namespace sequoiastage {

namespace {

// Returns `path` without trailing slashes; the root becomes empty.
std::string_view TrimSlashes(std::string_view path) {
  while (!path.empty() && path.back() == '/') {
    path.remove_suffix(1);
  }
  return path;
}

}  // namespace

RouteTable::RouteTable(const std::vector<Route>& routes)
    : RouteTable(SharedList<Route>(routes)) {}

RouteTable::RouteTable(SharedList<Route> routes) : m_routes(std::move(routes)) {
  for (const Route& route : m_routes) {
    m_hosts[route.m_host][std::string(TrimSlashes(route.m_path))] = &route;
  }
}

const Route* RouteTable::Find(std::string_view host,
                              std::string_view target) const {
  const std::string_view path = target.substr(0, target.find_first_of("?#"));
  if (path.empty() || path.front() != '/') {
    return nullptr;
  }
  const Route* route = FindPath(ExtractHostName(host), path);
  return route != nullptr ? route : FindPath("*", path);
}

const Route* RouteTable::FindPath(std::string_view host,
                                  std::string_view path) const {
  const auto index = m_hosts.find(host);
  if (index == m_hosts.end()) {
    return nullptr;
  }
  std::string_view prefix = TrimSlashes(path);
  while (true) {
    const auto found = index->second.find(prefix);
    if (found != index->second.end()) {
      return found->second;
    }
    if (prefix.empty()) {
      return nullptr;
    }
    prefix = prefix.substr(0, prefix.rfind('/'));
  }
}

}  // namespace sequoiastage
