#include <fmt/core.h>

#include <algorithm>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "config_text.h"
#include "report.h"
#include "sections.h"
#include "sequoiastage/config/config_parse.h"
#include "sequoiastage/config/route_table.h"

namespace sequoiastage {
namespace {

std::optional<FleetConfig> Parse(const std::string& text) {
  Findings findings;
  auto config =
      ParseFleetConfig({.m_source = "base", .m_text = text}, {}, findings);
  if (!config) {
    PrintHeading(findings.ToText().substr(0, 500));
  }
  return config;
}

void MeasureRoutes(uint64_t seed) {
  std::mt19937_64 random(seed);
  Series heap("bytes of heap for configuration and route table", "routes");
  Series build("us to build the route table", "routes");
  Series lookup("us for a route lookup", "routes");
  for (const uint32_t routes : {6'000U, 12'000U, 24'000U}) {
    const std::string text = MakeBaseText(2100, routes, 0);
    const double before = HeapBytes();
    const auto config = Parse(text);
    if (!config) {
      return;
    }
    const Config& site = *config->FindSite("north");
    const RouteTable table(site.m_routes);
    heap.Add(routes, HeapBytes() - before);
    build.Add(routes, 1e6 * SecondsPerCall([&] { RouteTable(site.m_routes); }));
    lookup.Add(routes, 1e6 * SecondsPerCall([&] {
                         const auto i =
                             static_cast<uint32_t>(random() % routes);
                         const Route* route =
                             table.Find(fmt::format("host-{}.example", i % 400),
                                        fmt::format("/path/{}/item/7", i));
                         if (route == nullptr) {
                           PrintHeading("no route found");
                         }
                       }));
  }
}

void MeasureParsing() {
  Series text_bytes("bytes of the JSON text", "accounts");
  Series parse("seconds to parse and check", "accounts");
  for (const uint32_t accounts : {6'000U, 12'000U, 24'000U}) {
    const std::string text = MakeBaseText(2100, 24'000, accounts);
    text_bytes.Add(accounts, static_cast<double>(text.size()));
    const double start = CpuSeconds();
    if (!Parse(text)) {
      return;
    }
    parse.Add(accounts, CpuSeconds() - start);
  }
}

void MeasureAccounts(uint64_t seed) {
  std::mt19937_64 random(seed);
  Series heap("bytes of heap for the accounts", "accounts");
  Series lookup("us for an account lookup", "accounts");
  for (const uint32_t count : {47'500U, 95'000U, 190'000U}) {
    const std::vector<std::string> names = MakeAccountNames(count);
    const double before = HeapBytes();
    Config config;
    std::vector<Account> accounts;
    accounts.reserve(count);
    for (const std::string& name : names) {
      accounts.push_back({.m_name = name, .m_id = MakeAccountId(name)});
    }
    std::sort(accounts.begin(), accounts.end(),
              [](const Account& a, const Account& b) {
                return a.m_id.Get() < b.m_id.Get();
              });
    config.m_accounts = SharedList<Account>(std::move(accounts));
    heap.Add(count, HeapBytes() - before);
    lookup.Add(count,
               1e6 * SecondsPerCall([&] {
                 config.FindAccount(config.m_accounts[random() % count].m_id);
               }));
  }
}

/// Measures how many accounts of a fleet share a handle with another one.
void MeasureHandles(uint64_t seed) {
  Series shared("accounts that share the handle of another one", "accounts");
  for (const uint32_t count : {47'500U, 95'000U, 190'000U}) {
    constexpr int kFleets = 20;
    uint32_t collisions = 0;
    for (int fleet = 0; fleet < kFleets; ++fleet) {
      std::set<AccountId> handles;
      for (uint32_t i = 0; i < count; ++i) {
        const std::string name = fmt::format("{}-{}-{}", seed, fleet, i);
        collisions += handles.insert(MakeAccountId(name)).second ? 0 : 1;
      }
    }
    shared.Add(count, static_cast<double>(collisions) / kFleets);
  }
}

}  // namespace

void MeasureConfig(uint64_t seed) {
  PrintHeading("config: 2,100 services, routes, no accounts");
  MeasureRoutes(seed);
  PrintHeading("config: 2,100 services, 24,000 routes, accounts");
  MeasureParsing();
  MeasureAccounts(seed);
  MeasureHandles(seed);
}

}  // namespace sequoiastage
