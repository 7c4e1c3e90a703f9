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
  /// Taken in; the audit says with which verdict.
  kJudged,
  /// No part of the state: a snapshot, or a record before a snapshot that
  /// replay waits for.
  kSkipped,
  /// Replay started over from this snapshot; read on at NextOffset().
  kRestored,
  /// Not at NextOffset(); nothing was done.
  kOutOfOrder,
};

/// Replays the log into the state in force. Pure: the caller reads the log and
/// hands the records over. The loop of a node:
///
///   page = client.Read(replay.NextOffset(), max);
///   replay.OnFirstRetained(page.m_first_retained);
///   for (record : page.m_records) {
///     if (replay.Apply(record.m_offset, record.m_text) is kRestored or
///         kOutOfOrder) {
///       break;  // and read again
///     }
///   }
///
/// A change holds only when it was made from the version that is in force at
/// its offset, so of racing changes the first one wins and a change that was
/// appended twice is applied once. A patch is merged into the content of the
/// version it was made from, which is then the one in force, so it means the
/// same everywhere.
///
/// Where records are gone before they were read, replay keeps what it has and
/// looks for a snapshot on the log whose records after it are all retained. A
/// state from a peer (Merge()) serves as well. Neither ever takes the place of
/// a newer state.
class LogReplay {
 public:
  /// Offset to read next. Goes back when a snapshot was restored.
  LogOffset NextOffset() const { return m_read_next; }

  /// Tells the first offset that the log still has.
  void OnFirstRetained(LogOffset first);

  ApplyOutcome Apply(LogOffset offset, std::string_view text);

  /// Takes the state of a peer when it is newer. Returns whether it did.
  bool Merge(const ReplayState& state);

  /// False while records are missing between State() and the log.
  bool IsComplete() const { return !m_needs_snapshot; }

  const ReplayState& State() const { return m_state; }

  /// ShortestForm() of `change` against the content in force. The change keeps
  /// its form when it was made from another version.
  ConfigChange Shorten(ConfigChange change) const;

  /// Configurations in force; null before the first base.
  const std::shared_ptr<const FleetConfig>& InForce() const {
    return m_in_force;
  }

  /// Checks `change` as if it were appended now; empty findings when it would
  /// be accepted. A patch from another version is not checked any further.
  void CheckChange(const ConfigChange& change, Findings& findings) const;

  /// Newest audit entry with this change id that is no duplicate, or null.
  const AuditEntry* FindChange(std::string_view change_id) const;

  /// Floor of `service` in force: the highest of all sites, 0 when unknown.
  uint32_t FloorOf(ServiceId service) const;

  /// Ejections of `service`; empty ones when there are none.
  const ServiceEjections& EjectionsOf(ServiceId service) const;

  /// Offset up to which the newest snapshot read from the log reaches, see
  /// SnapshotSchedule. Empty when none was read.
  std::optional<LogOffset> SnapshotReach() const { return m_snapshot_reach; }

  /// Text of a snapshot record of State().
  std::string MakeSnapshot(const RecordHeader& header) const;

 private:
  ApplyOutcome LookForSnapshot(LogOffset offset,
                               const SnapshotRecord* snapshot);
  void Judge(LogOffset offset, const ConfigChange& change);
  void Judge(LogOffset offset, const EjectionGrant& grant);
  void Judge(LogOffset offset, const Readmission& readmission);
  std::optional<std::string> FindConflict(const ConfigChange& change) const;
  // What a valid change leads to, but for the new content.
  struct CheckedChange {
    FleetConfig m_fleet;
    std::vector<std::string> m_differences{};
  };

  std::optional<CheckedChange> CheckContent(const ConfigChange& change,
                                            Findings& findings) const;
  std::optional<CheckedChange> CheckTouchedParts(
      const ConfigChange& change) const;
  std::optional<CheckedChange> CheckWhole(const ConfigChange& change,
                                          Findings& findings) const;
  const ScopeContent& ContentOf(std::string_view scope) const;
  bool FitsARecord(const ConfigChange& change) const;
  void TakeInForce(FleetConfig fleet);
  void EnforceFloors(LogOffset offset, AuditEntry& entry);
  void AddAudit(AuditEntry entry);
  bool Restore(ReplayState state);

  ReplayState m_state;
  LogOffset m_read_next;
  LogOffset m_first_retained;
  bool m_needs_snapshot = false;
  std::optional<LogOffset> m_snapshot_reach;
  std::shared_ptr<const FleetConfig> m_in_force;
  std::map<ServiceId, uint32_t> m_floors;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_CONFIG_LOG_REPLAY_H_
