#ifndef SEQUOIASTAGE_ROUTING_PLACEMENT_TRAFFIC_H_
#define SEQUOIASTAGE_ROUTING_PLACEMENT_TRAFFIC_H_

#include <cstddef>
#include <set>
#include <unordered_map>
#include <utility>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/time.h"
#include "sequoiastage/routing/placement.h"

namespace sequoiastage {

/// Requests with at least this many expected bytes in both directions are
/// heavy. It is the size of one piece of a large frame on a link; below it, a
/// message is sent between pieces.
inline constexpr size_t kHeavyBytes = size_t{16} << 10;

/// What the placement of a request takes into account while load is managed.
struct ExpectedTraffic {
  /// Own body plus the usual response of the route, in bytes.
  size_t m_bytes = 0;
  /// Latency objective of the route.
  Duration m_latency_objective{};
  /// The service has routes with heavy traffic.
  bool m_shares_service_with_heavy = false;
};

/// Adds the rules for `traffic` to `options`. Load pattern: links between
/// regions are narrow and paid by volume, and light requests fill the region's
/// slots so that heavy ones have to cross.
void ApplyTraffic(const ExpectedTraffic& traffic, PlacementOptions& options);

/// Services that have heavy requests. Those with routes that are declared as
/// such are known from the start, others once a heavy request is seen.
class HeavyServices {
 public:
  explicit HeavyServices(std::set<ServiceId> declared = {})
      : m_declared(std::move(declared)) {}

  /// A heavy request for `service` has arrived.
  void Observe(ServiceId service, TimePoint now) { m_last_seen[service] = now; }

  bool Contains(ServiceId service, TimePoint now) const;

 private:
  std::set<ServiceId> m_declared;
  // At most one entry per service of the configuration.
  std::unordered_map<ServiceId, TimePoint> m_last_seen;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_ROUTING_PLACEMENT_TRAFFIC_H_
