#ifndef SEQUOIASTAGE_MEMBERSHIP_PEER_PICKER_P_H_
#define SEQUOIASTAGE_MEMBERSHIP_PEER_PICKER_P_H_

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "member_table_p.h"

namespace sequoiastage {

/// Random choice of members. In large fleets most choices stay in the own
/// region, because links between regions are slow and paid.
class PeerPicker {
 public:
  PeerPicker(const MemberTable& table,
             NodeId own,
             std::string region,
             uint64_t seed);

  /// Up to `count` different members other than this node, live ones
  /// preferred.
  std::vector<NodeId> Pick(uint32_t count);

  /// Up to `count` members to probe `target` for this node: of as many regions
  /// as there are, so that a cut between two regions leaves a way.
  std::vector<NodeId> PickHelpers(NodeId target, uint32_t count);

  /// Uniform integer in [0, bound). `bound` is above 0.
  uint32_t Below(uint32_t bound);

  template <class Items>
  void Shuffle(Items& items) {
    std::shuffle(items.begin(), items.end(), m_random);
  }

 private:
  const MemberRecord* PickOne();
  void CountRegion();

  const MemberTable& m_table;
  NodeId m_own;
  std::string m_region;
  std::mt19937_64 m_random;
  std::size_t m_counted_size = 0;
  uint32_t m_region_members = 0;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MEMBERSHIP_PEER_PICKER_P_H_
