#ifndef SEQUOIASTAGE_MEMBERSHIP_MEMBER_ENTRY_H_
#define SEQUOIASTAGE_MEMBERSHIP_MEMBER_ENTRY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "sequoiastage/base/ids.h"

namespace sequoiastage {

/// What a node says of its host.
enum class HostState : uint8_t {
  kLive = 0,
  /// Finishes what it has, takes no new work.
  kDraining = 1,
  /// Has shut down in order.
  kLeft = 2,
};

/// What a node says of an instance on its host.
enum class InstanceState : uint8_t {
  kServing = 0,
  /// Finishes what it has, takes no new work.
  kDraining = 1,
  kGone = 2,
};

/// One backend server instance as its node describes it.
struct InstanceEntry {
  InstanceId m_id{};
  ServiceId m_service{};
  Incarnation m_incarnation{};
  /// Requests the instance works on at once.
  uint16_t m_slots = 0;
  InstanceState m_state = InstanceState::kServing;
  /// Its node's evidence speaks against it: ordered late, not excluded.
  bool m_suspect = false;
  /// Started a short while ago; slow answers are expected.
  bool m_warm_up = false;

  friend bool operator==(const InstanceEntry&, const InstanceEntry&) = default;
};

/// Everything the fleet knows of a node. Only that node writes it; a copy with
/// a greater (incarnation, version) replaces one with a smaller.
struct MemberEntry {
  NodeId m_node{};
  Incarnation m_incarnation{};
  /// Counts the changes within one incarnation.
  uint32_t m_version = 0;
  std::string m_region{};
  std::string m_failure_domain{};
  std::string m_site{};
  HostState m_state = HostState::kLive;
  /// Configuration version in force. Changes at every node at once, so only a
  /// version newer than all announced spreads at once; the nodes that follow
  /// announce theirs at an interval that grows with the fleet.
  LogOffset m_config_version{};
  std::vector<InstanceEntry> m_instances{};

  friend bool operator==(const MemberEntry&, const MemberEntry&) = default;
};

/// Most instances one node may announce: its entry has to fit in a datagram.
inline constexpr std::size_t kMaxInstancesPerNode = 40;

/// Longest region, failure domain or site name, in bytes.
inline constexpr std::size_t kMaxLocationNameBytes = 63;

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MEMBERSHIP_MEMBER_ENTRY_H_
