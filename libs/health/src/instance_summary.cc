#include "sequoiastage/health/instance_summary.h"

#include <algorithm>
#include <vector>

#include "sequoiastage/health/outcome_window.h"

namespace sequoiastage {

namespace {

using Siblings = std::vector<const SiblingSummary*>;

constexpr double kRankQuantile = 0.75;
constexpr double kSecondsPerHour = 3600;

// Mean of the failure share after `outcomes` with Jeffreys' prior, so that few
// outcomes don't claim a share of 0.
double FailureShare(uint64_t failures, uint64_t outcomes) {
  return (static_cast<double>(failures) + 0.5) /
         (static_cast<double>(outcomes) + 1.0);
}

bool HasWork(const InstanceSummary& summary) {
  return summary.m_outcomes > 0 || summary.m_latencies.Total() > 0;
}

Siblings Usable(std::span<const SiblingSummary> siblings,
                TimePoint now,
                const BaselineOptions& options) {
  Siblings usable;
  for (const SiblingSummary& sibling : siblings) {
    if (sibling.m_received + options.m_summary_ttl >= now &&
        HasWork(sibling.m_summary)) {
      usable.push_back(&sibling);
    }
  }
  return usable;
}

// Sorts by `rank` and drops the greatest.
template <class Rank>
Siblings Trimmed(const Siblings& siblings, double trimmed_share, Rank rank) {
  std::vector<std::pair<double, const SiblingSummary*>> ranked;
  ranked.reserve(siblings.size());
  for (const SiblingSummary* sibling : siblings) {
    ranked.emplace_back(rank(sibling->m_summary), sibling);
  }
  std::sort(ranked.begin(), ranked.end());
  const auto dropped =
      static_cast<size_t>(trimmed_share * static_cast<double>(ranked.size()));
  Siblings kept;
  for (size_t i = 0; i + dropped < ranked.size(); ++i) {
    kept.push_back(ranked[i].second);
  }
  return kept;
}

TimePoint MedianReceipt(const Siblings& siblings) {
  std::vector<TimePoint> times;
  times.reserve(siblings.size());
  for (const SiblingSummary* sibling : siblings) {
    times.push_back(sibling->m_received);
  }
  const auto middle =
      times.begin() + static_cast<std::ptrdiff_t>((times.size() - 1) / 2);
  std::nth_element(times.begin(), middle, times.end());
  return *middle;
}

void FillFailures(const Siblings& siblings, PeerBaseline& baseline) {
  uint64_t recent_outcomes = 0;
  uint64_t recent_failures = 0;
  uint64_t outcomes = 0;
  uint64_t failures = 0;
  for (const SiblingSummary* sibling : siblings) {
    recent_outcomes += sibling->m_summary.m_recent_outcomes;
    recent_failures += sibling->m_summary.m_recent_failures;
    outcomes += sibling->m_summary.m_outcomes;
    failures += sibling->m_summary.m_failures;
  }
  // A recent share without a failure is no reason to raise the share.
  const double recent =
      recent_failures == 0 ? 0 : FailureShare(recent_failures, recent_outcomes);
  baseline.m_failure_share = std::max(recent, FailureShare(failures, outcomes));
  baseline.m_outcomes_per_hour =
      static_cast<double>(outcomes) / static_cast<double>(siblings.size()) *
      kSecondsPerHour / static_cast<double>(OutcomeWindow::kSlots);
}

void FillLatencies(const Siblings& siblings, PeerBaseline& baseline) {
  LatencyHistogram pooled;
  for (const SiblingSummary* sibling : siblings) {
    pooled.Merge(sibling->m_summary.m_latencies);
  }
  baseline.m_latency_samples = pooled.Total();
  baseline.m_latency_p50 = pooled.Quantile(0.5);
  baseline.m_latency_p95 = pooled.Quantile(0.95);
  baseline.m_latency_p99 = pooled.Quantile(0.99);
}

}  // namespace

PeerBaseline MakePeerBaseline(std::span<const SiblingSummary> siblings,
                              TimePoint now,
                              const BaselineOptions& options) {
  PeerBaseline baseline;
  const Siblings usable = Usable(siblings, now, options);
  if (usable.empty()) {
    return baseline;
  }
  baseline.m_peers = static_cast<uint32_t>(usable.size());
  baseline.m_as_of = MedianReceipt(usable) - options.m_transit_time;
  FillFailures(Trimmed(usable, options.m_trimmed_share,
                       [](const InstanceSummary& summary) {
                         return FailureShare(summary.m_failures,
                                             summary.m_outcomes);
                       }),
               baseline);
  FillLatencies(
      Trimmed(usable, options.m_trimmed_share,
              [](const InstanceSummary& summary) {
                return static_cast<double>(
                    summary.m_latencies.Quantile(kRankQuantile).count());
              }),
      baseline);
  return baseline;
}

}  // namespace sequoiastage
