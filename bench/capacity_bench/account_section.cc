#include <fmt/core.h>

#include <optional>
#include <random>
#include <string>
#include <vector>

#include "config_document.h"
#include "mesh_fleet.h"
#include "report.h"
#include "sections.h"
#include "sequoiastage/config/account_table.h"

namespace sequoiastage {
namespace {

std::string MakeKey(uint32_t account) {
  return fmt::format("{:08x}{:024x}", account * 2654435761U, account);
}

// One key of 32 characters for each account.
std::string MakeDocument(uint32_t routes, uint32_t accounts) {
  std::vector<FleetRoute> route_list;
  for (uint32_t i = 0; i < routes; ++i) {
    route_list.push_back({.m_name = fmt::format("route-{}", i),
                          .m_prefix = fmt::format("/path/{}/", i),
                          .m_service = fmt::format("service-{}", i % 2100)});
  }
  std::vector<FleetAccount> account_list;
  for (uint32_t i = 0; i < accounts; ++i) {
    account_list.push_back({.m_name = fmt::format("account-{}", i),
                            .m_keys = {MakeKey(i)},
                            .m_rate_per_s = 20,
                            .m_burst = 40});
  }
  return FleetDocument(7, route_list, account_list);
}

// As a node applies a version.
std::optional<TrafficConfig> Decode(const std::string& text) {
  std::string reason;
  auto config =
      DecodeConfigDocument({.m_key = "config", .m_value = text}, &reason);
  if (!config) {
    PrintHeading(reason);
  }
  return config;
}

}  // namespace

void MeasureAccountTable(uint64_t seed) {
  PrintHeading("accounts: one route for 8 accounts, one key each");
  std::mt19937_64 random(seed);
  Series text_bytes("bytes of the document", "accounts");
  Series config_heap("bytes of heap of the configuration", "accounts");
  Series table_heap("bytes of heap of the account table", "accounts");
  Series routes_heap("bytes of heap of the prefix routes", "accounts");
  Series decode("ms to decode a version", "accounts");
  Series build("ms to build the account table", "accounts");
  Series build_routes("ms to build the prefix routes", "accounts");
  Series known("us to look up a known key", "accounts");
  Series unknown("us to look up an unknown key", "accounts");
  Series route("us to look up a route", "accounts");
  for (const uint32_t accounts : {47'500U, 95'000U, 190'000U}) {
    const uint32_t routes = accounts / 8;
    const std::string text = MakeDocument(routes, accounts);
    text_bytes.Add(accounts, static_cast<double>(text.size()));
    double before = HeapBytes();
    const double start = CpuSeconds();
    const auto config = Decode(text);
    decode.Add(accounts, 1e3 * (CpuSeconds() - start));
    if (!config) {
      return;
    }
    config_heap.Add(accounts, HeapBytes() - before);
    before = HeapBytes();
    const AccountTable table(config->m_accounts);
    table_heap.Add(accounts, HeapBytes() - before);
    before = HeapBytes();
    const PrefixRoutes prefix_routes(config->m_routes);
    routes_heap.Add(accounts, HeapBytes() - before);
    build.Add(accounts,
              1e3 * SecondsPerCall([&] { AccountTable(config->m_accounts); }));
    build_routes.Add(accounts, 1e3 * SecondsPerCall([&] {
                                 PrefixRoutes(config->m_routes);
                               }));
    std::vector<std::string> keys;
    std::vector<std::string> targets;
    for (int i = 0; i < 4096; ++i) {
      keys.push_back(MakeKey(static_cast<uint32_t>(random() % accounts)));
      targets.push_back(fmt::format("/path/{}/item/7", random() % routes));
    }
    size_t next = 0;
    known.Add(accounts, 1e6 * SecondsPerCall([&] {
                          if (table.Find(keys[next++ % 4096]) == nullptr) {
                            PrintHeading("a key was not found");
                          }
                        }));
    unknown.Add(accounts, 1e6 * SecondsPerCall([&] {
                            if (table.Find(targets[next++ % 4096]) != nullptr) {
                              PrintHeading("an unknown key was found");
                            }
                          }));
    route.Add(accounts,
              1e6 * SecondsPerCall([&] {
                if (prefix_routes.Find("a.example", targets[next++ % 4096]) ==
                    nullptr) {
                  PrintHeading("a route was not found");
                }
              }));
  }
}

}  // namespace sequoiastage
