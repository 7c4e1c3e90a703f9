#ifndef SEQUOIASTAGE_CONFIG_ROUTE_TABLE_H_
#define SEQUOIASTAGE_CONFIG_ROUTE_TABLE_H_

#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "sequoiastage/config/config.h"

namespace sequoiastage {

/// Finds the route of a request by host and longest path prefix, with one hash
/// lookup per path segment. Immutable and therefore safe to share between
/// threads.
class RouteTable {
 public:
  RouteTable() = default;
  explicit RouteTable(const std::vector<Route>& routes);
  explicit RouteTable(SharedList<Route> routes);

  // Not copyable: the index holds pointers into m_routes.
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;
  RouteTable(RouteTable&&) = default;
  RouteTable& operator=(RouteTable&&) = default;
  ~RouteTable() = default;

  /// Route for a request with Host header `host` (port and case are ignored)
  /// and request target `target` (the query is ignored). Routes of the host
  /// itself take precedence over those of "*". Null when none matches.
  const Route* Find(std::string_view host, std::string_view target) const;

 private:
  struct TextHash {
    using is_transparent = void;
    size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>()(text);
    }
  };
  template <class T>
  using TextMap = std::unordered_map<std::string, T, TextHash, std::equal_to<>>;
  using PathIndex = TextMap<const Route*>;

  const Route* FindPath(std::string_view host, std::string_view path) const;

  SharedList<Route> m_routes;
  // Keyed by host, then by path without trailing slash.
  TextMap<PathIndex> m_hosts;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_CONFIG_ROUTE_TABLE_H_
