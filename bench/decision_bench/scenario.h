#ifndef SEQUOIASTAGE_BENCH_DECISION_BENCH_SCENARIO_H_
#define SEQUOIASTAGE_BENCH_DECISION_BENCH_SCENARIO_H_

#include <string_view>

#include "sequoiastage/base/time.h"

namespace sequoiastage {

/// The fault of a run. In the first group instance 0 fails; in the second every
/// instance is healthy and any ejection is a false one.
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

std::string_view ToString(Scenario scenario);

/// How an instance handles requests and probes at a given time.
struct Condition {
  double m_latency_factor = 1;
  double m_error_share = 0.002;
  double m_shed_share = 0;
  double m_probe_failure_share = 0.001;
  bool m_hangs = false;
  /// Failures are truncated responses with a successful status code.
  bool m_truncates = false;

  bool IsFailing() const {
    return m_hangs || m_latency_factor >= 5 || m_error_share >= 0.3;
  }
};

/// Returns the condition of instance `instance` at `since_fault` after the
/// start of the fault (negative before it). `in_burst` is true during the short
/// error bursts of the scenario kBursts.
Condition MakeCondition(Scenario scenario,
                        size_t instance,
                        Duration since_fault,
                        bool in_burst);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_BENCH_DECISION_BENCH_SCENARIO_H_
