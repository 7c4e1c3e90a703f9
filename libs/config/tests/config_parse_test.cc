#include "sequoiastage/config/config_parse.h"

#include <gtest/gtest.h>

#include <unordered_map>

namespace sequoiastage {
namespace {

constexpr char kBase[] = R"({
  "sites": ["znojmo", "mikulov"],
  "services": {
    "approvals": {
      "instances": 12, "floor": 9,
      "ejection": {"false_ejection_bound": "1000h"},
      "limits": {"slots": 3, "queue_length": 6, "timeout": "2s"},
      "retries": {"budget_share": 0.2, "max_attempts": 3, "hedge": true,
                  "hedge_quantile": 0.9},
      "completeness_header": "X-Complete"
    },
    "archive": {"instances": 12, "floor": 8}
  },
  "routes": {
    "approve": {"host": "filing.example", "path": "/approvals",
                "service": "approvals", "methods": ["POST"],
                "idempotent": []},
    "search": {"host": "filing.example", "path": "/archive/",
               "service": "archive"}
  },
  "accounts": {"growers": {"share": 2}, "inspectors": {}}
})";

// Returns the findings of `base` with one overlay for mikulov.
std::string CollectFindings(const std::string& base,
                            const std::string& overlay) {
  Findings findings;
  const auto fleet = ParseFleetConfig(
      {"base.json", base}, {{"mikulov", {"mikulov.json", overlay}}}, findings);
  EXPECT_EQ(fleet.has_value(), findings.IsEmpty());
  return findings.ToText();
}

TEST(ConfigParseTest, ReadsEveryField) {
  Findings findings;
  const auto fleet = ParseFleetConfig({"base.json", kBase}, {}, findings);
  ASSERT_TRUE(fleet.has_value()) << findings.ToText();
  const Config* config = fleet->FindSite("znojmo");
  ASSERT_NE(config, nullptr);
  const Service* approvals = config->FindService(MakeServiceId("approvals"));
  ASSERT_NE(approvals, nullptr);
  const Service expected{
      .m_name = "approvals",
      .m_id = MakeServiceId("approvals"),
      .m_instances = 12,
      .m_floor = 9,
      .m_ejection = {.m_false_ejection_bound = InstanceHours(1000)},
      .m_limits = {.m_slots = 3,
                   .m_queue_length = 6,
                   .m_timeout = std::chrono::seconds(2)},
      .m_retries = {.m_budget_share = 0.2,
                    .m_max_attempts = 3,
                    .m_hedge = true,
                    .m_hedge_quantile = 0.9},
      .m_completeness_header = "X-Complete"};
  EXPECT_EQ(*approvals, expected);
  ASSERT_EQ(config->m_routes.size(), 2U);
  const Route& approve = config->m_routes[0];
  EXPECT_FALSE(approve.IsIdempotent("POST"));
  EXPECT_FALSE(approve.Allows("GET"));
  const Route& search = config->m_routes[1];
  EXPECT_TRUE(search.IsIdempotent("GET"));
  EXPECT_FALSE(search.IsIdempotent("POST"));
  EXPECT_TRUE(search.Allows("POST"));
  ASSERT_NE(config->FindAccount(MakeAccountId("growers")), nullptr);
  EXPECT_EQ(config->FindAccount(MakeAccountId("growers"))->m_share, 2);
  EXPECT_EQ(config->FindAccount(MakeAccountId("nobody")), nullptr);
}

TEST(ConfigParseTest, OverlayChangesOnlyItsSite) {
  Findings findings;
  const auto fleet = ParseFleetConfig(
      {"base.json", kBase},
      {{"mikulov",
        {"mikulov.json",
         R"({"services": {"approvals": {"limits": {"timeout": "3s"}}}})"}}},
      findings);
  ASSERT_TRUE(fleet.has_value()) << findings.ToText();
  const auto timeout = [&fleet](std::string_view site) {
    return fleet->FindSite(site)
        ->FindService(MakeServiceId("approvals"))
        ->m_limits.m_timeout;
  };
  EXPECT_EQ(timeout("znojmo"), std::chrono::seconds(2));
  EXPECT_EQ(timeout("mikulov"), std::chrono::seconds(3));
}

TEST(ConfigParseTest, ReportsFaultsUnderTheFileThatSetTheValue) {
  EXPECT_EQ(CollectFindings(kBase, R"({"services": {"approvals": {"floor": 13},
                                "archive": {"instances": 7}}})"),
            "mikulov.json: /services/approvals/floor: is 13, above the 12 "
            "instances of the service\n"
            "base.json: /services/archive/floor: is 8, above the 7 instances "
            "of the service\n");
  EXPECT_EQ(CollectFindings(kBase, R"({"services": {"archive": null}})"),
            "base.json: /routes/search/service: is the unknown service "
            "\"archive\"\n");
  EXPECT_EQ(CollectFindings(kBase, R"({"routes": {"again": {
                "host": "filing.example", "path": "/archive",
                "service": "archive"}}})"),
            "base.json: /routes/search: has the same host and path as route "
            "\"again\"\n");
}

TEST(ConfigParseTest, ReportsAFaultOfTheBaseOnce) {
  EXPECT_EQ(CollectFindings(R"({"sites": ["mikulov", "znojmo"], "services": 1,
                     "routes": {}, "speed": 9})",
                            "{}"),
            "base.json: /services: is no object but number\n"
            "base.json: /speed: is an unknown key\n");
}

TEST(ConfigParseTest, ReportsWrongTypesUnitsAndNames) {
  EXPECT_EQ(
      CollectFindings(kBase, R"({"services": {
          "Approvals": {"instances": 1, "floor": 1},
          "archive": {"floor": "eight", "limits": {"timeout": 5, "slots": 0},
                      "retries": {"hedge": "yes", "hedge_quantile": 1},
                      "ejection": {"false_ejection_bound": "10 days"}}},
          "routes": {"search": {"methods": ["get"], "criticality": 2,
                                "host": "A.example:80", "path": "archive"}}})"),
      "mikulov.json: /services/Approvals: is reserved or no name of at most 64 "
      "lower-case "
      "letters, digits and \"-\"\n"
      "mikulov.json: /services/archive/floor: is no whole number but string\n"
      "mikulov.json: /services/archive/ejection/false_ejection_bound: is no "
      "duration such as \"250ms\" (us, ms, s, min, h)\n"
      "mikulov.json: /services/archive/limits/slots: is 0, below the minimum "
      "of 1\n"
      "mikulov.json: /services/archive/limits/timeout: is no string but "
      "number\n"
      "mikulov.json: /services/archive/retries/hedge: is no boolean but "
      "string\n"
      "mikulov.json: /services/archive/retries/hedge_quantile: is 1.0, above "
      "the maximum of 0.99\n"
      "mikulov.json: /routes/search/host: is no lower-case host name without "
      "port and no \"*\"\n"
      "mikulov.json: /routes/search/path: is no path that starts with \"/\", "
      "without query, spaces and empty segments\n"
      "mikulov.json: /routes/search/methods/0: is no HTTP method in upper "
      "case\n"
      "mikulov.json: /routes/search/criticality: is an unknown key\n");
}

TEST(ConfigParseTest, ReportsUnknownAndDuplicateSites) {
  Findings findings;
  EXPECT_FALSE(ParseFleetConfig({"base.json", kBase},
                                {{"brno", {"brno.json", "{}"}},
                                 {"mikulov", {"a.json", R"({"sites": []})"}},
                                 {"mikulov", {"b.json", "{}"}}},
                                findings));
  EXPECT_EQ(findings.ToText(),
            "b.json: is a second overlay for site \"mikulov\"\n"
            "brno.json: is an overlay for the unknown site \"brno\"\n"
            "a.json: /sites: may stand only in the base\n");
}

TEST(ConfigParseTest, RefusesTwoServicesWithOneHandle) {
  std::unordered_map<uint32_t, std::string> names;
  std::string first;
  std::string second;
  for (int i = 0; second.empty(); ++i) {
    const std::string name = "s" + std::to_string(i);
    const auto [other, is_new] = names.emplace(MakeServiceId(name).Get(), name);
    if (!is_new) {
      first = std::min(name, other->second);
      second = std::max(name, other->second);
    }
  }
  const std::string service = R"(": {"instances": 1, "floor": 1})";
  EXPECT_EQ(
      CollectFindings(R"({"sites": ["mikulov"], "routes": {}, "services": {")" +
                          first + service + ", \"" + second + service + "}}",
                      "{}"),
      "base.json: /services/" + second + ": has the same handle as \"" + first +
          "\"; choose another name\n");
}

}  // namespace
}  // namespace sequoiastage
