#include <gtest/gtest.h>

#include <cstdio>
#include <nlohmann/json.hpp>

#include "fleet.h"

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;

constexpr int kRequests = 300;
constexpr int kInstancesPerNode = 2;

// Sends a non-idempotent request under a new key and returns the response.
CallerResponse SendKeyed(const Endpoint& node, const std::string& id) {
  CallerRequest request{
      .m_to = node,
      .m_method = "POST",
      .m_target = "/jobs/" + id,
      .m_fields = {{"Host", "move.example"}, {"X-Request-Id", id}},
      .m_body = "body of " + id};
  const CallerResponse refused = Call(request);
  request.m_fields["Idempotency-Key"] = refused.Field("idempotency-key");
  return Call(request);
}

// Executions by request id, summed over all instances except `stopped`.
std::map<std::string, int> CountExecutionsExcept(const Fleet& fleet,
                                                 Endpoint stopped) {
  std::map<std::string, int> sum;
  for (int node = 0; node < fleet.NodeCount(); ++node) {
    for (int index = 0; index < kInstancesPerNode; ++index) {
      const Endpoint instance = fleet.Instance(node, index);
      if (instance == stopped) {
        continue;
      }
      const CallerResponse response =
          Call({.m_to = instance, .m_target = "/standin/executions"});
      const auto counts = nlohmann::json::parse(response.m_body);
      for (const auto& [id, count] : counts.at("by_id").items()) {
        sum[id] += count.get<int>();
      }
    }
  }
  return sum;
}

TEST(RefusedServerTest, WorkThatReachedNoServerIsNeverUnknownAndRunsOnce) {
  Fleet fleet({.m_instances_per_node = kInstancesPerNode});
  ASSERT_EQ(fleet.Start(), "");
  const Endpoint stopped = fleet.Instance(1, 0);
  Call({.m_to = stopped, .m_method = "POST", .m_target = "/standin/exit"});
  ASSERT_TRUE(WaitUntil(milliseconds(5000), [stopped] {
    return Call({.m_to = stopped, .m_target = "/health"}).m_is_unsent;
  }));
  std::map<std::string, int> outcomes;
  std::map<std::string, std::string> outcome_of;
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = "refused-" + std::to_string(i);
    const CallerResponse response =
        SendKeyed(fleet.Caller(i % fleet.NodeCount()), id);
    EXPECT_TRUE(response.IsComplete()) << id << ": " << response.m_error;
    outcome_of[id] = response.Outcome();
    ++outcomes[response.Outcome()];
  }
  const auto executions = CountExecutionsExcept(fleet, stopped);
  for (const auto& [id, outcome] : outcome_of) {
    const auto found = executions.find(id);
    const int count = found == executions.end() ? 0 : found->second;
    EXPECT_EQ(count, outcome == "answered" ? 1 : 0) << id << ": " << outcome;
  }
  std::printf("answered=%d not_run=%d unknown=%d\n", outcomes["answered"],
              outcomes["not-run"], outcomes["unknown"]);
  EXPECT_EQ(outcomes["answered"] + outcomes["not-run"], kRequests);
  EXPECT_GT(outcomes["answered"], kRequests / 2);
}

}  // namespace
}  // namespace sequoiastage
