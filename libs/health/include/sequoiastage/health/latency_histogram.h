#ifndef SEQUOIASTAGE_HEALTH_LATENCY_HISTOGRAM_H_
#define SEQUOIASTAGE_HEALTH_LATENCY_HISTOGRAM_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "sequoiastage/base/time.h"

namespace sequoiastage {

/// Counts of latencies in geometric buckets. Small enough for a gossip
/// message; histograms of several instances are merged by adding counts.
///
/// Bucket i holds latencies up to 1 ms * 1.5^i; the last one also holds all
/// longer ones (from about 11 s). A count saturates at 65,535.
class LatencyHistogram {
 public:
  static constexpr size_t kBuckets = 24;
  using Counts = std::array<uint16_t, kBuckets>;

  LatencyHistogram() = default;
  explicit LatencyHistogram(const Counts& counts) : m_counts(counts) {}

  void Add(Duration latency);
  void Merge(const LatencyHistogram& other);

  uint64_t Total() const;

  /// Latency below which `share` (0 to 1) of the samples lie, interpolated
  /// within the bucket. Zero when there are no samples.
  Duration Quantile(double share) const;

  /// Number of samples above `latency`, interpolated within the bucket.
  double CountAbove(Duration latency) const;

  const Counts& BucketCounts() const { return m_counts; }

  friend bool operator==(const LatencyHistogram&,
                         const LatencyHistogram&) = default;

 private:
  Counts m_counts{};
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_HEALTH_LATENCY_HISTOGRAM_H_
