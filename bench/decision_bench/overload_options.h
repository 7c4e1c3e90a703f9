#ifndef SEQUOIASTAGE_BENCH_DECISION_BENCH_OVERLOAD_OPTIONS_H_
#define SEQUOIASTAGE_BENCH_DECISION_BENCH_OVERLOAD_OPTIONS_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "replication.h"
#include "sequoiastage/base/time.h"

namespace sequoiastage {

/// How a gray instance fails from the start of the measurement on.
enum class GrayFault { kHang, kFastErrors, kSlow };

struct OverloadOptions {
  size_t m_instances = 12;
  uint32_t m_slots = 3;
  Duration m_service_time = std::chrono::milliseconds(150);
  double m_latency_sigma = 0.4;
  Duration m_deadline = std::chrono::seconds(2);
  double m_idempotent_share = 0.8;
  /// Share of the requests that come from the small account.
  double m_small_account_share = 0.05;
  /// Load as multiple of what all slots can do.
  double m_load = 1;
  /// Faults of the first instances.
  std::vector<GrayFault> m_gray;
  ReplicationOptions m_replication;
  Duration m_warm_up = std::chrono::seconds(40);
  Duration m_run_time = std::chrono::seconds(60);
  uint64_t m_seed = 1;

  /// Requests a second that all slots can do.
  double Capacity() const {
    const double mean_s = std::chrono::duration<double>(m_service_time).count();
    return static_cast<double>(m_instances * m_slots) / mean_s;
  }
};

struct OverloadStats {
  uint64_t m_requests = 0;
  /// Answered well within the deadline.
  uint64_t m_good = 0;
  uint64_t m_small_requests = 0;
  uint64_t m_small_good = 0;
  /// Requests of criticality 1.
  uint64_t m_critical_requests = 0;
  uint64_t m_critical_good = 0;
  /// Attempts that reached an instance.
  uint64_t m_executions = 0;
  /// From arrival to the final answer, in s, of good and of refused ones.
  std::vector<double> m_good_seconds;
  std::vector<double> m_refused_seconds;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_BENCH_DECISION_BENCH_OVERLOAD_OPTIONS_H_
