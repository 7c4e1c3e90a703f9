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
/// lookup for each path segment. Immutable, so that threads may share it.
class RouteTable {
 public:
  RouteTable() = default;
  explicit RouteTable(const std::vector<Route>& routes);
  explicit RouteTable(SharedList<Route> routes);

  // The index points into the routes.
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;
  RouteTable(RouteTable&&) = default;
  RouteTable& operator=(RouteTable&&) = default;
  ~RouteTable() = default;

  /// Route for a request with Host header `host` (its port and case are
  /// ignored) and request target `target` (a query is ignored). Routes of the
  /// host itself go before those of "*". Null when none matches.
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
  // By host, then by path without a slash at its end.
  TextMap<PathIndex> m_hosts;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_CONFIG_ROUTE_TABLE_H_
