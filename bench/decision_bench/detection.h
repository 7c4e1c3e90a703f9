#ifndef SEQUOIASTAGE_BENCH_DECISION_BENCH_DETECTION_H_
#define SEQUOIASTAGE_BENCH_DECISION_BENCH_DETECTION_H_

#include <cstdint>

namespace sequoiastage {

struct DetectionOptions {
  uint64_t m_seed = 1;
  /// Runs of each fault scenario and policy.
  int m_trials = 100;
  /// Instance-hours of each healthy scenario and policy.
  double m_healthy_hours = 30;
  /// Requests per second and instance.
  double m_instance_rate = 5;
  /// Value of JudgeOptions::m_burst_weight.
  double m_burst_weight = 0.5;
};

/// Prints detection times and false ejections of InstanceJudge and of the naive
/// policies.
void RunDetection(const DetectionOptions& options);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_BENCH_DECISION_BENCH_DETECTION_H_
