#include <gtest/gtest.h>

#include "../src/caller_request_p.h"

namespace sequoiastage {
namespace {

NodeView BuildView() {
  auto config = std::make_shared<Config>();
  config->m_services = SharedList<Service>(
      {{.m_name = "plans", .m_id = MakeServiceId("plans")}});
  config->m_routes = SharedList<Route>({{.m_name = "plans",
                                         .m_host = "*",
                                         .m_path = "/plans",
                                         .m_service = MakeServiceId("plans")}});
  config->m_accounts = SharedList<Account>({{.m_name = "families",
                                             .m_id = MakeAccountId("families"),
                                             .m_share = 4}});
  return {.m_config = config,
          .m_routes = std::make_shared<const RouteTable>(config->m_routes)};
}

double GetAccountShare(const std::string& account) {
  Problem problem;
  const auto checked =
      CheckRequest(BuildView(),
                   {.m_method = "GET",
                    .m_host = "move.example",
                    .m_target = "/plans/1",
                    .m_fields = {{"Sequoiastage-Account", account}}},
                   std::chrono::seconds(1), WallNow(), problem);
  EXPECT_TRUE(checked.has_value()) << problem.m_detail;
  return checked ? checked->m_run.m_account_share : 0;
}

TEST(AccountShareTest, ConfiguredShareIsAttachedToTheRequest) {
  EXPECT_EQ(GetAccountShare("families"), 4);
  EXPECT_EQ(GetAccountShare("somebody"), 1);
}

}  // namespace
}  // namespace sequoiastage
