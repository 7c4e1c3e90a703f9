#include "problem_p.h"

#include <nlohmann/json.hpp>

namespace sequoiastage {

std::string_view Explain(AttemptReason reason) {
  switch (reason) {
    case AttemptReason::kNone:
      return "no instance of the service is known to be in service";
    case AttemptReason::kBusy:
      return "the instances that were tried have no free slot";
    case AttemptReason::kDraining:
      return "the instance takes no new work";
    case AttemptReason::kUnknownInstance:
    case AttemptReason::kWrongIncarnation:
      return "the node beside the instance has started anew";
    case AttemptReason::kPastDeadline:
      return "its deadline passed before it could start";
    case AttemptReason::kDuplicate:
      return "it is a copy of an earlier attempt";
    case AttemptReason::kCancelled:
      return "it was cancelled before it started";
    case AttemptReason::kConnectFailed:
      return "no connection could be opened";
    case AttemptReason::kTimeout:
      return "no answer came in time";
    case AttemptReason::kIncompleteAnswer:
      return "the answer was cut short";
    case AttemptReason::kBackendError:
      return "the backend server failed";
    case AttemptReason::kShed:
      return "the backend server refused the work";
    case AttemptReason::kSuspect:
      return "the instance does not work well";
    case AttemptReason::kRetryBudget:
      return "the retry budget of the service is used up";
  }
  return "for an unknown reason";
}

HttpResponse ToAnswer(const Problem& problem) {
  nlohmann::json body = {{"status", problem.m_status},
                         {"title", problem.m_title},
                         {"detail", problem.m_detail},
                         {"outcome", ToString(problem.m_outcome)}};
  if (problem.m_reason) {
    body["reason"] = ToString(*problem.m_reason);
  }
  HttpResponse answer{
      .m_status = problem.m_status,
      .m_fields = {{"Content-Type", "application/problem+json"},
                   {kOutcomeField, std::string(ToString(problem.m_outcome))}},
      .m_body =
          body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
          "\n"};
  if (problem.m_retry_after) {
    answer.m_fields.push_back(
        {"Retry-After", std::to_string(*problem.m_retry_after)});
  }
  return answer;
}

}  // namespace sequoiastage
