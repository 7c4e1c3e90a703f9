#include "sequoiastage/health/instance_summary.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "sequoiastage/health/outcome_window.h"

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{std::chrono::hours(1)};

PeerSummary MakePeer(uint16_t failures, Duration latency, TimePoint at) {
  PeerSummary peer{
      .m_summary = {.m_recent_outcomes = 10,
                    .m_recent_failures = static_cast<uint16_t>(failures / 5),
                    .m_outcomes = 50,
                    .m_failures = failures,
                    .m_latencies = {}},
      .m_received = at};
  for (int i = 0; i < 50; ++i) {
    peer.m_summary.m_latencies.Add(latency);
  }
  return peer;
}

RC_GTEST_PROP(LatencyHistogramTest,
              QuantileIsWithinABucketOfTheSample,
              (const std::vector<uint16_t>& latencies_ms)) {
  RC_PRE(!latencies_ms.empty());
  std::vector<Duration> sorted;
  LatencyHistogram histogram;
  for (const uint16_t ms : latencies_ms) {
    sorted.emplace_back(milliseconds(std::min<uint16_t>(ms, 10'000)));
    histogram.Add(sorted.back());
  }
  std::sort(sorted.begin(), sorted.end());
  const Duration middle = sorted[(sorted.size() - 1) / 2];
  const Duration quantile = histogram.Quantile(0.5);
  RC_ASSERT(quantile <= std::max<Duration>(milliseconds(1), middle * 3 / 2));
  RC_ASSERT(quantile >= middle * 2 / 3 - milliseconds(1));
  RC_ASSERT(histogram.Total() == sorted.size());
}

TEST(OutcomeWindowTest, DropsOutcomesAfterTenSeconds) {
  OutcomeWindow window;
  window.Add(kNow, true, milliseconds(5));
  window.Add(kNow + seconds(5), false, milliseconds(5));
  const InstanceSummary both = window.Summarize(kNow + seconds(6));
  EXPECT_EQ(both.m_outcomes, 2);
  EXPECT_EQ(both.m_failures, 1);
  EXPECT_EQ(both.m_recent_outcomes, 1);
  EXPECT_EQ(both.m_recent_failures, 0);
  const InstanceSummary one = window.Summarize(kNow + seconds(10));
  EXPECT_EQ(one.m_outcomes, 1);
  EXPECT_EQ(one.m_latencies.Total(), 1);
  EXPECT_EQ(window.Summarize(kNow + seconds(20)), InstanceSummary());
}

TEST(PeerBaselineTest, IsEmptyWithoutPeers) {
  EXPECT_EQ(MakePeerBaseline({}, kNow).m_peer_count, 0U);
  const std::vector<PeerSummary> old = {
      MakePeer(0, milliseconds(10), kNow - seconds(5))};
  EXPECT_EQ(MakePeerBaseline(old, kNow).m_peer_count, 0U);
}

TEST(PeerBaselineTest, AFewFailingPeersDoNotMaskOneAnother) {
  std::vector<PeerSummary> peers(9, MakePeer(0, milliseconds(100), kNow));
  peers.push_back(MakePeer(50, milliseconds(100), kNow));
  peers.push_back(MakePeer(0, seconds(5), kNow));
  const PeerBaseline baseline = MakePeerBaseline(peers, kNow);
  EXPECT_EQ(baseline.m_peer_count, 11U);
  EXPECT_LT(baseline.m_failure_share, 0.01);
  EXPECT_LT(baseline.m_latency_p99, milliseconds(150));
  EXPECT_NEAR(baseline.m_outcomes_per_hour, 18000, 1);
}

TEST(PeerBaselineTest, ReflectsAFailureOfAllPeers) {
  const std::vector<PeerSummary> peers(11,
                                       MakePeer(25, milliseconds(100), kNow));
  EXPECT_NEAR(MakePeerBaseline(peers, kNow).m_failure_share, 0.5, 0.02);
}

TEST(PeerBaselineTest, CoversNoMoreThanTheMedianSummary) {
  std::vector<PeerSummary> peers(
      3, MakePeer(0, milliseconds(100), kNow - seconds(1)));
  peers.push_back(MakePeer(0, milliseconds(100), kNow));
  EXPECT_LT(MakePeerBaseline(peers, kNow).m_as_of, kNow - seconds(1));
}

}  // namespace
}  // namespace sequoiastage
