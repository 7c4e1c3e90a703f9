#ifndef SEQUOIASTAGE_METRICS_LATENCY_BUCKETS_H_
#define SEQUOIASTAGE_METRICS_LATENCY_BUCKETS_H_

#include <memory>

#include "sequoiastage/base/time.h"
#include "sequoiastage/metrics/metric_family.h"

namespace sequoiastage {

/// Histogram of durations with fixed buckets from 1 ms to 10 s, so that the
/// histograms of all nodes can be summed.
class LatencyBuckets {
 public:
  LatencyBuckets();
  ~LatencyBuckets();
  LatencyBuckets(LatencyBuckets&&) noexcept;
  LatencyBuckets& operator=(LatencyBuckets&&) noexcept;

  void Observe(Duration latency);

  /// The time series for a family of MetricType::kHistogram, in seconds.
  MetricSample Sample(std::vector<MetricLabel> labels = {}) const;

 private:
  struct Counts;

  std::unique_ptr<Counts> m_counts;
  double m_sum_seconds = 0;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_METRICS_LATENCY_BUCKETS_H_
