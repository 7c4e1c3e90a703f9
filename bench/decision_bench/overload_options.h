#ifndef SEQUOIASTAGE_BENCH_DECISION_BENCH_OVERLOAD_OPTIONS_H_
#define SEQUOIASTAGE_BENCH_DECISION_BENCH_OVERLOAD_OPTIONS_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "replication.h"
#include "sequoiastage/base/time.h"

namespace sequoiastage {

/// Fault of a gray instance from the start of the measurement on.
enum class GrayFault { kHang, kFastErrors, kSlow };

struct OverloadOptions {
  size_t m_instances = 12;
  uint32_t m_slots = 3;
  Duration m_service_time = std::chrono::milliseconds(150);
  double m_latency_sigma = 0.4;
  Duration m_deadline = std::chrono::seconds(2);
  double m_idempotent_share = 0.8;
  /// Share of the requests that the small account sends.
  double m_small_account_share = 0.05;
  /// Load as a multiple of Capacity().
  double m_load = 1;
  /// Faults of the first instances, one each; the others are healthy.
  std::vector<GrayFault> m_gray;
  ReplicationOptions m_replication;
  Duration m_warm_up = std::chrono::seconds(40);
  Duration m_run_time = std::chrono::seconds(60);
  uint64_t m_seed = 1;

  /// Requests per second that all slots together can serve.
  double Capacity() const {
    const double mean_s = std::chrono::duration<double>(m_service_time).count();
    return static_cast<double>(m_instances * m_slots) / mean_s;
  }
};

struct OverloadStats {
  uint64_t m_requests = 0;
  /// Requests answered successfully within the deadline.
  uint64_t m_good = 0;
  uint64_t m_small_requests = 0;
  uint64_t m_small_good = 0;
  /// Requests of criticality 1.
  uint64_t m_critical_requests = 0;
  uint64_t m_critical_good = 0;
  /// Attempts that an instance started to execute.
  uint64_t m_executions = 0;
  /// Seconds from arrival to the final response, of good and of refused
  /// requests.
  std::vector<double> m_good_seconds;
  std::vector<double> m_refused_seconds;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_BENCH_DECISION_BENCH_OVERLOAD_OPTIONS_H_
