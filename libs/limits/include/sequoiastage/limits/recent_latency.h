#ifndef SEQUOIASTAGE_LIMITS_RECENT_LATENCY_H_
#define SEQUOIASTAGE_LIMITS_RECENT_LATENCY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "sequoiastage/base/time.h"

namespace sequoiastage {

struct RecentLatencyOptions {
  /// Maximum number of retained samples; the oldest is replaced first.
  size_t m_max_samples = 256;
  /// Minimum number of samples for any quantile.
  size_t m_min_samples = 50;
  /// Minimum number of samples above a quantile.
  double m_min_samples_above = 2;
  /// After a gap longer than this, all earlier samples are discarded.
  Duration m_max_gap = std::chrono::minutes(5);
};

/// Sliding window over the latencies of one service, for quantile estimates.
/// Not thread-safe.
class RecentLatency {
 public:
  explicit RecentLatency(RecentLatencyOptions options = {})
      : m_options(options) {}

  void Add(Duration latency, TimePoint now);

  /// Latency that a `share` (0 to 1) of the samples does not exceed. Empty when
  /// there are too few samples or the samples are stale.
  std::optional<Duration> Quantile(double share, TimePoint now) const;

 private:
  bool IsStale(TimePoint now) const {
    return now - m_latest > m_options.m_max_gap;
  }

  RecentLatencyOptions m_options;
  // Ring buffer of latencies in microseconds.
  std::vector<uint32_t> m_samples_us;
  // Index of the sample to replace next.
  size_t m_oldest = 0;
  TimePoint m_latest{};
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_LIMITS_RECENT_LATENCY_H_
