#ifndef SEQUOIASTAGE_ROUTING_LOAD_TABLE_H_
#define SEQUOIASTAGE_ROUTING_LOAD_TABLE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/time.h"

namespace sequoiastage {

/// State of an instance as its egress adds it to an answer.
struct LoadReport {
  /// Requests at the instance.
  uint16_t m_in_use = 0;
  /// Requests that wait at the egress.
  uint16_t m_queued = 0;
  bool m_suspect = false;
  /// Where the egress would send the request instead.
  std::optional<InstanceId> m_best_sibling{};
};

/// What is known of an instance now.
struct LoadEstimate {
  /// Requests at the instance or waiting for it, at least the own ones.
  double m_load = 0;
  /// Own requests under way to it.
  uint32_t m_own_in_flight = 0;
  /// The last report said so and is still fresh.
  bool m_suspect = false;
  std::optional<InstanceId> m_best_sibling{};
  /// Age of the last report, empty if there is none.
  std::optional<Duration> m_age{};
};

struct LoadTableOptions {
  /// Time after which a reported load counts half.
  Duration m_half_life = std::chrono::seconds(2);
  /// Age up to which suspicion and best sibling of a report count.
  Duration m_fresh = std::chrono::seconds(10);
  /// Entries without own requests are dropped after this.
  Duration m_forget_after = std::chrono::seconds(60);
};

/// Load of instances, from the reports on their answers and from the own
/// requests. One owner thread.
class LoadTable {
 public:
  explicit LoadTable(LoadTableOptions options = {}) : m_options(options) {}

  /// An own request goes to the instance.
  void OnSent(InstanceId instance, TimePoint now);
  /// An own request to the instance is over, whatever came of it.
  void OnEnded(InstanceId instance, TimePoint now);
  void OnReport(InstanceId instance, const LoadReport& report, TimePoint now);

  LoadEstimate Estimate(InstanceId instance, TimePoint now) const;

  /// Drops old entries. To be called every few seconds.
  void Sweep(TimePoint now);
  std::size_t Size() const { return m_entries.size(); }

 private:
  struct Entry {
    LoadReport m_report{};
    std::optional<TimePoint> m_reported_at{};
    uint32_t m_own_in_flight = 0;
    /// Own requests that were under way when the report came.
    uint32_t m_own_at_report = 0;
    TimePoint m_used_at{};
  };

  LoadTableOptions m_options;
  std::unordered_map<InstanceId, Entry> m_entries;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_ROUTING_LOAD_TABLE_H_
