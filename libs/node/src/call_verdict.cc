#include "call_verdict_p.h"

namespace sequoiastage {

namespace {

constexpr uint16_t kShedStatus = 503;
constexpr uint16_t kFirstServerError = 500;
constexpr uint16_t kFirstRedirect = 300;

bool IsShed(const HttpResponse& answer) {
  return answer.m_status == kShedStatus &&
         FindField(answer.m_fields, "Retry-After") != nullptr;
}

}  // namespace

CallVerdict JudgeCall(const HttpCallResult& call,
                      const std::string& completeness_field) {
  switch (call.m_error) {
    case HttpCallError::kConnectFailed:
      return {AttemptResult::kNotStarted, AttemptReason::kConnectFailed,
              Outcome::kError};
    case HttpCallError::kTimeout:
      return {AttemptResult::kFailed, AttemptReason::kTimeout,
              Outcome::kTimeout};
    case HttpCallError::kIncomplete:
      return {AttemptResult::kFailed, AttemptReason::kIncompleteAnswer,
              Outcome::kIncomplete};
    case HttpCallError::kFailed:
      return {AttemptResult::kFailed, AttemptReason::kBackendError,
              Outcome::kError};
    case HttpCallError::kNone:
      break;
  }
  if (IsShed(call.m_answer)) {
    return {AttemptResult::kAnswered, AttemptReason::kShed, Outcome::kShed};
  }
  if (call.m_answer.m_status >= kFirstServerError) {
    return {AttemptResult::kAnswered, AttemptReason::kBackendError,
            Outcome::kError};
  }
  if (!completeness_field.empty() && call.m_answer.m_status < kFirstRedirect &&
      FindField(call.m_answer.m_fields, completeness_field) == nullptr) {
    return {AttemptResult::kFailed, AttemptReason::kIncompleteAnswer,
            Outcome::kIncomplete};
  }
  return {AttemptResult::kAnswered, AttemptReason::kNone, Outcome::kSuccess};
}

}  // namespace sequoiastage
