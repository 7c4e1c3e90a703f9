#include "sequoiastage/routing/placement_traffic.h"

#include <algorithm>
#include <chrono>

namespace sequoiastage {

namespace {

// Part of the latency objective that a heavy request waits in its region.
constexpr int kHeavyWaitDivisor = 4;
// Part of the latency objective that a light request may lose by offers to
// another region.
constexpr int kMoveDivisor = 8;
// Time without heavy requests after which a service that is not declared as
// heavy counts as light again.
constexpr Duration kMemory = std::chrono::seconds(60);

}  // namespace

void ApplyTraffic(const ExpectedTraffic& traffic, PlacementOptions& options) {
  if (traffic.m_bytes >= kHeavyBytes) {
    options.m_is_heavy = true;
    options.m_max_local_wait =
        std::max(options.m_max_local_wait,
                 traffic.m_latency_objective / kHeavyWaitDivisor);
  } else if (traffic.m_shares_service_with_heavy) {
    options.m_max_moves = static_cast<uint32_t>(
        traffic.m_latency_objective / kMoveDivisor / options.m_round_trip);
  }
}

bool HeavyServices::Contains(ServiceId service, TimePoint now) const {
  if (m_declared.contains(service)) {
    return true;
  }
  const auto found = m_last_seen.find(service);
  return found != m_last_seen.end() && now - found->second < kMemory;
}

}  // namespace sequoiastage
