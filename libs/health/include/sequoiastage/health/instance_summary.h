#ifndef SEQUOIASTAGE_HEALTH_INSTANCE_SUMMARY_H_
#define SEQUOIASTAGE_HEALTH_INSTANCE_SUMMARY_H_

#include <cstdint>
#include <span>

#include "sequoiastage/base/time.h"
#include "sequoiastage/health/latency_histogram.h"

namespace sequoiastage {

/// Health summary that the egress of one instance sends to the egresses of the
/// service's other instances: counts of real traffic, without probes. Small
/// enough to be sent a few times a second.
struct InstanceSummary {
  /// Outcomes, and the failures among them, in the last 1 to 2 s.
  uint16_t m_recent_outcomes = 0;
  uint16_t m_recent_failures = 0;
  /// Outcomes, and the failures among them, in the last 9 to 10 s.
  uint16_t m_outcomes = 0;
  uint16_t m_failures = 0;
  /// Latencies of the last 9 to 10 s. Requests in flight for longer than usual
  /// are included with their age, so that a hang of all instances is visible.
  LatencyHistogram m_latencies;

  friend bool operator==(const InstanceSummary&,
                         const InstanceSummary&) = default;
};

/// Summary of a peer, as stored by the receiver.
struct PeerSummary {
  InstanceSummary m_summary;
  /// Time of receipt on the receiver's clock.
  TimePoint m_received;
};

/// Behaviour of the service's other instances. Each instance is compared with
/// it, so that a failure common to all instances ejects none of them.
struct PeerBaseline {
  /// Number of peers with real traffic in their summary. With none, no ejection
  /// is ever due.
  uint32_t m_peer_count = 0;
  /// The summaries cover real traffic up to this time.
  TimePoint m_as_of;
  /// Share of failures (0 to 1): the greater of the last 2 s and the last 10 s.
  double m_failure_share = 0;
  /// Average rate of outcomes of one peer.
  double m_outcomes_per_hour = 0;
  /// Number of latency samples behind the quantiles.
  uint64_t m_latency_samples = 0;
  Duration m_latency_p50{0};
  Duration m_latency_p95{0};
  Duration m_latency_p99{0};
};

struct BaselineOptions {
  /// Summaries older than this are ignored.
  Duration m_summary_ttl = std::chrono::seconds(3);
  /// Longest time from when a peer reads its counts to their receipt.
  Duration m_transit_time = std::chrono::milliseconds(100);
  /// This share of the peers with the most failures (and, separately, with the
  /// longest latencies) is left out, so that a few failing peers don't mask one
  /// another.
  double m_trimmed_share = 0.25;
};

/// Pools the summaries of the service's other instances. `peers` must not
/// include the summary of the judged instance itself.
PeerBaseline MakePeerBaseline(std::span<const PeerSummary> peers,
                              TimePoint now,
                              const BaselineOptions& options = {});

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_HEALTH_INSTANCE_SUMMARY_H_
