#ifndef SEQUOIASTAGE_METRICS_METRIC_REGISTRY_H_
#define SEQUOIASTAGE_METRICS_METRIC_REGISTRY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "sequoiastage/base/strong.h"
#include "sequoiastage/base/time.h"
#include "sequoiastage/metrics/latency_summary.h"
#include "sequoiastage/metrics/metric_family.h"

namespace sequoiastage {

/// Name, help text and labels of a time series. Names and label names follow
/// [a-zA-Z_][a-zA-Z0-9_]*; counters end in "_total", durations in "_seconds".
struct MetricOptions {
  std::string m_name;
  std::string m_help;
  std::vector<MetricLabel> m_labels = {};
};

using CounterHandle = Strong<struct CounterHandleTag, uint32_t>;
using GaugeHandle = Strong<struct GaugeHandleTag, uint32_t>;
using SummaryHandle = Strong<struct SummaryHandleTag, uint32_t>;

/// The metrics of one thread. Only that thread may access the object; other
/// threads receive the result of Collect().
///
///   MetricRegistry metrics;
///   const CounterHandle requests = metrics.AddCounter(
///       {.m_name = "sequoiastage_requests_total", .m_help = "Requests."});
///   metrics.Increment(requests);
class MetricRegistry {
 public:
  /// Each adds one time series with the initial value 0. A name that is already
  /// registered gets a further series and keeps its first help text.
  CounterHandle AddCounter(const MetricOptions& options);
  GaugeHandle AddGauge(const MetricOptions& options);
  SummaryHandle AddSummary(const MetricOptions& options);

  void Increment(CounterHandle counter, uint64_t by = 1);
  void Set(GaugeHandle gauge, double value);
  void Observe(SummaryHandle summary, Duration latency);

  /// Ends the window of all summaries; see LatencySummary::EndWindow().
  void EndWindow();

  /// All current values, with families in the order of their first series.
  std::vector<MetricFamily> Collect() const;

 private:
  // Position of a series in m_families.
  struct SeriesIndex {
    uint32_t m_family = 0;
    uint32_t m_sample = 0;
  };

  SeriesIndex AddSample(const MetricOptions& options, MetricType type);

  std::vector<MetricFamily> m_families;
  std::vector<SeriesIndex> m_counter_series;
  std::vector<SeriesIndex> m_gauge_series;
  std::vector<SeriesIndex> m_summary_series;
  std::vector<LatencySummary> m_summaries;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_METRICS_METRIC_REGISTRY_H_
