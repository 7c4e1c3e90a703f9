#ifndef SEQUOIASTAGE_BENCH_DECISION_BENCH_SCENARIO_H_
#define SEQUOIASTAGE_BENCH_DECISION_BENCH_SCENARIO_H_

#include <string_view>

#include "sequoiastage/base/time.h"

namespace sequoiastage {

/// What goes wrong. In the first group instance 0 fails; in the second every
/// instance is healthy and none may be ejected.
enum class Scenario {
  kHang,
  kErrors30,
  kErrors100,
  kSlow,
  kFlapping,
  kTruncated,

  kHealthy,
  kBursts,
  kColdStart,
  kOverload,
};

inline constexpr Scenario kFaultScenarios[] = {
    Scenario::kHang, Scenario::kErrors30, Scenario::kErrors100,
    Scenario::kSlow, Scenario::kFlapping, Scenario::kTruncated};

inline constexpr Scenario kHealthyScenarios[] = {
    Scenario::kHealthy, Scenario::kBursts, Scenario::kColdStart,
    Scenario::kOverload};

std::string_view NameOf(Scenario scenario);

/// How an instance treats work and probes at some moment.
struct Condition {
  double m_latency_factor = 1;
  double m_error_share = 0.002;
  double m_shed_share = 0;
  double m_probe_failure_share = 0.001;
  bool m_hangs = false;
  /// Failures are cut answers that look like successes to a status code check.
  bool m_truncates = false;

  bool IsSick() const {
    return m_hangs || m_latency_factor >= 5 || m_error_share >= 0.3;
  }
};

/// Condition of instance `instance` at `since_fault` after the fault's start
/// (negative before it). `in_burst` is set during the short error bursts of
/// the scenario kBursts.
Condition ConditionOf(Scenario scenario,
                      size_t instance,
                      Duration since_fault,
                      bool in_burst);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_BENCH_DECISION_BENCH_SCENARIO_H_
