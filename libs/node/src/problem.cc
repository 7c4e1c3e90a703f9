#include "problem_p.h"

#include <nlohmann/json.hpp>

namespace sequoiastage {

HttpAnswer ToAnswer(const Problem& problem) {
  const nlohmann::json body = {{"status", problem.m_status},
                               {"title", problem.m_title},
                               {"detail", problem.m_detail},
                               {"outcome", ToString(problem.m_outcome)}};
  HttpAnswer answer{
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
