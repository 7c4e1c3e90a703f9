#ifndef SEQUOIASTAGE_CONFIG_EJECTIONS_H_
#define SEQUOIASTAGE_CONFIG_EJECTIONS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/config/log_record.h"

/// Which instances of a service are ejected, decided by log records alone, so
/// that every node decides alike.
///
/// A grant names the instances that remain. It holds when they are at least
/// the floor, none of them is ejected, and nothing about the service's
/// ejections changed since the version it was made from. So right after any
/// grant that holds, at least the floor of named instances is in service.
/// Readmissions and new incarnations only add to them; a floor that is raised
/// above the number named last undoes the ejections (see EnforceFloor()).
///
/// Nodes replay the log at different times, and the node beside an instance
/// is the one that takes it out of service. Two rules keep the floor while
/// some of them lag:
/// - A grant names an instance as remaining only when the node beside it has
///   replayed the version that the grant was made from (ProposeEjection()
///   sees to that). Until the grant holds or is void nothing can change, so
///   that node will not take the instance out on the way.
/// - A node that starts enforces no ejection before it has read the log to its
///   end once; an older state might have its instances ejected still.
namespace sequoiastage {

struct Ejection {
  /// This run of the instance and earlier ones are ejected.
  Incarnation m_incarnation;
  /// Offset of the grant.
  LogOffset m_grant;

  friend bool operator==(const Ejection&, const Ejection&) = default;
};

/// The ejections of one service at an offset of the log.
struct ServiceEjections {
  std::string m_service;
  /// Offset of the record that changed them last.
  std::optional<LogOffset> m_version;
  std::map<InstanceId, Ejection> m_ejected;
  /// Remaining instances of the grant that held last.
  std::vector<InstanceRun> m_remaining;

  bool IsEjected(const InstanceRun& run) const;

  friend bool operator==(const ServiceEjections&,
                         const ServiceEjections&) = default;
};

/// What the author of a grant knows of one instance.
struct InstanceStatus {
  InstanceRun m_run;
  /// LogReplay::NextOffset() that the node beside the instance reported.
  LogOffset m_replayed;
  /// It did real work well just now.
  bool m_is_working = false;
};

/// Grant to eject `target` of `service`, with every instance that may be named
/// as remaining. Empty when they are below `floor`, or when the target is
/// ejected already; `reason` tells which. `ejections` and `floor` come from
/// the author's replay.
std::optional<EjectionGrant> ProposeEjection(
    RecordHeader header,
    const std::string& service,
    const InstanceRun& target,
    const std::vector<InstanceStatus>& instances,
    uint32_t floor,
    const ServiceEjections& ejections,
    std::string* reason);

/// Applies `grant` at `offset` when it holds. Otherwise changes nothing and
/// returns why it is void. `floor` is the one in force at that offset.
std::optional<std::string> ApplyGrant(const EjectionGrant& grant,
                                      LogOffset offset,
                                      uint32_t floor,
                                      ServiceEjections& ejections);

/// Applies `readmission` at `offset` when it names an ejection that stands.
/// Otherwise returns why not.
std::optional<std::string> ApplyReadmission(const Readmission& readmission,
                                            LogOffset offset,
                                            ServiceEjections& ejections);

/// Undoes all ejections when the instances named last are fewer than `floor`,
/// which came in force at `offset`. Returns whether it did.
bool EnforceFloor(uint32_t floor,
                  LogOffset offset,
                  ServiceEjections& ejections);

/// The runs among `live` that get no work at a node. When those left would be
/// fewer than `floor`, because instances failed since the last grant, no
/// ejection is heeded. `live` is the node's own view, which may differ from
/// that of others; it can only bring instances back.
std::vector<InstanceRun> HeededEjections(const ServiceEjections& ejections,
                                         const std::vector<InstanceRun>& live,
                                         uint32_t floor);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_CONFIG_EJECTIONS_H_
