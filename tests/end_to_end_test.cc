#include <gtest/gtest.h>

#include "fleet.h"
#include "load.h"

namespace sequoiastage {
namespace {

class EndToEndTest : public testing::Test {
 protected:
  void SetUp() override { ASSERT_EQ(m_fleet.Start(), ""); }

  CallerResponse Send(int node,
                      const std::string& method,
                      const std::string& key = "",
                      const std::string& body = "pay 10") {
    CallerRequest request{.m_to = m_fleet.Caller(node),
                          .m_method = method,
                          .m_target = "/jobs/item?n=1",
                          .m_fields = {{"Host", "move.example"},
                                       {"X-Request-Id", "one"},
                                       {"Sequoiastage-Deadline-Ms", "1500"},
                                       {"Sequoiastage-Account", "grower"}}};
    if (method == "POST") {
      request.m_body = body;
    }
    if (!key.empty()) {
      request.m_fields["Idempotency-Key"] = key;
    }
    return Call(request);
  }

  Fleet m_fleet;
};

TEST_F(EndToEndTest, ReadIsAnsweredAtEveryNode) {
  for (int node = 0; node < m_fleet.NodeCount(); ++node) {
    const CallerResponse response = Send(node, "GET");
    EXPECT_EQ(response.m_status, 200) << response.m_body;
    EXPECT_EQ(response.Outcome(), "answered");
    EXPECT_EQ(response.m_body, "data for /jobs/item?n=1");
  }
}

TEST_F(EndToEndTest, WriteNeedsAKeyAndRunsOnceAtAnyNode) {
  const CallerResponse refused = Send(0, "POST");
  ASSERT_EQ(refused.m_status, 428) << refused.m_body;
  EXPECT_EQ(refused.Outcome(), "not-run");
  EXPECT_EQ(m_fleet.Executions()["one"], 0);
  const std::string key = refused.Field("idempotency-key");
  for (const int node : {1, 0, 2, 1}) {
    const CallerResponse response = Send(node, "POST", key);
    EXPECT_EQ(response.m_status, 200) << response.m_body;
    EXPECT_EQ(response.Outcome(), "answered");
    EXPECT_EQ(response.m_body, "pay 10");
  }
  EXPECT_EQ(m_fleet.Executions()["one"], 1);
}

TEST_F(EndToEndTest, BadInputIsRejectedWithAReasonAndNotRun) {
  const auto status_of =
      [this](const std::string& target, const std::string& field,
             const std::string& value, const std::string& body) {
        CallerRequest request{.m_to = m_fleet.Caller(0),
                              .m_method = body.empty() ? "GET" : "POST",
                              .m_target = target,
                              .m_fields = {{"Host", "move.example"}},
                              .m_body = body};
        request.m_fields[field] = value;
        const CallerResponse response = Call(request);
        EXPECT_EQ(response.Outcome(), "not-run") << target << response.m_status;
        EXPECT_EQ(response.Field("content-type"), "application/problem+json");
        return response.m_status;
      };
  EXPECT_EQ(status_of("/nowhere", "X-A", "b", ""), 404);
  EXPECT_EQ(status_of("/jobs/x", "Sequoiastage-Deadline-Ms", "soon", ""), 400);
  EXPECT_EQ(status_of("/jobs/x", "X-Large", std::string(40'000, 'x'), ""), 431);
  EXPECT_EQ(status_of("/jobs/x", "X-A", "b", std::string(5'000'000, 'x')), 413);
  EXPECT_TRUE(m_fleet.Executions().empty());
}

TEST_F(EndToEndTest, KeyOfAnotherRequestOrForgedKeyIsRefused) {
  const std::string key = Send(0, "POST").Field("idempotency-key");
  ASSERT_EQ(Send(0, "POST", key).m_status, 200);
  const CallerResponse other = Send(1, "POST", key, "pay 20");
  EXPECT_EQ(other.m_status, 422) << other.m_body;
  EXPECT_EQ(other.Outcome(), "not-run");
  std::string forged = key;
  forged.back() = forged.back() == '0' ? '1' : '0';
  EXPECT_EQ(Send(1, "POST", forged).m_status, 422);
  EXPECT_EQ(Send(0, "POST", "no-key").m_status, 400);
  EXPECT_EQ(m_fleet.Executions()["one"], 1);
}

TEST_F(EndToEndTest, ConcurrentDuplicatesRunOnce) {
  const std::string key = Send(0, "POST").Field("idempotency-key");
  std::vector<std::thread> callers;
  std::vector<CallerResponse> responses(6);
  for (size_t i = 0; i < responses.size(); ++i) {
    callers.emplace_back([this, &responses, &key, i] {
      responses[i] = Send(static_cast<int>(i % 3), "POST", key);
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  for (const CallerResponse& response : responses) {
    EXPECT_EQ(response.m_body, "pay 10") << response.m_error;
  }
  EXPECT_EQ(m_fleet.Executions()["one"], 1);
}

// Value of a metric without labels at the node; -1 when it is absent.
int64_t MetricAt(const Fleet& fleet, int node, const std::string& name) {
  const CallerResponse response =
      Call({.m_to = fleet.Admin(node), .m_target = "/metrics"});
  const std::string line = "\nsequoiastage_" + name + " ";
  const size_t at = response.m_body.find(line);
  return at == std::string::npos
             ? -1
             : std::stoll(response.m_body.substr(at + line.size()));
}

// Nodes 0 and 1 are in one region, node 2 is in another.
TEST(RegionTest, OnlyWorkWithNothingNearerCrossesRegions) {
  Fleet fleet({.m_instances_per_node = 1, .m_only_instances_at = 2});
  ASSERT_EQ(fleet.Start(), "");
  EXPECT_TRUE(fleet.IsServing(0));
  EXPECT_TRUE(WaitUntil(std::chrono::seconds(5), [&fleet] {
    return MetricAt(fleet, 0, "other_region_attempts_total") > 0 &&
           MetricAt(fleet, 0, "other_region_bytes_total") > 0;
  }));
  for (int i = 0; i < 20; ++i) {
    EXPECT_TRUE(fleet.IsServing(2));
  }
  EXPECT_TRUE(WaitUntil(std::chrono::seconds(5), [&fleet] {
    return MetricAt(fleet, 2, "attempts_total") >= 20;
  }));
  EXPECT_EQ(MetricAt(fleet, 2, "other_region_attempts_total"), 0);
}

// The execution outlasts the caller's deadline; a later request with the same
// key receives its response.
TEST(LateResponseTest, IsReturnedWhenTheKeyIsSentAgain) {
  Fleet fleet({.m_nodes = 2, .m_instances_per_node = 1, .m_latency_ms = 500});
  ASSERT_EQ(fleet.Start(), "");
  for (int node = 0; node < 2; ++node) {
    ASSERT_EQ(Call({.m_to = fleet.Instance(node, 0),
                    .m_method = "POST",
                    .m_target = "/standin/mode?mode=slow"})
                  .m_status,
              200);
  }
  CallerRequest request{.m_to = fleet.Caller(0),
                        .m_method = "POST",
                        .m_target = "/jobs/item",
                        .m_fields = {{"Host", "move.example"},
                                     {"X-Request-Id", "late"},
                                     {"Sequoiastage-Deadline-Ms", "1000"}},
                        .m_body = "pay 10"};
  request.m_fields["Idempotency-Key"] = Call(request).Field("idempotency-key");
  const CallerResponse early = Call(request);
  EXPECT_EQ(early.m_status, 504) << early.m_body;
  EXPECT_EQ(early.Outcome(), "unknown");
  request.m_to = fleet.Caller(1);
  request.m_fields["Sequoiastage-Deadline-Ms"] = "4000";
  const CallerResponse late = Call(request);
  EXPECT_EQ(late.m_status, 200) << late.m_body;
  EXPECT_EQ(late.m_body, "pay 10");
  EXPECT_EQ(fleet.Executions()["late"], 1);
}

TEST_F(EndToEndTest, KeyOfAKilledOwnerIsUnknownAndNeverRun) {
  const std::string key = Send(0, "POST").Field("idempotency-key");
  m_fleet.Node(0).Kill();
  const CallerResponse after_kill = Send(1, "POST", key);
  EXPECT_EQ(after_kill.Outcome(), "unknown")
      << after_kill.m_error << after_kill.m_body;
  m_fleet.StartNode(0);
  ASSERT_TRUE(WaitUntil(std::chrono::milliseconds(15'000),
                        [this] { return m_fleet.IsServing(0); }));
  for (const int node : {0, 1, 2}) {
    const CallerResponse restarted = Send(node, "POST", key);
    EXPECT_EQ(restarted.Outcome(), "unknown") << restarted.m_body;
  }
  EXPECT_EQ(m_fleet.Executions()["one"], 0);
}

}  // namespace
}  // namespace sequoiastage
