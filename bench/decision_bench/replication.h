#ifndef SEQUOIASTAGE_BENCH_DECISION_BENCH_REPLICATION_H_
#define SEQUOIASTAGE_BENCH_DECISION_BENCH_REPLICATION_H_

#include <cstdint>

#include "sequoiastage/base/time.h"

namespace sequoiastage {

enum class ReplicationMode {
  kNone,
  /// Two copies of each idempotent request.
  kAlways,
  /// Copies until the probability of an answer reaches a threshold that grows
  /// with the request's criticality (Quiane-Ruiz, Lamarre, Valduriez, 2011),
  /// and only while enough slots are free.
  kThreshold,
  /// A second copy when there is no answer after m_hedge_delay.
  kHedged,
};

struct ReplicationOptions {
  ReplicationMode m_mode = ReplicationMode::kNone;
  /// Bounds of the wanted probability of an answer, for criticality 0 and 1.
  double m_min_threshold = 0.99;
  double m_max_threshold = 0.9999;
  /// Probability that one execution brings no answer.
  double m_failure_probability = 0.005;
  uint32_t m_max_copies = 3;
  /// Least share of free slots for copies by threshold.
  double m_min_free_share = 0.4;
  /// About the 99th percentile of the latency of healthy instances.
  Duration m_hedge_delay = std::chrono::milliseconds(350);
};

/// Copies of an idempotent request to send at once.
uint32_t CopiesOf(const ReplicationOptions& options,
                  double criticality,
                  double free_share);

/// Prints served requests, latency and executions for each mode.
void RunReplication(uint64_t seed);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_BENCH_DECISION_BENCH_REPLICATION_H_
