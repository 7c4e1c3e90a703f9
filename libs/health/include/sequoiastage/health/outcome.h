#ifndef SEQUOIASTAGE_HEALTH_OUTCOME_H_
#define SEQUOIASTAGE_HEALTH_OUTCOME_H_

#include <cstdint>

namespace sequoiastage {

/// How a piece of real work ended at an instance.
enum class Outcome : uint8_t {
  kSuccess,
  /// Answered with a server error, or the connection broke.
  kError,
  /// No answer within the deadline.
  kTimeout,
  /// The answer was cut short or failed its completeness check.
  kIncomplete,
  /// The instance refused because it was full. No failure and no success.
  kShed,
  /// The caller gave up. No failure and no success.
  kCancelled,
};

/// Whether `outcome` speaks against the instance.
constexpr bool IsFailure(Outcome outcome) {
  return outcome == Outcome::kError || outcome == Outcome::kTimeout ||
         outcome == Outcome::kIncomplete;
}

/// What the judge of an instance wants done with it.
enum class Verdict : uint8_t {
  kHealthy,
  /// Comes last in the order of selection; only probation work otherwise.
  kSuspect,
  /// As suspect, and should get no work once a grant allows that.
  kEjectionWanted,
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_HEALTH_OUTCOME_H_
