#include "sequoiastage/health/instance_summary.h"

#include <algorithm>
#include <vector>

#include "sequoiastage/health/outcome_window.h"

namespace sequoiastage {

namespace {

using Peers = std::vector<const PeerSummary*>;

constexpr double kRankQuantile = 0.75;
constexpr double kSecondsPerHour = 3600;

// Posterior mean of the failure share with Jeffreys' prior, so that a small
// number of outcomes doesn't give a share of 0.
double FailureShare(uint64_t failures, uint64_t outcomes) {
  return (static_cast<double>(failures) + 0.5) /
         (static_cast<double>(outcomes) + 1.0);
}

bool HasTraffic(const InstanceSummary& summary) {
  return summary.m_outcomes > 0 || summary.m_latencies.Total() > 0;
}

Peers SelectUsable(std::span<const PeerSummary> peers,
                   TimePoint now,
                   const BaselineOptions& options) {
  Peers usable;
  for (const PeerSummary& peer : peers) {
    if (peer.m_received + options.m_summary_ttl >= now &&
        HasTraffic(peer.m_summary)) {
      usable.push_back(&peer);
    }
  }
  return usable;
}

// Sorts by `rank` and leaves out the `trimmed_share` with the highest ranks.
template <class Rank>
Peers TrimHighest(const Peers& peers, double trimmed_share, Rank rank) {
  std::vector<std::pair<double, const PeerSummary*>> ranked;
  ranked.reserve(peers.size());
  for (const PeerSummary* peer : peers) {
    ranked.emplace_back(rank(peer->m_summary), peer);
  }
  std::sort(ranked.begin(), ranked.end());
  const auto dropped =
      static_cast<size_t>(trimmed_share * static_cast<double>(ranked.size()));
  Peers kept;
  for (size_t i = 0; i + dropped < ranked.size(); ++i) {
    kept.push_back(ranked[i].second);
  }
  return kept;
}

TimePoint MedianReceiveTime(const Peers& peers) {
  std::vector<TimePoint> times;
  times.reserve(peers.size());
  for (const PeerSummary* peer : peers) {
    times.push_back(peer->m_received);
  }
  const auto middle =
      times.begin() + static_cast<std::ptrdiff_t>((times.size() - 1) / 2);
  std::nth_element(times.begin(), middle, times.end());
  return *middle;
}

void FillFailures(const Peers& peers, PeerBaseline& baseline) {
  uint64_t recent_outcomes = 0;
  uint64_t recent_failures = 0;
  uint64_t outcomes = 0;
  uint64_t failures = 0;
  for (const PeerSummary* peer : peers) {
    recent_outcomes += peer->m_summary.m_recent_outcomes;
    recent_failures += peer->m_summary.m_recent_failures;
    outcomes += peer->m_summary.m_outcomes;
    failures += peer->m_summary.m_failures;
  }
  // Without recent failures the prior alone must not raise the share.
  const double recent =
      recent_failures == 0 ? 0 : FailureShare(recent_failures, recent_outcomes);
  baseline.m_failure_share = std::max(recent, FailureShare(failures, outcomes));
  baseline.m_outcomes_per_hour =
      static_cast<double>(outcomes) / static_cast<double>(peers.size()) *
      kSecondsPerHour / static_cast<double>(OutcomeWindow::kSlots);
}

void FillLatencies(const Peers& peers, PeerBaseline& baseline) {
  LatencyHistogram pooled;
  for (const PeerSummary* peer : peers) {
    pooled.Merge(peer->m_summary.m_latencies);
  }
  baseline.m_latency_samples = pooled.Total();
  baseline.m_latency_p50 = pooled.Quantile(0.5);
  baseline.m_latency_p95 = pooled.Quantile(0.95);
  baseline.m_latency_p99 = pooled.Quantile(0.99);
}

}  // namespace

PeerBaseline MakePeerBaseline(std::span<const PeerSummary> peers,
                              TimePoint now,
                              const BaselineOptions& options) {
  PeerBaseline baseline;
  const Peers usable = SelectUsable(peers, now, options);
  if (usable.empty()) {
    return baseline;
  }
  baseline.m_peer_count = static_cast<uint32_t>(usable.size());
  baseline.m_as_of = MedianReceiveTime(usable) - options.m_transit_time;
  FillFailures(TrimHighest(usable, options.m_trimmed_share,
                           [](const InstanceSummary& summary) {
                             return FailureShare(summary.m_failures,
                                                 summary.m_outcomes);
                           }),
               baseline);
  FillLatencies(
      TrimHighest(usable, options.m_trimmed_share,
                  [](const InstanceSummary& summary) {
                    return static_cast<double>(
                        summary.m_latencies.Quantile(kRankQuantile).count());
                  }),
      baseline);
  return baseline;
}

}  // namespace sequoiastage
