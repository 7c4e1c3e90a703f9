#include <gtest/gtest.h>

#include <fstream>
#include <iterator>

#include "sequoiastage/config/config_parse.h"
#include "sequoiastage/config/route_table.h"

namespace sequoiastage {
namespace {

ConfigText ReadExample(const std::string& path) {
  std::ifstream file(std::string(EXAMPLES_FOLDER "/") + path);
  EXPECT_TRUE(file.good()) << path;
  return {.m_source = path,
          .m_text = std::string(std::istreambuf_iterator<char>(file), {})};
}

std::optional<FleetConfig> ParseExample(const std::string& user,
                                        const std::vector<std::string>& sites,
                                        Findings& findings) {
  std::vector<SiteOverlay> overlays;
  overlays.reserve(sites.size());
  for (const std::string& site : sites) {
    std::string path = user;
    path.append("/sites/").append(site).append(".json");
    overlays.push_back({.m_site = site, .m_content = ReadExample(path)});
  }
  return ParseFleetConfig(ReadExample(user + "/base.json"), overlays, findings);
}

void ExpectFourServicesOfTwelve(const FleetConfig& fleet) {
  EXPECT_EQ(fleet.m_sites.size(), 3U);
  for (const auto& [site, config] : fleet.m_sites) {
    EXPECT_EQ(config.m_services.size(), 4U) << site;
    for (const Service& service : config.m_services) {
      EXPECT_EQ(service.m_instances, 12U) << service.m_name;
      EXPECT_EQ(service.m_limits.m_slots, 3U) << service.m_name;
    }
  }
}

TEST(ExamplesTest, ZnojmoParsesClean) {
  Findings findings;
  const auto fleet =
      ParseExample("znojmo", {"znojmo", "mikulov", "brno"}, findings);
  ASSERT_TRUE(fleet.has_value()) << findings.ToText();
  ExpectFourServicesOfTwelve(*fleet);
  const RouteTable routes(fleet->FindSite("mikulov")->m_routes);
  const Route* fees = routes.Find("office.znojmo.example", "/fees/17");
  ASSERT_NE(fees, nullptr);
  EXPECT_FALSE(fees->IsIdempotent("POST"));
  EXPECT_EQ(fees->m_service, MakeServiceId("approvals"));
}

TEST(ExamplesTest, TasmaniaParsesClean) {
  Findings findings;
  const auto fleet =
      ParseExample("tasmania", {"hobart", "launceston", "burnie"}, findings);
  ASSERT_TRUE(fleet.has_value()) << findings.ToText();
  ExpectFourServicesOfTwelve(*fleet);
  const ServiceId bookings = MakeServiceId("bookings");
  EXPECT_EQ(fleet->FindSite("hobart")->FindService(bookings)->m_floor, 10U);
  EXPECT_EQ(fleet->FindSite("burnie")->FindService(bookings)->m_floor, 9U);
}

TEST(ExamplesTest, AnOverlayWithFiveFaultsGivesFiveFindings) {
  Findings findings;
  const SiteOverlay overlay{
      .m_site = "brno", .m_content = {.m_source = "brno.json", .m_text = R"({
      "services": {
        "approvals": {"floor": 13},
        "archive": {"limits": {"timeout": 20, "slot": 3}}
      },
      "routes": {
        "stamps": {"host": "office.znojmo.example", "path": "/stamps",
                   "service": "stamping"},
        "fees-again": {"host": "office.znojmo.example", "path": "/fees/",
                       "service": "approvals"}
      }})"}};
  EXPECT_FALSE(
      ParseFleetConfig(ReadExample("znojmo/base.json"), {overlay}, findings));
  EXPECT_EQ(findings.Items().size(), 5U);
  EXPECT_EQ(findings.ToText(),
            "brno.json: /services/approvals/floor: is 13, above the 12 "
            "instances of the service\n"
            "brno.json: /services/archive/limits/timeout: is no string but "
            "number\n"
            "brno.json: /services/archive/limits/slot: is an unknown key\n"
            "brno.json: /routes/fees-again: has the same host and path as "
            "route \"fees\"\n"
            "brno.json: /routes/stamps/service: is the unknown service "
            "\"stamping\"\n");
}

}  // namespace
}  // namespace sequoiastage
