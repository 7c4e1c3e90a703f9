#ifndef SEQUOIASTAGE_CONFIG_SNAPSHOT_SCHEDULE_H_
#define SEQUOIASTAGE_CONFIG_SNAPSHOT_SCHEDULE_H_

#include <cstdint>
#include <optional>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/time.h"

namespace sequoiastage {

struct SnapshotOptions {
  /// Number of records after which a snapshot is due; well below the log's
  /// retention.
  uint64_t m_max_records = 10'000;
  /// Time after which a snapshot is due; well below the log's retention.
  Duration m_max_age = std::chrono::hours(1);
};

/// Determines when a reader of the log appends the next snapshot, so that the
/// log always contains a usable one. Duplicates by several readers are
/// harmless.
class SnapshotSchedule {
 public:
  SnapshotSchedule(SnapshotOptions options, TimePoint now)
      : m_options(options), m_interval_start(now) {}

  /// Called when a snapshot of the records before `snapshot_end` was read from
  /// the log.
  void OnSnapshot(LogOffset snapshot_end, TimePoint now) {
    if (!m_snapshot_end || *m_snapshot_end < snapshot_end) {
      m_snapshot_end = snapshot_end;
      m_interval_start = now;
    }
  }

  /// `first_retained` is the first offset that the log retains, `next` the
  /// reader's ReplayState::m_next.
  bool IsDue(LogOffset first_retained, LogOffset next, TimePoint now) const {
    const uint64_t covered = m_snapshot_end ? m_snapshot_end->Get() : 0;
    if (next.Get() <= covered) {
      return false;
    }
    return first_retained.Get() > covered ||
           next.Get() - covered >= m_options.m_max_records ||
           now - m_interval_start >= m_options.m_max_age;
  }

 private:
  SnapshotOptions m_options;
  std::optional<LogOffset> m_snapshot_end;
  TimePoint m_interval_start;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_CONFIG_SNAPSHOT_SCHEDULE_H_
