#ifndef SEQUOIASTAGE_HEALTH_OUTCOME_WINDOW_H_
#define SEQUOIASTAGE_HEALTH_OUTCOME_WINDOW_H_

#include <array>
#include <cstdint>

#include "sequoiastage/base/time.h"
#include "sequoiastage/health/instance_summary.h"

namespace sequoiastage {

/// Counts of an instance's outcomes in the last 10 s, in slots of 1 s.
class OutcomeWindow {
 public:
  static constexpr int64_t kSlots = 10;

  /// Adds a completed or failed request.
  void Add(TimePoint now, bool is_failure, Duration latency);

  /// Sums over the slots of the last kSlots seconds.
  InstanceSummary Summarize(TimePoint now) const;

 private:
  struct Slot {
    int64_t m_second = -1;
    uint16_t m_outcomes = 0;
    uint16_t m_failures = 0;
    LatencyHistogram m_latencies{};
  };

  std::array<Slot, kSlots> m_slots;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_HEALTH_OUTCOME_WINDOW_H_
