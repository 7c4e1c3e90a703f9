#ifndef SEQUOIASTAGE_HEALTH_INSTANCE_SUMMARY_H_
#define SEQUOIASTAGE_HEALTH_INSTANCE_SUMMARY_H_

#include <cstdint>
#include <span>

#include "sequoiastage/base/time.h"
#include "sequoiastage/health/latency_histogram.h"

namespace sequoiastage {

/// What the egress of one instance tells the egresses of the service's other
/// instances: counts of real work, nothing from probes. Small enough to be
/// sent a few times a second.
struct InstanceSummary {
  /// Outcomes and failures among them in the last 1 to 2 s.
  uint16_t m_recent_outcomes = 0;
  uint16_t m_recent_failures = 0;
  /// Outcomes and failures among them in the last 9 to 10 s.
  uint16_t m_outcomes = 0;
  uint16_t m_failures = 0;
  /// Latencies of the last 9 to 10 s. Work in flight for longer than
  /// usual is included with its age, so that a hang of all instances shows.
  LatencyHistogram m_latencies;

  friend bool operator==(const InstanceSummary&,
                         const InstanceSummary&) = default;
};

/// Summary of a sibling as it is held by the receiver.
struct SiblingSummary {
  InstanceSummary m_summary;
  /// When it was received, on the receiver's clock.
  TimePoint m_received;
};

/// How the service's other instances do. An instance is judged against it, so
/// that what fails everywhere singles out none.
struct PeerBaseline {
  /// Peers with real work in their summary. With none, no instance is ever
  /// wanted ejected.
  uint32_t m_peers = 0;
  /// Real work up to here is covered by the summaries.
  TimePoint m_as_of;
  /// Share of failures (0 to 1), the greater of the last 2 s and last 10 s.
  double m_failure_share = 0;
  /// Outcomes of one peer in an hour.
  double m_outcomes_per_hour = 0;
  /// Number of latencies behind the quantiles.
  uint64_t m_latency_samples = 0;
  Duration m_latency_p50{0};
  Duration m_latency_p95{0};
  Duration m_latency_p99{0};
};

struct BaselineOptions {
  /// Summaries received longer ago are left out.
  Duration m_summary_ttl = std::chrono::seconds(3);
  /// Longest time from a sibling's reading of its counts to their receipt.
  Duration m_transit_time = std::chrono::milliseconds(100);
  /// This share of the peers, those with most failures (and, apart from that,
  /// those with the longest latencies), is left out, so that a few failing
  /// peers don't hide one another.
  double m_trimmed_share = 0.25;
};

/// Pools the summaries of the service's other instances. The instance's own
/// summary must not be among them.
PeerBaseline MakePeerBaseline(std::span<const SiblingSummary> siblings,
                              TimePoint now,
                              const BaselineOptions& options = {});

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_HEALTH_INSTANCE_SUMMARY_H_
