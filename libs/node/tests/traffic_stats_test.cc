#include "src/traffic_stats_p.h"

#include <gtest/gtest.h>

#include "src/request_metrics_p.h"

namespace sequoiastage {
namespace {

bool HasLine(const std::string& text, const std::string& line) {
  return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

TEST(TrafficStatsTest, CountersAndLatenciesAreRenderedTogether) {
  RequestMetrics latencies;
  latencies.Observe(RequestOutcome::kAnswered, Duration(2000), TimePoint());
  TrafficStats traffic{.m_ingress_metrics = latencies.Collect()};
  traffic.m_ingress.m_answered = 5;
  traffic.m_egress.m_refused = 2;
  traffic.m_ingress.m_runner.m_other_region_bytes = 300;
  const std::string text =
      RenderMetrics(ToMetrics(traffic, {.m_is_log_reachable = true}));
  EXPECT_TRUE(
      HasLine(text, "sequoiastage_requests_total{outcome=\"answered\"} 5"));
  EXPECT_TRUE(HasLine(
      text, "sequoiastage_egress_attempts_total{result=\"refused\"} 2"));
  EXPECT_TRUE(HasLine(text, "sequoiastage_log_reachable 1"));
  EXPECT_TRUE(HasLine(text, "sequoiastage_other_region_bytes_total 300"));
  EXPECT_TRUE(HasLine(text,
                      "sequoiastage_request_duration_seconds{outcome="
                      "\"answered\",quantile=\"0.5\"} 0.002"))
      << text;
}

TEST(TrafficStatsTest, LatencyQuantilesCoverTheLastCompleteMinute) {
  RequestMetrics latencies;
  TimePoint now(Duration(1'000'000));
  latencies.Observe(RequestOutcome::kAnswered, Duration(2000), now);
  now += std::chrono::seconds(60);
  latencies.Observe(RequestOutcome::kAnswered, Duration(9000), now);
  const MetricSample first = latencies.Collect()[0].m_samples[0];
  EXPECT_DOUBLE_EQ(first.m_quantiles[0].m_value, 0.002);
  now += std::chrono::seconds(60);
  latencies.Observe(RequestOutcome::kAnswered, Duration(1000), now);
  const MetricSample second = latencies.Collect()[0].m_samples[0];
  EXPECT_DOUBLE_EQ(second.m_quantiles[0].m_value, 0.009);
  EXPECT_EQ(second.m_count, 3u);
}

}  // namespace
}  // namespace sequoiastage
