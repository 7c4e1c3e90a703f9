#ifndef SEQUOIASTAGE_LIMITS_RECENT_LATENCY_H_
#define SEQUOIASTAGE_LIMITS_RECENT_LATENCY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "sequoiastage/base/time.h"

namespace sequoiastage {

struct RecentLatencyOptions {
  /// Newest samples kept.
  size_t m_max_samples = 256;
  size_t m_min_samples = 50;
  /// Samples wanted above a quantile before it is told.
  double m_min_samples_above = 2;
  /// After so long without a sample all earlier ones are forgotten.
  Duration m_max_gap = std::chrono::minutes(5);
};

/// Newest latencies of one service, for quantiles of them.
/// Not thread-safe: one thread owns it.
class RecentLatency {
 public:
  explicit RecentLatency(RecentLatencyOptions options = {})
      : m_options(options) {}

  void Add(Duration latency, TimePoint now);

  /// Latency that `share` (0 to 1) of the samples don't exceed; empty while
  /// there are too few samples to tell.
  std::optional<Duration> Quantile(double share, TimePoint now) const;

 private:
  bool IsStale(TimePoint now) const {
    return now - m_latest > m_options.m_max_gap;
  }

  RecentLatencyOptions m_options;
  // Microseconds, in no order once full.
  std::vector<uint32_t> m_samples_us;
  // Sample that is replaced next.
  size_t m_oldest = 0;
  TimePoint m_latest{};
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_LIMITS_RECENT_LATENCY_H_
