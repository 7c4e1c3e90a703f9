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

std::string FindFault(const TrafficRoute& route) {
  return FindRouteFault(route, {MakeServiceId("plans")});
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

// The requests of an omitted route must not run as those of a shorter prefix.
TEST(PrefixRoutesTest, OmittedRouteHidesShorterPrefixes) {
  const std::vector<TrafficRoute> routes = {MakeRoute("a", "/x/"),
                                            MakeRoute("a", "/x/y/z/")};
  std::vector<TrafficRoute> omitted = {MakeRoute("a", "/x/y/")};
  omitted[0].m_is_omitted = true;
  const PrefixRoutes table(routes, omitted);
  EXPECT_FALSE(table.Find("a", "/x/1")->m_is_omitted);
  EXPECT_TRUE(table.Find("a", "/x/y/1")->m_is_omitted);
  EXPECT_FALSE(table.Find("a", "/x/y/z/1")->m_is_omitted);
}

TEST(FindRouteFaultTest, AcceptsAValidRoute) {
  EXPECT_EQ(FindFault(MakeRoute("a", "/x/")), "");
  EXPECT_EQ(FindFault(MakeRoute("a", "/x/y/")), "");
}

TEST(FindRouteFaultTest, DescribesEachFault) {
  const TrafficRoute valid = MakeRoute("a", "/x/");
  TrafficRoute route = valid;
  route.m_host.clear();
  EXPECT_EQ(FindFault(route), "no host");
  route = valid;
  route.m_shares[0].m_service = MakeServiceId("other");
  EXPECT_EQ(FindFault(route), "unknown service");
  for (const std::string prefix : {"/x", "x/", ""}) {
    EXPECT_NE(FindFault(MakeRoute("a", prefix)), "") << prefix;
  }
  route = valid;
  route.m_timeout = Duration{};
  EXPECT_NE(FindFault(route), "");
  route = valid;
  route.m_target_latency = Duration{};
  EXPECT_NE(FindFault(route), "");
  route = valid;
  route.m_max_attempts = 0;
  EXPECT_NE(FindFault(route), "");
  route = valid;
  route.m_shares[0].m_weight = -1;
  EXPECT_NE(FindFault(route), "");
  route = valid;
  route.m_shares.clear();
  EXPECT_NE(FindFault(route), "");
}

TEST(FindRouteFaultTest, AcceptsAnObjectiveAboveTheTimeout) {
  TrafficRoute route = MakeRoute("a", "/x/");
  route.m_target_latency = 2 * route.m_timeout;
  EXPECT_EQ(FindFault(route), "");
}

}  // namespace
}  // namespace sequoiastage
