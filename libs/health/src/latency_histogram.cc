#include "sequoiastage/health/latency_histogram.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace sequoiastage {

namespace {

constexpr double kFirstUpperBoundUs = 1000;
constexpr double kGrowth = 1.5;

// Upper bounds of the buckets in microseconds.
constexpr std::array<double, LatencyHistogram::kBuckets> MakeUpperBounds() {
  std::array<double, LatencyHistogram::kBuckets> bounds{};
  double upper = kFirstUpperBoundUs;
  for (double& bound : bounds) {
    bound = upper;
    upper *= kGrowth;
  }
  return bounds;
}

constexpr auto kUpperBoundsUs = MakeUpperBounds();

size_t BucketIndex(Duration latency) {
  const auto us = static_cast<double>(latency.count());
  const auto* bound =
      std::lower_bound(kUpperBoundsUs.begin(), kUpperBoundsUs.end(), us);
  const auto index = static_cast<size_t>(bound - kUpperBoundsUs.begin());
  return std::min(index, LatencyHistogram::kBuckets - 1);
}

uint16_t AddSaturated(uint32_t a, uint32_t b) {
  const uint32_t max = std::numeric_limits<uint16_t>::max();
  return static_cast<uint16_t>(std::min(max, a + b));
}

}  // namespace

void LatencyHistogram::Add(Duration latency) {
  uint16_t& count = m_counts[BucketIndex(latency)];
  count = AddSaturated(count, 1);
}

void LatencyHistogram::Merge(const LatencyHistogram& other) {
  for (size_t i = 0; i < kBuckets; ++i) {
    m_counts[i] = AddSaturated(m_counts[i], other.m_counts[i]);
  }
}

uint64_t LatencyHistogram::Total() const {
  return std::accumulate(m_counts.begin(), m_counts.end(), uint64_t{0});
}

Duration LatencyHistogram::Quantile(double share) const {
  const double rank = share * static_cast<double>(Total());
  double count_below = 0;
  double lower_us = 0;
  for (size_t i = 0; i < kBuckets; ++i) {
    const double count = m_counts[i];
    if (count > 0 && count_below + count >= rank) {
      const double fraction = std::max(0.0, rank - count_below) / count;
      const double us = lower_us + fraction * (kUpperBoundsUs[i] - lower_us);
      return Duration(static_cast<int64_t>(us));
    }
    count_below += count;
    lower_us = kUpperBoundsUs[i];
  }
  return Duration(0);
}

double LatencyHistogram::CountAbove(Duration latency) const {
  const size_t index = BucketIndex(latency);
  const double lower_us = index == 0 ? 0 : kUpperBoundsUs[index - 1];
  const auto us = static_cast<double>(latency.count());
  const double fraction = std::clamp(
      (kUpperBoundsUs[index] - us) / (kUpperBoundsUs[index] - lower_us), 0.0,
      1.0);
  const auto* above = m_counts.begin() + index + 1;
  return fraction * m_counts[index] +
         std::accumulate(above, m_counts.end(), 0.0);
}

}  // namespace sequoiastage
