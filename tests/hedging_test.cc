#include <gtest/gtest.h>

#include <cstdio>
#include <nlohmann/json.hpp>
#include <string>

#include "fleet.h"
#include "sequoiastage/base/time.h"

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;
using Json = nlohmann::json;

constexpr int kInstances = 12;
constexpr int kLatencyMs = 20;
// The slow instance takes five times as long as the others.
constexpr milliseconds kLong{4 * kLatencyMs};
constexpr int kWarmUp = 80;
constexpr int kReads = 240;

// Publishes a configuration with `retries` that replaces the initial one, and
// waits until it is in force.
bool PublishRetries(const Fleet& fleet, const Json& retries) {
  const CallerResponse log =
      Call({.m_to = fleet.Log(), .m_target = "/records"});
  const Json first = Json::parse(log.m_body).at("records").at(0);
  Json change = Json::parse(first.at("record").get<std::string>());
  change["change_id"] = "with-retries";
  change["from"] = first.at("offset");
  change["content"]["services"]["work"]["retries"] = retries;
  change["content"]["routes"]["hedged"] = {
      {"host", "move.example"}, {"path", "/hedged"}, {"service", "work"}};
  const CallerResponse response =
      Call({.m_to = fleet.Log(),
            .m_method = "POST",
            .m_target = "/records",
            .m_body = Json{{"record", change.dump()}}.dump()});
  return response.m_status == 200 && WaitUntil(milliseconds(10'000), [&fleet] {
           return fleet.Serves(0, "/hedged/ready");
         });
}

// Sends `count` reads and returns how many took longer than kLong.
int CountLong(const Fleet& fleet, int count) {
  int longer = 0;
  for (int i = 0; i < count; ++i) {
    const TimePoint start = Now();
    EXPECT_TRUE(fleet.Serves(0, "/hedged/" + std::to_string(i)));
    longer += Now() - start > kLong ? 1 : 0;
  }
  return longer;
}

// Number of long responses while one instance is slow.
int CountLongWithSlowInstance(const Json& retries) {
  Fleet fleet({.m_nodes = 1,
               .m_instances_per_node = kInstances,
               .m_latency_ms = kLatencyMs});
  EXPECT_EQ(fleet.Start(), "");
  EXPECT_TRUE(PublishRetries(fleet, retries));
  CountLong(fleet, kWarmUp);
  EXPECT_EQ(Call({.m_to = fleet.Instance(0, 0),
                  .m_method = "POST",
                  .m_target = "/standin/mode?mode=slow"})
                .m_status,
            200);
  return CountLong(fleet, kReads);
}

TEST(HedgingTest, HedgingReducesLongResponsesWhileOneInstanceIsSlow) {
  const int without = CountLongWithSlowInstance({{"hedge", false}});
  const int with =
      CountLongWithSlowInstance({{"hedge", true}, {"hedge_quantile", 0.9}});
  std::printf(
      "of %d responses, longer than %lld ms: %d without, %d with hedged "
      "copies\n",
      kReads, static_cast<long long>(kLong.count()), without, with);
  EXPECT_LT(with, without);
}

}  // namespace
}  // namespace sequoiastage
