#include "sequoiastage/wire/messages.h"

namespace sequoiastage {

std::string_view ToString(AttemptReason reason) {
  switch (reason) {
    case AttemptReason::kNone:
      return "none";
    case AttemptReason::kBusy:
      return "busy";
    case AttemptReason::kDraining:
      return "draining";
    case AttemptReason::kUnknownInstance:
      return "unknown-instance";
    case AttemptReason::kWrongIncarnation:
      return "wrong-incarnation";
    case AttemptReason::kPastDeadline:
      return "past-deadline";
    case AttemptReason::kDuplicate:
      return "duplicate";
    case AttemptReason::kCancelled:
      return "cancelled";
    case AttemptReason::kConnectFailed:
      return "connect-failed";
    case AttemptReason::kTimeout:
      return "timeout";
    case AttemptReason::kIncompleteResponse:
      return "incomplete-answer";
    case AttemptReason::kBackendError:
      return "backend-error";
    case AttemptReason::kShed:
      return "shed";
    case AttemptReason::kSuspect:
      return "suspect";
    case AttemptReason::kRetryBudget:
      return "retry-budget";
    case AttemptReason::kInstanceLeft:
      return "instance-left";
    case AttemptReason::kInstanceCrashed:
      return "instance-crashed";
    case AttemptReason::kQuarantined:
      return "quarantined";
    case AttemptReason::kDownstreamBusy:
      return "downstream-busy";
  }
  return "invalid";
}

std::string_view ToString(RequestOutcome outcome) {
  switch (outcome) {
    case RequestOutcome::kAnswered:
      return "answered";
    case RequestOutcome::kNotRun:
      return "not-run";
    case RequestOutcome::kUnknown:
      break;
  }
  return "unknown";
}

}  // namespace sequoiastage
