#include "sequoiastage/limits/recent_latency.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

// Reference implementation that sorts all samples.
Duration ReferenceQuantile(std::deque<Duration> samples, double share) {
  std::sort(samples.begin(), samples.end());
  size_t rank = 0;
  while (static_cast<double>(rank + 1) <
         share * static_cast<double>(samples.size())) {
    ++rank;
  }
  return samples[rank];
}

RC_GTEST_PROP(RecentLatencyTest, MatchesReferenceQuantile, ()) {
  const RecentLatencyOptions options{.m_max_samples = 60};
  RecentLatency latency(options);
  std::deque<Duration> newest;
  const auto samples = *rc::gen::container<std::vector<int>>(
      200, rc::gen::inRange(0, 1'000'000));
  for (const int sample : samples) {
    const Duration added = std::chrono::microseconds(sample);
    latency.Add(added, kStart);
    newest.push_back(added);
    if (newest.size() > options.m_max_samples) {
      newest.pop_front();
    }
    for (const double share : {0.5, 0.9}) {
      const auto quantile = latency.Quantile(share, kStart);
      RC_ASSERT(quantile.has_value() ==
                (newest.size() >= options.m_min_samples));
      RC_ASSERT(!quantile || *quantile == ReferenceQuantile(newest, share));
    }
  }
}

TEST(RecentLatencyTest, HighQuantileNeedsEnoughSamplesAboveIt) {
  RecentLatency latency;
  for (int i = 0; i < 199; ++i) {
    latency.Add(milliseconds(i), kStart);
  }
  EXPECT_TRUE(latency.Quantile(0.95, kStart).has_value());
  EXPECT_FALSE(latency.Quantile(0.99, kStart).has_value());
  latency.Add(milliseconds(199), kStart);
  EXPECT_EQ(latency.Quantile(0.99, kStart), milliseconds(197));
}

TEST(RecentLatencyTest, DiscardsSamplesAfterGap) {
  RecentLatency latency;
  for (int i = 0; i < 100; ++i) {
    latency.Add(milliseconds(10), kStart);
  }
  const TimePoint later = kStart + std::chrono::minutes(6);
  EXPECT_FALSE(latency.Quantile(0.5, later).has_value());
  latency.Add(milliseconds(20), later);
  EXPECT_FALSE(latency.Quantile(0.5, later).has_value());
}

}  // namespace
}  // namespace sequoiastage
