#include "sequoiastage/metrics/latency_summary.h"

#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cmath>

namespace sequoiastage {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 4> kRanks = {0.5, 0.9, 0.99, 0.999};

// The estimator needs 2 * ranks + 3 observations before its values are
// meaningful. Up to this many observations the quantiles are exact.
constexpr size_t kExactObservations = 32;

using Estimator =
    acc::accumulator_set<double, acc::stats<acc::tag::extended_p_square>>;

}  // namespace

struct LatencySummary::Window {
  std::vector<double> m_first_observations;
  uint64_t m_count = 0;
  Estimator m_estimator{acc::tag::extended_p_square::probabilities = kRanks};

  void Observe(double seconds) {
    ++m_count;
    m_estimator(seconds);
    if (m_first_observations.size() < kExactObservations) {
      m_first_observations.push_back(seconds);
    }
  }

  double Value(size_t rank_index) const {
    if (m_count > kExactObservations) {
      return acc::extended_p_square(m_estimator)[static_cast<long>(rank_index)];
    }
    std::vector<double> sorted = m_first_observations;
    std::sort(sorted.begin(), sorted.end());
    const double position =
        std::ceil(kRanks[rank_index] * static_cast<double>(sorted.size()));
    return sorted[static_cast<size_t>(position) - 1];
  }
};

LatencySummary::LatencySummary() : m_running(std::make_unique<Window>()) {}
LatencySummary::~LatencySummary() = default;
LatencySummary::LatencySummary(LatencySummary&&) noexcept = default;
LatencySummary& LatencySummary::operator=(LatencySummary&&) noexcept = default;

void LatencySummary::Observe(Duration latency) {
  const double seconds = std::chrono::duration<double>(latency).count();
  ++m_count;
  m_sum_seconds += seconds;
  m_running->Observe(seconds);
}

void LatencySummary::EndWindow() {
  m_complete = std::move(m_running);
  m_running = std::make_unique<Window>();
}

std::vector<MetricQuantile> LatencySummary::Quantiles() const {
  const Window& window = m_complete ? *m_complete : *m_running;
  std::vector<MetricQuantile> quantiles;
  if (window.m_count == 0) {
    return quantiles;
  }
  for (size_t i = 0; i < kRanks.size(); ++i) {
    quantiles.push_back({.m_rank = kRanks[i], .m_value = window.Value(i)});
  }
  return quantiles;
}

}  // namespace sequoiastage
