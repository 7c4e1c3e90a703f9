#include "sequoiastage/metrics/latency_buckets.h"

#include <boost/histogram.hpp>
#include <limits>
#include <utility>
#include <vector>

namespace sequoiastage {

namespace {

// Upper bounds in seconds: the default buckets of Prometheus clients, with more
// below 10 ms, the range of the latency that a node itself adds.
const std::vector<double>& Bounds() {
  static const std::vector<double> kBounds = {
      0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10};
  return kBounds;
}

auto MakeHistogram() {
  std::vector<double> edges = {-std::numeric_limits<double>::min()};
  edges.insert(edges.end(), Bounds().begin(), Bounds().end());
  return boost::histogram::make_histogram(
      boost::histogram::axis::variable<>(edges));
}

}  // namespace

struct LatencyBuckets::Counts {
  decltype(MakeHistogram()) m_histogram = MakeHistogram();
};

LatencyBuckets::LatencyBuckets() : m_counts(std::make_unique<Counts>()) {}
LatencyBuckets::~LatencyBuckets() = default;
LatencyBuckets::LatencyBuckets(LatencyBuckets&&) noexcept = default;
LatencyBuckets& LatencyBuckets::operator=(LatencyBuckets&&) noexcept = default;

void LatencyBuckets::Observe(Duration latency) {
  const double seconds = std::chrono::duration<double>(latency).count();
  m_counts->m_histogram(seconds);
  m_sum_seconds += seconds;
}

MetricSample LatencyBuckets::Sample(std::vector<MetricLabel> labels) const {
  MetricSample sample{.m_labels = std::move(labels), .m_value = m_sum_seconds};
  double count = 0;
  for (size_t i = 0; i < Bounds().size(); ++i) {
    count += m_counts->m_histogram.at(static_cast<int>(i));
    sample.m_buckets.push_back({.m_upper_bound = Bounds()[i],
                                .m_count = static_cast<uint64_t>(count)});
  }
  count += m_counts->m_histogram.at(static_cast<int>(Bounds().size()));
  sample.m_count = static_cast<uint64_t>(count);
  return sample;
}

}  // namespace sequoiastage
