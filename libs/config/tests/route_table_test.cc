#include "sequoiastage/config/route_table.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sequoiastage {
namespace {

Route MakeRoute(const std::string& host, const std::string& path) {
  return Route{.m_name = host + path, .m_host = host, .m_path = path};
}

// Finds the route with the longest matching prefix by a linear scan.
const Route* FindByScan(const std::vector<Route>& routes,
                        const std::string& host,
                        const std::string& target) {
  const Route* best = nullptr;
  for (const Route& route : routes) {
    const std::string& prefix = route.m_path;
    const bool is_prefix = target.compare(0, prefix.size(), prefix) == 0;
    const bool at_boundary = prefix == "/" || target.size() == prefix.size() ||
                             target[prefix.size()] == '/';
    if (route.m_host == host && is_prefix && at_boundary &&
        (best == nullptr || prefix.size() > best->m_path.size())) {
      best = &route;
    }
  }
  return best;
}

TEST(RouteTableTest, IgnoresPortCaseAndQuery) {
  const RouteTable table({MakeRoute("a.example", "/x"), MakeRoute("*", "/")});
  EXPECT_EQ(table.Find("A.Example:8080", "/x?y=/z")->m_name, "a.example/x");
  EXPECT_EQ(table.Find("a.example", "/x/")->m_name, "a.example/x");
  EXPECT_EQ(table.Find("a.example", "/xy")->m_name, "*/");
  EXPECT_EQ(table.Find("b.example", "/x")->m_name, "*/");
  EXPECT_EQ(table.Find("b.example", "x"), nullptr);
  EXPECT_EQ(table.Find("b.example", ""), nullptr);
  EXPECT_EQ(RouteTable().Find("b.example", "/"), nullptr);
}

RC_GTEST_PROP(RouteTableTest, MatchesALinearScan, ()) {
  const auto path =
      rc::gen::map(rc::gen::container<std::vector<std::string>>(
                       rc::gen::element<std::string>("/a", "/ab", "/b")),
                   [](const std::vector<std::string>& segments) {
                     std::string text;
                     for (const std::string& segment : segments) {
                       text += segment;
                     }
                     return text.empty() ? std::string("/") : text;
                   });
  const auto prefixes = *rc::gen::container<std::set<std::string>>(path);
  std::vector<Route> routes;
  routes.reserve(prefixes.size());
  for (const std::string& prefix : prefixes) {
    routes.push_back(MakeRoute("h", prefix));
  }
  const auto target = *path;
  const RouteTable table(routes);
  const Route* found = table.Find("h", target);
  const Route* expected = FindByScan(routes, "h", target);
  RC_ASSERT((found == nullptr) == (expected == nullptr));
  if (found != nullptr) {
    RC_ASSERT(found->m_name == expected->m_name);
  }
}

}  // namespace
}  // namespace sequoiastage
