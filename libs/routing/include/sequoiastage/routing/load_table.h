#ifndef SEQUOIASTAGE_ROUTING_LOAD_TABLE_H_
#define SEQUOIASTAGE_ROUTING_LOAD_TABLE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/time.h"

namespace sequoiastage {

/// Load of an instance as reported by its egress with each response.
struct LoadReport {
  /// Requests that the instance is executing.
  uint16_t m_in_use = 0;
  /// Requests queued at the egress.
  uint16_t m_queued = 0;
  /// Whether the egress considers the instance suspect.
  bool m_suspect = false;
  /// Instance that the egress recommends instead; empty if there is none.
  std::optional<InstanceId> m_best_sibling{};
};

/// Current load estimate for an instance.
struct LoadEstimate {
  /// Estimated number of executing and queued requests, including this node's.
  double m_load = 0;
  /// Requests of this node in flight to the instance.
  uint32_t m_own_in_flight = 0;
  /// Whether the last report was suspect and is recent enough.
  bool m_suspect = false;
  /// Sibling recommended by the last report; empty if it is too old.
  std::optional<InstanceId> m_best_sibling{};
  /// Age of the last report; empty if there is none.
  std::optional<Duration> m_age{};
};

struct LoadTableOptions {
  /// Half-life of the reported load of other nodes.
  Duration m_half_life = std::chrono::seconds(2);
  /// Maximum age at which a report's suspicion and best sibling are used.
  Duration m_max_report_age = std::chrono::seconds(10);
  /// Entries without requests in flight are removed after this idle time.
  Duration m_entry_lifetime = std::chrono::seconds(60);
};

/// Estimates the load of instances from the reports in their responses and from
/// this node's requests in flight. Not thread-safe.
class LoadTable {
 public:
  explicit LoadTable(LoadTableOptions options = {}) : m_options(options) {}

  /// A request of this node was sent to the instance.
  void OnSent(InstanceId instance, TimePoint now);
  /// A request of this node to the instance ended, with any outcome.
  void OnEnded(InstanceId instance, TimePoint now);
  void OnReport(InstanceId instance, const LoadReport& report, TimePoint now);

  LoadEstimate Estimate(InstanceId instance, TimePoint now) const;

  /// Removes expired entries. Call every few seconds.
  void Sweep(TimePoint now);
  std::size_t Size() const { return m_entries.size(); }

 private:
  struct Entry {
    LoadReport m_report{};
    std::optional<TimePoint> m_reported_at{};
    uint32_t m_own_in_flight = 0;
    /// Requests of this node in flight when the report was received.
    uint32_t m_own_in_flight_at_report = 0;
    TimePoint m_last_used_at{};
  };

  LoadTableOptions m_options;
  std::unordered_map<InstanceId, Entry> m_entries;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_ROUTING_LOAD_TABLE_H_
