#include "sequoiastage/health/judge_options.h"

#include <algorithm>

namespace sequoiastage {

namespace {

constexpr double kMinHours = 0.1;
constexpr double kMaxDetectionWeight = 0.9;

}  // namespace

void ApplyPolicy(const EjectionPolicy& policy, JudgeOptions& options) {
  options.m_false_ejection_hours =
      std::max(kMinHours, policy.m_false_ejection_hours);
  options.m_detection_weight =
      std::clamp(policy.m_detection_weight, 0.0, kMaxDetectionWeight);
}

JudgeOptions MakeJudgeOptions(const EjectionPolicy& policy) {
  JudgeOptions options;
  ApplyPolicy(policy, options);
  return options;
}

}  // namespace sequoiastage
