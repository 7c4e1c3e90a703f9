#ifndef SEQUOIASTAGE_BENCH_DECISION_BENCH_REPLICATION_H_
#define SEQUOIASTAGE_BENCH_DECISION_BENCH_REPLICATION_H_

#include <cstdint>

#include "sequoiastage/base/time.h"

namespace sequoiastage {

enum class ReplicationMode {
  kNone,
  /// Two replicas of each idempotent request.
  kAlways,
  /// Replicas until the probability of a response reaches a threshold that
  /// grows with the criticality of the request (Quiane-Ruiz, Lamarre,
  /// Valduriez, 2011), and only while enough slots are free.
  kThreshold,
  /// A hedged request if there is no response after m_hedge_delay.
  kHedged,
};

struct ReplicationOptions {
  ReplicationMode m_mode = ReplicationMode::kNone;
  /// Required probability of a response for criticality 0 and 1.
  double m_min_threshold = 0.99;
  double m_max_threshold = 0.9999;
  /// Probability that one execution yields no response.
  double m_failure_probability = 0.005;
  uint32_t m_max_replicas = 3;
  /// Minimum share of free slots in mode kThreshold, in 0..1.
  double m_min_free_share = 0.4;
  /// About the 99th percentile of the latency of healthy instances.
  Duration m_hedge_delay = std::chrono::milliseconds(350);
};

/// Returns the number of replicas of an idempotent request to send at once, at
/// least 1.
uint32_t CountReplicas(const ReplicationOptions& options,
                       double criticality,
                       double free_share);

/// Prints served requests, latency and executions for each mode.
void RunReplication(uint64_t seed);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_BENCH_DECISION_BENCH_REPLICATION_H_
