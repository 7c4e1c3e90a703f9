#ifndef SEQUOIASTAGE_ROUTING_SUBSET_H_
#define SEQUOIASTAGE_ROUTING_SUBSET_H_

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "sequoiastage/base/ids.h"

namespace sequoiastage {

/// An instance that a subset may hold.
struct SubsetCandidate {
  InstanceId m_instance{};
  std::string_view m_region{};
};

struct SubsetOptions {
  /// Instances held in the own region.
  uint32_t m_own_region = 12;
  /// Instances held in each other region.
  uint32_t m_other_region = 3;
};

/// The instances of `service` that `ingress` keeps connections to, as indexes
/// into `candidates` in ascending order. Rendezvous hash (Thaler, Ravishankar
/// 1998) in each region: all ingresses together spread evenly over the
/// instances, and one that comes or goes changes one place of a subset at most.
std::vector<uint32_t> ChooseSubset(std::span<const SubsetCandidate> candidates,
                                   NodeId ingress,
                                   ServiceId service,
                                   std::string_view own_region,
                                   const SubsetOptions& options = {});

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_ROUTING_SUBSET_H_
