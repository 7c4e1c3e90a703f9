#include "../src/caller_request_p.h"

#include <gtest/gtest.h>

namespace sequoiastage {
namespace {

class CallerRequestTest : public testing::Test {
 protected:
  CallerRequestTest() {
    m_view.m_config = std::make_shared<const Config>();
    m_view.m_routes = std::make_shared<const RouteTable>(std::vector<Route>{
        {.m_name = "labels", .m_host = "*", .m_path = "/labels"}});
  }

  // Status code of the refusal of `target`; 0 when it is accepted.
  uint16_t GetRefusalStatus(const std::string& target) {
    Problem problem;
    const auto checked =
        CheckRequest(m_view, {.m_method = "GET", .m_target = target},
                     std::chrono::seconds(1), WallNow(), problem);
    if (checked) {
      return 0;
    }
    EXPECT_EQ(problem.m_outcome, RequestOutcome::kNotRun) << target;
    return problem.m_status;
  }

  NodeView m_view;
};

TEST_F(CallerRequestTest, DotSegmentsAreRefusedInAnyForm) {
  for (const char* target : {"/labels/../fees",
                             "/labels/..",
                             "/labels/.",
                             "/labels/./1",
                             "/..",
                             "/labels/%2e%2e/fees",
                             "/labels/%2E./fees",
                             "/labels/.%2e",
                             "/labels/%2e",
                             "/labels/%252e%252e/fees",
                             "/labels/%25252e%2e/fees",
                             "/labels/..%2ffees",
                             "/labels%2F..%2Ffees",
                             "/labels/..%252ffees",
                             "/labels/..\\fees",
                             "/labels/..%5cfees",
                             "/labels/..;v=1/fees",
                             "/labels/%2e%2e%3bv=1/fees",
                             "/labels/../fees?a=b",
                             "/labels/%2525252525252e/fees"}) {
    EXPECT_EQ(GetRefusalStatus(target), 400) << target;
  }
}

TEST_F(CallerRequestTest, OtherDotsAndPercentSignsAreServed) {
  for (const char* target :
       {"/labels", "/labels/", "/labels/1.2", "/labels/.hidden", "/labels/...",
        "/labels/a..b", "/labels/%2ehidden", "/labels/100%25", "/labels/%zz",
        "/labels/%", "/labels/1?next=/../x", "/labels/1?a=%2e%2e/",
        "/labels/a%20b"}) {
    EXPECT_EQ(GetRefusalStatus(target), 0) << target;
  }
}

}  // namespace
}  // namespace sequoiastage
