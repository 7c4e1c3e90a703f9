#ifndef SEQUOIASTAGE_CONFIG_LOG_REPLAY_H_
#define SEQUOIASTAGE_CONFIG_LOG_REPLAY_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sequoiastage/base/findings.h"
#include "sequoiastage/base/ids.h"
#include "sequoiastage/config/config_parse.h"
#include "sequoiastage/config/log_record.h"
#include "sequoiastage/config/replay_state.h"

namespace sequoiastage {

enum class ApplyOutcome : uint8_t {
  /// Evaluated; the audit entry holds the verdict.
  kEvaluated,
  /// Not part of the state: a snapshot, or a record that precedes the snapshot
  /// that replay waits for.
  kSkipped,
  /// The state was restored from this snapshot; continue at NextOffset().
  kRestored,
  /// The offset is not NextOffset(); the record was ignored.
  kOutOfOrder,
};

/// Replays the log into the state in force. Does no I/O: the caller reads the
/// log and passes the records in. Example:
///
///   page = client.Read(replay.NextOffset(), max);
///   replay.SetFirstRetained(page.m_first_retained);
///   for (record : page.m_records) {
///     if (replay.Apply(record.m_offset, record.m_text) is kRestored or
///         kOutOfOrder) {
///       break;  // and read again
///     }
///   }
///
/// A change is accepted only when it is based on the version in force at its
/// offset, so that the first of several concurrent changes wins and a change
/// that was appended twice is applied once. A patch is therefore always merged
/// into the content it is based on and has the same result at every node.
///
/// When records expire from the log before they are read, replay keeps its
/// state and waits for a snapshot on the log whose subsequent records are all
/// retained. A state received from a peer (Merge()) serves as well. Neither
/// ever replaces a newer state.
class LogReplay {
 public:
  /// Offset to read next. Decreases when a snapshot is restored.
  LogOffset NextOffset() const { return m_read_next; }

  /// Sets the first offset that the log still retains.
  void SetFirstRetained(LogOffset first);

  ApplyOutcome Apply(LogOffset offset, std::string_view text);

  /// Replaces the state by that of a peer when the latter is newer and valid.
  /// Returns whether it did.
  bool Merge(const ReplayState& state);

  /// False while records are missing between State() and the log.
  bool IsComplete() const { return !m_needs_snapshot; }

  const ReplayState& State() const { return m_state; }

  /// ToShortestForm() of `change` against the content in force. The change
  /// keeps its form when it is based on another version.
  ConfigChange Shorten(ConfigChange change) const;

  /// Configurations in force; null before the first base.
  const std::shared_ptr<const FleetConfig>& InForce() const {
    return m_in_force;
  }

  /// Validates `change` as if it were appended now; adds no findings when it
  /// would be accepted. The content of a patch that is based on another version
  /// is not validated.
  void CheckChange(const ConfigChange& change, Findings& findings) const;

  /// Newest audit entry with this change id that is not a duplicate, or null.
  const AuditEntry* FindChange(std::string_view change_id) const;

  /// Floor of `service` in force: the highest of all sites, 0 when unknown.
  uint32_t FindFloor(ServiceId service) const;

  /// Ejections of `service`; an empty object when there are none.
  const ServiceEjections& FindEjections(ServiceId service) const;

  /// First offset not covered by the newest snapshot that was read from the
  /// log, see SnapshotSchedule. Empty when none was read.
  std::optional<LogOffset> SnapshotEnd() const { return m_snapshot_end; }

  /// Text of a snapshot record of State().
  std::string MakeSnapshot(const RecordHeader& header) const;

 private:
  ApplyOutcome TryRestoreSnapshot(LogOffset offset,
                                  const SnapshotRecord* snapshot);
  void Evaluate(LogOffset offset, const ConfigChange& change);
  void Evaluate(LogOffset offset, const EjectionGrant& grant);
  void Evaluate(LogOffset offset, const Readmission& readmission);
  std::optional<std::string> FindConflict(const ConfigChange& change) const;
  // Result of a valid change, except for the new content.
  struct CheckedChange {
    FleetConfig m_fleet;
    std::vector<std::string> m_differences{};
  };

  std::optional<CheckedChange> CheckContent(const ConfigChange& change,
                                            Findings& findings) const;
  std::optional<CheckedChange> CheckAffectedEntries(
      const ConfigChange& change) const;
  std::optional<CheckedChange> CheckAllDocuments(const ConfigChange& change,
                                                 Findings& findings) const;
  const ScopeContent& FindContent(std::string_view scope) const;
  bool FitsInRecord(const ConfigChange& change) const;
  void SetInForce(FleetConfig fleet);
  void EnforceFloors(LogOffset offset, AuditEntry& entry);
  void AddAuditEntry(AuditEntry entry);
  bool Restore(ReplayState state);

  ReplayState m_state;
  LogOffset m_read_next;
  LogOffset m_first_retained;
  bool m_needs_snapshot = false;
  std::optional<LogOffset> m_snapshot_end;
  std::shared_ptr<const FleetConfig> m_in_force;
  std::map<ServiceId, uint32_t> m_floors;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_CONFIG_LOG_REPLAY_H_
