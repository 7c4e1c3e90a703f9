#ifndef SEQUOIASTAGE_CONFIG_SNAPSHOT_SCHEDULE_H_
#define SEQUOIASTAGE_CONFIG_SNAPSHOT_SCHEDULE_H_

#include <cstdint>
#include <optional>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/time.h"

namespace sequoiastage {

struct SnapshotOptions {
  /// Records after which a snapshot is due; well below the log's retention.
  uint64_t m_max_records = 10'000;
  /// Time after which one is due; well below the log's retention.
  Duration m_max_age = std::chrono::hours(1);
};

/// Says when a reader of the log has to append a snapshot again, so that one
/// stands on the log at any time. Duplicates by several readers are harmless.
class SnapshotSchedule {
 public:
  SnapshotSchedule(SnapshotOptions options, TimePoint now)
      : m_options(options), m_since(now) {}

  /// A snapshot of the records before `covers` was read from the log.
  void OnSnapshot(LogOffset covers, TimePoint now) {
    if (!m_covers || *m_covers < covers) {
      m_covers = covers;
      m_since = now;
    }
  }

  /// `first_retained` is what the log still has, `next` the reader's
  /// ReplayState::m_next.
  bool IsDue(LogOffset first_retained, LogOffset next, TimePoint now) const {
    const uint64_t covered = m_covers ? m_covers->Get() : 0;
    if (next.Get() <= covered) {
      return false;
    }
    return first_retained.Get() > covered ||
           next.Get() - covered >= m_options.m_max_records ||
           now - m_since >= m_options.m_max_age;
  }

 private:
  SnapshotOptions m_options;
  std::optional<LogOffset> m_covers;
  TimePoint m_since;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_CONFIG_SNAPSHOT_SCHEDULE_H_
