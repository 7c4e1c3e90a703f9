#ifndef SEQUOIASTAGE_METRICS_METRIC_FAMILY_H_
#define SEQUOIASTAGE_METRICS_METRIC_FAMILY_H_

#include <cstdint>
#include <string>
#include <vector>

/// Values of metrics as plain structs, which can be passed between threads, and
/// their rendering as text.
namespace sequoiastage {

enum class MetricType { kCounter, kGauge, kSummary, kHistogram };

struct MetricLabel {
  std::string m_name;
  std::string m_value;

  friend bool operator==(const MetricLabel&, const MetricLabel&) = default;
};

struct MetricQuantile {
  /// In 0..1; 0.99 is the 99th percentile.
  double m_rank = 0;
  double m_value = 0;

  friend bool operator==(const MetricQuantile&,
                         const MetricQuantile&) = default;
};

/// Number of observations up to and including m_upper_bound. Cumulative: lower
/// buckets are included.
struct MetricBucket {
  double m_upper_bound = 0;
  uint64_t m_count = 0;

  friend bool operator==(const MetricBucket&, const MetricBucket&) = default;
};

/// One time series of a family.
struct MetricSample {
  std::vector<MetricLabel> m_labels = {};
  /// Counters and gauges: the value. Summaries and histograms: sum of all
  /// observations.
  double m_value = 0;
  /// Summaries and histograms: number of observations.
  uint64_t m_count = 0;
  /// Summaries only; empty without observations.
  std::vector<MetricQuantile> m_quantiles = {};
  /// Histograms only, in ascending order, without the +Inf bucket.
  std::vector<MetricBucket> m_buckets = {};

  friend bool operator==(const MetricSample&, const MetricSample&) = default;
};

/// All time series of one metric name.
struct MetricFamily {
  std::string m_name;
  std::string m_help;
  MetricType m_type = MetricType::kCounter;
  std::vector<MetricSample> m_samples;

  friend bool operator==(const MetricFamily&, const MetricFamily&) = default;
};

/// Merges `from` into `into`. For series with the same name and labels, values,
/// counts and buckets are summed, and a quantile is the larger of the two, an
/// upper bound of the quantile over both streams.
void MergeMetrics(std::vector<MetricFamily>* into,
                  const std::vector<MetricFamily>& from);

/// Renders the Prometheus text exposition format, version 0.0.4.
std::string RenderMetrics(const std::vector<MetricFamily>& families);

/// Content type of RenderMetrics().
inline constexpr char kMetricsContentType[] =
    "text/plain; version=0.0.4; charset=utf-8";

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_METRICS_METRIC_FAMILY_H_
