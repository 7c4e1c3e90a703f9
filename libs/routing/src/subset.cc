#include "sequoiastage/routing/subset.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <map>
#include <utility>

namespace sequoiastage {
namespace {

uint64_t PackEndpoint(const Endpoint& endpoint) {
  return (static_cast<uint64_t>(endpoint.m_ip) << 16) | endpoint.m_port;
}

uint64_t Score(NodeId ingress, ServiceId service, InstanceId instance) {
  const std::array<uint64_t, 3> key{PackEndpoint(ingress.Get()), service.Get(),
                                    PackEndpoint(instance.Get())};
  return XXH3_64bits(key.data(), sizeof(key));
}

}  // namespace

std::vector<uint32_t> ChooseSubset(std::span<const SubsetCandidate> candidates,
                                   NodeId ingress,
                                   ServiceId service,
                                   std::string_view own_region,
                                   const SubsetOptions& options) {
  std::map<std::string_view, std::vector<std::pair<uint64_t, uint32_t>>>
      by_region;
  for (uint32_t i = 0; i < candidates.size(); ++i) {
    by_region[candidates[i].m_region].emplace_back(
        Score(ingress, service, candidates[i].m_instance), i);
  }
  std::vector<uint32_t> subset;
  for (auto& [region, scored] : by_region) {
    const std::size_t limit =
        region == own_region ? options.m_own_region : options.m_other_region;
    const std::size_t selected_count = std::min(limit, scored.size());
    std::partial_sort(
        scored.begin(),
        scored.begin() + static_cast<std::ptrdiff_t>(selected_count),
        scored.end(), std::greater<>());
    for (std::size_t i = 0; i < selected_count; ++i) {
      subset.push_back(scored[i].second);
    }
  }
  std::sort(subset.begin(), subset.end());
  return subset;
}

}  // namespace sequoiastage
