#ifndef SEQUOIASTAGE_METRICS_LATENCY_SUMMARY_H_
#define SEQUOIASTAGE_METRICS_LATENCY_SUMMARY_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "sequoiastage/base/time.h"
#include "sequoiastage/metrics/metric_family.h"

namespace sequoiastage {

/// Quantiles of a stream of durations in constant memory (extended P-square;
/// Raatikainen, 1987). Count and sum cover all observations; the
/// quantiles are those of the last complete window, or of the first window
/// until it ends.
class LatencySummary {
 public:
  LatencySummary();
  ~LatencySummary();
  LatencySummary(LatencySummary&&) noexcept;
  LatencySummary& operator=(LatencySummary&&) noexcept;

  void Observe(Duration latency);

  /// Completes the current window and begins the next. Quantiles() is empty
  /// after a window without observations.
  void EndWindow();

  uint64_t Count() const { return m_count; }

  /// Sum of all observations in seconds.
  double SumSeconds() const { return m_sum_seconds; }

  /// Values in seconds for the ranks 0.5, 0.9, 0.99 and 0.999. Empty without
  /// observations in the window.
  std::vector<MetricQuantile> Quantiles() const;

 private:
  struct Window;

  uint64_t m_count = 0;
  double m_sum_seconds = 0;
  std::unique_ptr<Window> m_running;
  std::unique_ptr<Window> m_complete;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_METRICS_LATENCY_SUMMARY_H_
