#include "../src/problem_p.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace sequoiastage {
namespace {

TEST(ProblemTest, TellsThePersonAndTheProgramWhy) {
  const HttpResponse answer =
      ToAnswer(Problem{.m_status = 503,
                       .m_title = "Not run",
                       .m_detail = "The request was not run.",
                       .m_retry_after = 2,
                       .m_reason = AttemptReason::kBusy});
  const auto body = nlohmann::json::parse(answer.m_body);
  EXPECT_EQ(body.at("reason"), "busy");
  EXPECT_EQ(body.at("outcome"), "not-run");
  EXPECT_EQ(*FindField(answer.m_fields, "Retry-After"), "2");
}

TEST(ProblemTest, EveryReasonHasAnExplanation) {
  for (int value = 0; value <= static_cast<int>(AttemptReason::kSuspect);
       ++value) {
    const auto reason = static_cast<AttemptReason>(value);
    EXPECT_NE(Explain(reason), Explain(static_cast<AttemptReason>(255)))
        << ToString(reason);
  }
}

}  // namespace
}  // namespace sequoiastage
