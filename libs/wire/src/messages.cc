#include "sequoiastage/wire/messages.h"

#include <type_traits>

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

std::optional<SequenceKey> SequenceOf(const Message& message) {
  return std::visit(
      [](const auto& value) -> std::optional<SequenceKey> {
        using Value = std::decay_t<decltype(value)>;
        if constexpr (std::is_same_v<Value, TaggedOfferMessage>) {
          return SequenceKey(value.m_offer.m_attempt.Get());
        } else if constexpr (requires {
                               requires std::is_same_v<
                                   decltype(value.m_attempt), AttemptNumber>;
                             }) {
          return SequenceKey(value.m_attempt.Get());
        } else if constexpr (std::is_same_v<Value, RelayMessage>) {
          // Attempts are numbered from 1 in each incarnation of their ingress.
          return SequenceKey(UINT64_MAX);
        }
        return std::nullopt;
      },
      message);
}

}  // namespace sequoiastage
