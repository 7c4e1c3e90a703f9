#include "sequoiastage/limits/recent_latency.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace sequoiastage {

namespace {

uint32_t ToMicros(Duration latency) {
  constexpr int64_t kMax = std::numeric_limits<uint32_t>::max();
  const int64_t us =
      std::chrono::duration_cast<std::chrono::microseconds>(latency).count();
  return static_cast<uint32_t>(std::clamp<int64_t>(us, 0, kMax));
}

}  // namespace

void RecentLatency::Add(Duration latency, TimePoint now) {
  if (IsStale(now)) {
    m_samples_us.clear();
    m_oldest = 0;
  }
  m_latest = std::max(m_latest, now);
  if (m_samples_us.size() < m_options.m_max_samples) {
    m_samples_us.push_back(ToMicros(latency));
    return;
  }
  m_samples_us[m_oldest] = ToMicros(latency);
  m_oldest = (m_oldest + 1) % m_options.m_max_samples;
}

std::optional<Duration> RecentLatency::Quantile(double share,
                                                TimePoint now) const {
  const auto count = static_cast<double>(m_samples_us.size());
  if (IsStale(now) || m_samples_us.size() < m_options.m_min_samples ||
      count * (1 - share) < m_options.m_min_samples_above) {
    return std::nullopt;
  }
  std::vector<uint32_t> samples = m_samples_us;
  const auto rank = static_cast<std::ptrdiff_t>(
      std::clamp(std::ceil(count * share) - 1, 0.0, count - 1));
  std::nth_element(samples.begin(), samples.begin() + rank, samples.end());
  return std::chrono::microseconds(samples[static_cast<size_t>(rank)]);
}

}  // namespace sequoiastage
