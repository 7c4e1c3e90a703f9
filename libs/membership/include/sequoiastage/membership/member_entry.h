#ifndef SEQUOIASTAGE_MEMBERSHIP_MEMBER_ENTRY_H_
#define SEQUOIASTAGE_MEMBERSHIP_MEMBER_ENTRY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "sequoiastage/base/ids.h"

namespace sequoiastage {

/// State of a host, as announced by its node.
enum class HostState : uint8_t {
  kLive = 0,
  /// Completes requests in flight and accepts no new ones.
  kDraining = 1,
  /// Was shut down in an orderly way.
  kLeft = 2,
};

/// State of an instance, as announced by the node of its host.
enum class InstanceState : uint8_t {
  kServing = 0,
  /// Completes requests in flight and accepts no new ones.
  kDraining = 1,
  kRemoved = 2,
};

/// One backend server instance, as announced by its node.
struct InstanceEntry {
  InstanceId m_id{};
  ServiceId m_service{};
  Incarnation m_incarnation{};
  /// Number of requests the instance processes concurrently.
  uint16_t m_slots = 0;
  InstanceState m_state = InstanceState::kServing;
  /// The node's evidence indicates a fault: the instance is ordered late, not
  /// excluded.
  bool m_suspect = false;
  /// The instance started recently; slow responses are expected.
  bool m_warm_up = false;

  friend bool operator==(const InstanceEntry&, const InstanceEntry&) = default;
};

/// Announced state of a node. Only the node itself writes it; a copy with a
/// greater (incarnation, version) replaces one with a smaller.
struct MemberEntry {
  NodeId m_node{};
  Incarnation m_incarnation{};
  /// Number of changes within the incarnation.
  uint32_t m_version = 0;
  std::string m_region{};
  std::string m_failure_domain{};
  std::string m_site{};
  HostState m_state = HostState::kLive;
  /// Configuration version in force. It changes on every node at about the same
  /// time, so only a version newer than all announced ones is announced
  /// immediately; the nodes that adopt it later announce it at an interval that
  /// grows with the fleet.
  LogOffset m_config_version{};
  std::vector<InstanceEntry> m_instances{};

  friend bool operator==(const MemberEntry&, const MemberEntry&) = default;
};

/// Maximum number of instances one node can announce: its entry has to fit in
/// one datagram.
inline constexpr std::size_t kMaxInstancesPerNode = 40;

/// Maximum length of a region, failure domain or site name, in bytes.
inline constexpr std::size_t kMaxLocationNameBytes = 63;

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MEMBERSHIP_MEMBER_ENTRY_H_
