#include "sequoiastage/config/traffic_config.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sequoiastage {
namespace {

TrafficRoute MakeRoute(std::string host, std::string prefix) {
  TrafficRoute route;
  route.m_name = prefix;
  route.m_host = std::move(host);
  route.m_path_prefix = std::move(prefix);
  route.m_shares = {{.m_service = MakeServiceId("plans")}};
  return route;
}

TrafficConfig ValidConfig() {
  return {.m_version = ConfigVersion(1),
          .m_routes = {MakeRoute("a", "/x/"), MakeRoute("a", "/x/y/")},
          .m_services = {"plans"}};
}

std::string CollectFindings(const TrafficConfig& config) {
  Findings findings;
  CheckTrafficConfig(config, "test", findings);
  return findings.ToText();
}

TEST(PrefixRoutesTest, FindsTheLongestMatchingPrefix) {
  const std::vector<TrafficRoute> routes = {
      MakeRoute("a", "/x/"), MakeRoute("a", "/x/y/"), MakeRoute("b", "/")};
  const PrefixRoutes table(routes);
  EXPECT_EQ(table.Find("a", "/x/y/z")->m_path_prefix, "/x/y/");
  EXPECT_EQ(table.Find("a", "/x/yz")->m_path_prefix, "/x/");
  EXPECT_EQ(table.Find("a", "/x/?q=/y/")->m_path_prefix, "/x/");
  EXPECT_EQ(table.Find("b", "/anything")->m_path_prefix, "/");
  EXPECT_EQ(table.Find("a", "/x"), nullptr);
  EXPECT_EQ(table.Find("a", "//x/"), nullptr);
  EXPECT_EQ(table.Find("c", "/x/"), nullptr);
}

RC_GTEST_PROP(PrefixRoutesTest, MatchesALinearScan, ()) {
  const auto path = rc::gen::container<std::string>(rc::gen::element('/', 'a'));
  std::vector<TrafficRoute> routes;
  for (const std::string& middle :
       *rc::gen::container<std::vector<std::string>>(4, path)) {
    routes.push_back(MakeRoute("h", middle.empty() ? "/" : "/" + middle + "/"));
  }
  const std::string target = "/" + *path;
  std::string longest;
  for (const TrafficRoute& route : routes) {
    if (target.starts_with(route.m_path_prefix) &&
        route.m_path_prefix.size() > longest.size()) {
      longest = route.m_path_prefix;
    }
  }
  const PrefixRoutes table(routes);
  const TrafficRoute* found = table.Find("h", target);
  RC_ASSERT((found == nullptr ? "" : found->m_path_prefix) == longest);
}

TEST(CheckTrafficConfigTest, AcceptsAValidConfig) {
  EXPECT_EQ(CollectFindings(ValidConfig()), "");
}

TEST(CheckTrafficConfigTest, ReportsEachFaultWithItsPointer) {
  TrafficConfig config = ValidConfig();
  config.m_routes[0].m_host.clear();
  config.m_routes[1].m_shares[0].m_service = MakeServiceId("other");
  EXPECT_EQ(CollectFindings(config),
            "test: /routes/0: no host\ntest: /routes/1: unknown service\n");
  config = ValidConfig();
  config.m_routes[0].m_path_prefix = "/x";
  EXPECT_NE(CollectFindings(config), "");
  config = ValidConfig();
  config.m_routes[0].m_timeout = Duration{};
  EXPECT_NE(CollectFindings(config), "");
  config = ValidConfig();
  config.m_routes[0].m_shares.clear();
  EXPECT_NE(CollectFindings(config), "");
}

TEST(CheckTrafficConfigTest, AcceptsAnObjectiveAboveTheTimeout) {
  TrafficConfig config = ValidConfig();
  config.m_routes[0].m_target_latency = 2 * config.m_routes[0].m_timeout;
  EXPECT_EQ(CollectFindings(config), "");
}

}  // namespace
}  // namespace sequoiastage
