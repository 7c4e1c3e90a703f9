#ifndef SEQUOIASTAGE_MESH_MEMBER_RECORD_H_
#define SEQUOIASTAGE_MESH_MEMBER_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/store_position.h"
#include "sequoiastage/health/request_quarantine.h"
#include "sequoiastage/mesh/platform.h"
#include "sequoiastage/routing/placement.h"

namespace sequoiastage {

/// Record that a node publishes about itself through the platform's store.
struct MemberRecord {
  NodeId m_node;
  /// Process that wrote the record; 0 in records of older builds.
  Incarnation m_incarnation;
  std::string m_domain;
  std::string m_region;
  /// The node is shutting down and accepts no new offers.
  bool m_is_leaving = false;
  /// Name of the active instance on this host; empty when there is none.
  std::string m_instance;
  /// Start time of the active instance, which tells incarnations with the same
  /// name apart; 0 in records of older builds.
  uint64_t m_instance_start_ms = 0;
  ServiceId m_service;
  uint32_t m_slots = 0;
  /// Name and start time of the last instance of this host that has left; for
  /// the next process of the node. Empty when none has.
  std::string m_departed;
  uint64_t m_departed_start_ms = 0;
  /// The process reads relayed records that are packed against the
  /// configuration that it has, and confirms what it receives; false in records
  /// of older builds.
  bool m_reads_deltas = false;
  /// Recent crashes of this host's instances, or of others whose nodes did not
  /// report them; see SharedQuarantine.
  std::vector<CrashReport> m_crashes;
  /// Requests of crash reports that were executed later.
  std::vector<ExecutionReport> m_executions;
  /// Era of the store that the node knew when it wrote the record.
  StoreEra m_era;

  /// The active instance; its name is empty when there is none.
  InstanceIncarnation Instance() const {
    return {.m_name = m_instance, .m_start_time_ms = m_instance_start_ms};
  }
  InstanceIncarnation Departure() const {
    return {.m_name = m_departed, .m_start_time_ms = m_departed_start_ms};
  }

  friend bool operator==(const MemberRecord&, const MemberRecord&) = default;
};

/// Encodes `record` as compact JSON.
std::string EncodeMember(const MemberRecord& record);

/// Decodes the output of EncodeMember(). Empty when `text` is malformed.
std::optional<MemberRecord> DecodeMember(std::string_view text);

/// Network distance between the hosts of two nodes.
Distance DistanceBetween(const MemberRecord& a, const MemberRecord& b);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_MEMBER_RECORD_H_
