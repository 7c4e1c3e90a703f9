#ifndef SEQUOIASTAGE_MEMBERSHIP_PEER_PICKER_P_H_
#define SEQUOIASTAGE_MEMBERSHIP_PEER_PICKER_P_H_

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "member_table_p.h"

namespace sequoiastage {

/// Random selection of members. In large fleets most choices stay in the local
/// region, because links between regions are slow and billed.
class PeerPicker {
 public:
  PeerPicker(const MemberTable& table,
             NodeId self,
             std::string region,
             uint64_t seed);

  /// Up to `count` distinct members other than this node, preferably live ones.
  std::vector<NodeId> Pick(uint32_t count);

  /// Up to `count` members to probe `target` on behalf of this node, from as
  /// many regions as possible, so that a path remains if the link between two
  /// regions is cut.
  std::vector<NodeId> PickHelpers(NodeId target, uint32_t count);

  /// Uniform integer in [0, bound). `bound` must be greater than 0.
  uint32_t RandomBelow(uint32_t bound);

  template <class Items>
  void Shuffle(Items& items) {
    std::shuffle(items.begin(), items.end(), m_random);
  }

 private:
  const MemberRecord* PickOne();
  void CountRegionMembers();

  const MemberTable& m_table;
  NodeId m_self;
  std::string m_region;
  std::mt19937_64 m_random;
  std::size_t m_counted_size = 0;
  uint32_t m_region_members = 0;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MEMBERSHIP_PEER_PICKER_P_H_
