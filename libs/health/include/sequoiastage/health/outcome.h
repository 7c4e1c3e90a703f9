#ifndef SEQUOIASTAGE_HEALTH_OUTCOME_H_
#define SEQUOIASTAGE_HEALTH_OUTCOME_H_

#include <cstdint>

namespace sequoiastage {

/// Outcome of a request at an instance.
enum class Outcome : uint8_t {
  kSuccess,
  /// The response was a server error, or the connection broke.
  kError,
  /// No response within the deadline.
  kTimeout,
  /// The response was truncated or failed its completeness check.
  kIncomplete,
  /// The instance refused the request because it was at capacity. Neither a
  /// failure nor a success.
  kShed,
  /// The caller cancelled the request. Neither a failure nor a success.
  kCancelled,
};

/// Whether `outcome` counts against the instance.
constexpr bool IsFailure(Outcome outcome) {
  return outcome == Outcome::kError || outcome == Outcome::kTimeout ||
         outcome == Outcome::kIncomplete;
}

/// Verdict of InstanceJudge on its instance.
enum class Verdict : uint8_t {
  kHealthy,
  /// Receives probation requests, and other ones only as the last choice.
  kSuspect,
  /// As kSuspect, and to be ejected as soon as a grant permits it.
  kEjectionDue,
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_HEALTH_OUTCOME_H_
