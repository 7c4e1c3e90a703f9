#ifndef SEQUOIASTAGE_MESH_INGRESS_PLACEMENT_INL_H_
#define SEQUOIASTAGE_MESH_INGRESS_PLACEMENT_INL_H_

// What the ingress tells the placement of a request about its traffic.

#include "sequoiastage/mesh/ingress.h"
#include "sequoiastage/mesh/ingress_inl.h"

namespace sequoiastage {

template <PlatformCodec Codec>
size_t Ingress<Codec>::ExpectedBytes(const Call& call) const {
  const std::string& route = call.m_route->m_name;
  // Until its first response, a route counts as it is declared.
  const size_t response = m_response_sizes.Usual(route).value_or(
      call.m_route->m_has_large_bodies ? ResponseSizes::kInitialBytes : 0);
  return call.m_request.m_body.size() + response;
}

template <PlatformCodec Codec>
PlacementOptions Ingress<Codec>::PlacementFor(Call& call) {
  PlacementOptions options = m_options.m_placement;
  options.m_spreads_queues = call.m_manages_load;
  if (!call.m_manages_load) {
    return options;
  }
  const TimePoint now = BootNow();
  const ExpectedTraffic traffic{
      .m_bytes = ExpectedBytes(call),
      .m_latency_objective = call.m_route->m_target_latency,
      .m_shares_service_with_heavy =
          m_heavy_services.Contains(call.m_service, now)};
  ApplyTraffic(traffic, options);
  call.m_is_heavy = options.m_is_heavy;
  if (call.m_is_heavy) {
    m_heavy_services.Observe(call.m_service, now);
  }
  return options;
}

template <PlatformCodec Codec>
void Ingress<Codec>::CountCrossing(const Call& call, const Attempt& attempt) {
  if (!attempt.m_is_remote) {
    return;
  }
  m_stats.m_heavy_crossed += call.m_is_heavy ? 1 : 0;
  m_stats.m_light_moved += attempt.m_makes_room ? 1 : 0;
}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_INGRESS_PLACEMENT_INL_H_
