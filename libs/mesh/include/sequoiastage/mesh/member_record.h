#ifndef SEQUOIASTAGE_MESH_MEMBER_RECORD_H_
#define SEQUOIASTAGE_MESH_MEMBER_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/routing/placement.h"

namespace sequoiastage {

/// What a node tells all others about itself, through the platform's store.
struct MemberRecord {
  NodeId m_node;
  std::string m_domain;
  std::string m_region;
  /// The node takes no new work: it is shutting down.
  bool m_is_leaving = false;
  /// Name of the instance that takes work here; empty when there is none.
  std::string m_instance;
  ServiceId m_service;
  uint32_t m_slots = 0;

  friend bool operator==(const MemberRecord&, const MemberRecord&) = default;
};

/// Compact JSON text.
std::string EncodeMember(const MemberRecord& record);

/// Empty for text of another kind.
std::optional<MemberRecord> DecodeMember(std::string_view text);

/// Distance between the hosts of two nodes.
Distance DistanceOf(const MemberRecord& a, const MemberRecord& b);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_MEMBER_RECORD_H_
