#ifndef SEQUOIASTAGE_CONFIG_EJECTIONS_H_
#define SEQUOIASTAGE_CONFIG_EJECTIONS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/config/log_record.h"

/// Ejections of the instances of a service. They depend on log records alone,
/// so that every node computes the same set.
///
/// A grant lists the remaining instances. It is accepted when their number is
/// at least the floor, none of them is ejected, and the service's ejections
/// have not changed since the version the grant is based on. Right after an
/// accepted grant, at least the floor of listed instances is in service.
/// Readmissions and new incarnations only add instances; a floor raised above
/// the number of instances listed last undoes the ejections (see
/// EnforceFloor()).
///
/// Nodes replay the log at different times, and an instance is taken out of
/// service by the node on its own host. Two rules keep the floor while some
/// nodes lag:
/// - A grant lists an instance as remaining only when the node on its host has
///   replayed the version that the grant is based on (ProposeEjection() checks
///   this). The ejections cannot change before the grant is accepted or void,
///   so that node does not take the instance out of service meanwhile.
/// - A node that starts enforces no ejection until it has read the log to its
///   end once, because its instances may still be ejected in an older state.
namespace sequoiastage {

struct Ejection {
  /// This incarnation of the instance and all earlier ones are ejected.
  Incarnation m_incarnation;
  /// Offset of the grant.
  LogOffset m_grant;

  friend bool operator==(const Ejection&, const Ejection&) = default;
};

/// The ejections of one service at an offset of the log.
struct ServiceEjections {
  std::string m_service;
  /// Offset of the last record that changed the ejections; empty when there
  /// was none.
  std::optional<LogOffset> m_version;
  std::map<InstanceId, Ejection> m_ejected;
  /// Remaining instances of the last accepted grant.
  std::vector<InstanceRun> m_remaining;

  bool IsEjected(const InstanceRun& run) const;

  friend bool operator==(const ServiceEjections&,
                         const ServiceEjections&) = default;
};

/// Status of one instance as seen by the author of a grant.
struct InstanceStatus {
  InstanceRun m_run;
  /// LogReplay::NextOffset() reported by the node on the instance's host.
  LogOffset m_next_offset;
  /// Whether the instance recently served real requests successfully.
  bool m_is_working = false;
};

/// Builds a grant to eject `target` of `service` that lists every eligible
/// instance as remaining. Empty, with `*reason` set, when they are fewer than
/// `floor` or the target is already ejected. `ejections` and `floor` come from
/// the author's replay.
std::optional<EjectionGrant> ProposeEjection(
    RecordHeader header,
    const std::string& service,
    const InstanceRun& target,
    const std::vector<InstanceStatus>& instances,
    uint32_t floor,
    const ServiceEjections& ejections,
    std::string* reason);

/// Applies `grant` at `offset` when it is valid. Otherwise changes nothing and
/// returns the reason why it is void. `floor` is the one in force at that
/// offset.
std::optional<std::string> ApplyGrant(const EjectionGrant& grant,
                                      LogOffset offset,
                                      uint32_t floor,
                                      ServiceEjections& ejections);

/// Applies `readmission` at `offset` when the ejection it refers to is still in
/// force. Otherwise changes nothing and returns the reason.
std::optional<std::string> ApplyReadmission(const Readmission& readmission,
                                            LogOffset offset,
                                            ServiceEjections& ejections);

/// Undoes all ejections when the last accepted grant lists fewer remaining
/// instances than `floor`, which came into force at `offset`. Returns whether
/// it did.
bool EnforceFloor(uint32_t floor,
                  LogOffset offset,
                  ServiceEjections& ejections);

/// Returns the runs among `live` to which a node sends no requests. Empty when
/// fewer than `floor` would be left because instances failed since the last
/// grant. `live` is the node's own view, which may differ from that of other
/// nodes; it can only return instances to service.
std::vector<InstanceRun> SelectEnforcedEjections(
    const ServiceEjections& ejections,
    const std::vector<InstanceRun>& live,
    uint32_t floor);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_CONFIG_EJECTIONS_H_
