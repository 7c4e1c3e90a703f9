#ifndef SEQUOIASTAGE_ROUTING_SUBSET_H_
#define SEQUOIASTAGE_ROUTING_SUBSET_H_

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "sequoiastage/base/ids.h"

namespace sequoiastage {

/// An instance considered for a subset.
struct SubsetCandidate {
  InstanceId m_instance{};
  std::string_view m_region{};
};

struct SubsetOptions {
  /// Maximum number of instances in the ingress's own region.
  uint32_t m_own_region = 12;
  /// Maximum number of instances in each other region.
  uint32_t m_other_region = 3;
};

/// Selects the instances of `service` that `ingress` keeps connections to.
/// Returns indexes into `candidates` in ascending order. Uses rendezvous
/// hashing (Thaler, Ravishankar 1998) in each region: ingresses spread evenly
/// over the instances, and an added or removed instance changes at most one
/// member of a subset.
std::vector<uint32_t> ChooseSubset(std::span<const SubsetCandidate> candidates,
                                   NodeId ingress,
                                   ServiceId service,
                                   std::string_view own_region,
                                   const SubsetOptions& options = {});

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_ROUTING_SUBSET_H_
