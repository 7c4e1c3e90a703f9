#include "sequoiastage/metrics/metric_registry.h"

#include <algorithm>

namespace sequoiastage {

CounterHandle MetricRegistry::AddCounter(const MetricOptions& options) {
  m_counter_series.push_back(AddSample(options, MetricType::kCounter));
  return CounterHandle(static_cast<uint32_t>(m_counter_series.size() - 1));
}

GaugeHandle MetricRegistry::AddGauge(const MetricOptions& options) {
  m_gauge_series.push_back(AddSample(options, MetricType::kGauge));
  return GaugeHandle(static_cast<uint32_t>(m_gauge_series.size() - 1));
}

SummaryHandle MetricRegistry::AddSummary(const MetricOptions& options) {
  m_summary_series.push_back(AddSample(options, MetricType::kSummary));
  m_summaries.emplace_back();
  return SummaryHandle(static_cast<uint32_t>(m_summaries.size() - 1));
}

void MetricRegistry::Increment(CounterHandle counter, uint64_t by) {
  const SeriesIndex series = m_counter_series[counter.Get()];
  m_families[series.m_family].m_samples[series.m_sample].m_value +=
      static_cast<double>(by);
}

void MetricRegistry::Set(GaugeHandle gauge, double value) {
  const SeriesIndex series = m_gauge_series[gauge.Get()];
  m_families[series.m_family].m_samples[series.m_sample].m_value = value;
}

void MetricRegistry::Observe(SummaryHandle summary, Duration latency) {
  m_summaries[summary.Get()].Observe(latency);
}

void MetricRegistry::EndWindow() {
  for (LatencySummary& summary : m_summaries) {
    summary.EndWindow();
  }
}

std::vector<MetricFamily> MetricRegistry::Collect() const {
  std::vector<MetricFamily> families = m_families;
  for (size_t i = 0; i < m_summaries.size(); ++i) {
    const SeriesIndex series = m_summary_series[i];
    MetricSample& sample = families[series.m_family].m_samples[series.m_sample];
    sample.m_value = m_summaries[i].SumSeconds();
    sample.m_count = m_summaries[i].Count();
    sample.m_quantiles = m_summaries[i].Quantiles();
  }
  return families;
}

MetricRegistry::SeriesIndex MetricRegistry::AddSample(
    const MetricOptions& options,
    MetricType type) {
  auto family = std::find_if(m_families.begin(), m_families.end(),
                             [&](const MetricFamily& known) {
                               return known.m_name == options.m_name;
                             });
  if (family == m_families.end()) {
    family = m_families.insert(family, MetricFamily{.m_name = options.m_name,
                                                    .m_help = options.m_help,
                                                    .m_type = type,
                                                    .m_samples = {}});
  }
  family->m_samples.push_back(MetricSample{.m_labels = options.m_labels});
  return SeriesIndex{
      .m_family = static_cast<uint32_t>(family - m_families.begin()),
      .m_sample = static_cast<uint32_t>(family->m_samples.size() - 1)};
}

}  // namespace sequoiastage
