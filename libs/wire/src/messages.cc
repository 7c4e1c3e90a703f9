#include "sequoiastage/wire/messages.h"

#include <strings.h>

namespace sequoiastage {

const std::string* FindField(const std::vector<HttpField>& fields,
                             std::string_view name) {
  for (const HttpField& field : fields) {
    if (field.m_name.size() == name.size() &&
        strncasecmp(field.m_name.data(), name.data(), name.size()) == 0) {
      return &field.m_value;
    }
  }
  return nullptr;
}

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
    case AttemptReason::kIncompleteAnswer:
      return "incomplete-answer";
    case AttemptReason::kBackendError:
      return "backend-error";
    case AttemptReason::kShed:
      return "shed";
    case AttemptReason::kSuspect:
      return "suspect";
  }
  return "invalid";
}

std::string_view ToString(Outcome outcome) {
  switch (outcome) {
    case Outcome::kAnswered:
      return "answered";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      break;
  }
  return "unknown";
}

}  // namespace sequoiastage
