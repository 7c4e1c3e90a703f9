#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>

#include "sequoiastage/metrics/latency_buckets.h"
#include "sequoiastage/metrics/metric_registry.h"

namespace sequoiastage {
namespace {

double ValueAt(const std::vector<MetricQuantile>& quantiles, double rank) {
  for (const MetricQuantile& quantile : quantiles) {
    if (quantile.m_rank == rank) {
      return quantile.m_value;
    }
  }
  ADD_FAILURE() << "no quantile " << rank;
  return 0;
}

TEST(MetricRegistryTest, RendersEveryType) {
  MetricRegistry metrics;
  const CounterHandle requests =
      metrics.AddCounter({.m_name = "requests_total",
                          .m_help = "Requests.",
                          .m_labels = {{"outcome", "answered"}}});
  const CounterHandle refused =
      metrics.AddCounter({.m_name = "requests_total",
                          .m_help = "Requests.",
                          .m_labels = {{"outcome", "not-run"}}});
  const GaugeHandle members =
      metrics.AddGauge({.m_name = "members", .m_help = "Known nodes."});
  const SummaryHandle latency =
      metrics.AddSummary({.m_name = "latency_seconds", .m_help = "Latency."});
  metrics.Increment(requests, 2);
  metrics.Increment(refused);
  metrics.Set(members, 6);
  metrics.Observe(latency, Duration(500'000));
  EXPECT_EQ(RenderMetrics(metrics.Collect()),
            "# HELP requests_total Requests.\n"
            "# TYPE requests_total counter\n"
            "requests_total{outcome=\"answered\"} 2\n"
            "requests_total{outcome=\"not-run\"} 1\n"
            "# HELP members Known nodes.\n"
            "# TYPE members gauge\n"
            "members 6\n"
            "# HELP latency_seconds Latency.\n"
            "# TYPE latency_seconds summary\n"
            "latency_seconds{quantile=\"0.5\"} 0.5\n"
            "latency_seconds{quantile=\"0.9\"} 0.5\n"
            "latency_seconds{quantile=\"0.99\"} 0.5\n"
            "latency_seconds{quantile=\"0.999\"} 0.5\n"
            "latency_seconds_sum 0.5\n"
            "latency_seconds_count 1\n");
}

TEST(MetricRegistryTest, EscapesLabelValues) {
  MetricRegistry metrics;
  metrics.AddCounter({.m_name = "x_total",
                      .m_help = "a\nb",
                      .m_labels = {{"name", "a\"b\\c\nd"}}});
  EXPECT_EQ(RenderMetrics(metrics.Collect()),
            "# HELP x_total a\\nb\n# TYPE x_total counter\n"
            "x_total{name=\"a\\\"b\\\\c\\nd\"} 0\n");
}

TEST(MetricRegistryTest, LargeCountersKeepEveryDigit) {
  MetricRegistry metrics;
  const CounterHandle counter =
      metrics.AddCounter({.m_name = "x_total", .m_help = "X."});
  metrics.Increment(counter, 123'456'789'012);
  EXPECT_NE(RenderMetrics(metrics.Collect()).find("x_total 123456789012"),
            std::string::npos);
}

TEST(LatencySummaryTest, QuantilesComeFromTheLastCompleteWindow) {
  LatencySummary summary;
  EXPECT_TRUE(summary.Quantiles().empty());
  summary.Observe(Duration(1'000));
  EXPECT_DOUBLE_EQ(ValueAt(summary.Quantiles(), 0.5), 0.001);
  summary.EndWindow();
  summary.Observe(Duration(9'000));
  EXPECT_DOUBLE_EQ(ValueAt(summary.Quantiles(), 0.5), 0.001);
  summary.EndWindow();
  EXPECT_DOUBLE_EQ(ValueAt(summary.Quantiles(), 0.5), 0.009);
  summary.EndWindow();
  EXPECT_TRUE(summary.Quantiles().empty());
  EXPECT_EQ(summary.Count(), 2u);
  EXPECT_DOUBLE_EQ(summary.SumSeconds(), 0.010);
}

RC_GTEST_PROP(LatencySummaryTest, FewObservationsGiveExactQuantiles, ()) {
  const auto values = *rc::gen::resize(
      32, rc::gen::nonEmpty(
              rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5000))));
  RC_PRE(values.size() <= 32u);
  LatencySummary summary;
  for (const int value : values) {
    summary.Observe(Duration(value));
  }
  std::vector<int> sorted = values;
  std::sort(sorted.begin(), sorted.end());
  const int median = sorted[(sorted.size() + 1) / 2 - 1];
  RC_ASSERT(ValueAt(summary.Quantiles(), 0.5) == median / 1e6);
  RC_ASSERT(ValueAt(summary.Quantiles(), 0.999) == sorted.back() / 1e6);
}

// Compares the estimates with the sorted stream: the share of observations up
// to an estimate must be close to its rank.
RC_GTEST_PROP(LatencySummaryTest, EstimatesAreCloseToExactQuantiles, ()) {
  std::mt19937_64 random(*rc::gen::arbitrary<uint64_t>());
  std::exponential_distribution<double> exponential(1.0 / 2'000);
  LatencySummary summary;
  std::vector<double> sorted;
  for (int i = 0; i < 5'000; ++i) {
    const Duration latency(static_cast<int64_t>(exponential(random)));
    summary.Observe(latency);
    sorted.push_back(static_cast<double>(latency.count()) / 1e6);
  }
  std::sort(sorted.begin(), sorted.end());
  for (const MetricQuantile& quantile : summary.Quantiles()) {
    const auto place =
        std::upper_bound(sorted.begin(), sorted.end(), quantile.m_value);
    const double share = static_cast<double>(place - sorted.begin()) /
                         static_cast<double>(sorted.size());
    RC_ASSERT(std::abs(share - quantile.m_rank) < 0.02);
  }
}

TEST(MergeMetricsTest, AddsSeriesWithTheSameLabels) {
  MetricRegistry one;
  const CounterHandle first =
      one.AddCounter({.m_name = "x_total", .m_help = "X."});
  one.Increment(first, 2);
  MetricRegistry two;
  const CounterHandle second =
      two.AddCounter({.m_name = "x_total", .m_help = "X."});
  two.Increment(second, 3);
  two.AddGauge({.m_name = "y", .m_help = "Y."});
  std::vector<MetricFamily> merged = one.Collect();
  MergeMetrics(&merged, two.Collect());
  ASSERT_EQ(merged.size(), 2u);
  EXPECT_EQ(merged[0].m_samples[0].m_value, 5);
  EXPECT_EQ(merged[1].m_name, "y");
}

TEST(MergeMetricsTest, KeepsTheLargerQuantile) {
  MetricRegistry one;
  MetricRegistry two;
  const MetricOptions options = {.m_name = "x_seconds", .m_help = "X."};
  one.Observe(one.AddSummary(options), Duration(1'000));
  two.Observe(two.AddSummary(options), Duration(3'000));
  std::vector<MetricFamily> merged = one.Collect();
  MergeMetrics(&merged, two.Collect());
  const MetricSample& sample = merged[0].m_samples[0];
  EXPECT_EQ(sample.m_count, 2u);
  EXPECT_DOUBLE_EQ(sample.m_value, 0.004);
  EXPECT_DOUBLE_EQ(ValueAt(sample.m_quantiles, 0.99), 0.003);
}

TEST(LatencyBucketsTest, BucketsAreCumulativeAndMerge) {
  LatencyBuckets buckets;
  for (const int ms : {0, 1, 40, 20'000}) {
    buckets.Observe(std::chrono::milliseconds(ms));
  }
  const MetricFamily family{
      .m_name = "t_seconds",
      .m_help = "Times.",
      .m_type = MetricType::kHistogram,
      .m_samples = {buckets.Sample({{.m_name = "kind", .m_value = "a"}})}};
  const std::string text = RenderMetrics({family});
  EXPECT_NE(text.find("# TYPE t_seconds histogram"), std::string::npos) << text;
  EXPECT_NE(text.find("t_seconds_bucket{kind=\"a\",le=\"0.05\"} 3\n"),
            std::string::npos)
      << text;
  EXPECT_NE(text.find("t_seconds_bucket{kind=\"a\",le=\"10\"} 3\n"),
            std::string::npos)
      << text;
  EXPECT_NE(text.find("t_seconds_bucket{kind=\"a\",le=\"+Inf\"} 4\n"),
            std::string::npos)
      << text;
  EXPECT_NE(text.find("t_seconds_count{kind=\"a\"} 4\n"), std::string::npos)
      << text;
  std::vector<MetricFamily> sum = {family};
  MergeMetrics(&sum, {family});
  EXPECT_EQ(sum[0].m_samples[0].m_count, 8u);
  EXPECT_EQ(sum[0].m_samples[0].m_buckets.back().m_count, 6u);
}

}  // namespace
}  // namespace sequoiastage
