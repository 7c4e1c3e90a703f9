#include <gtest/gtest.h>
#include <signal.h>

#include <thread>

#include "fleet.h"

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;

CallerRequest Request(const Endpoint& node, const std::string& method) {
  return {.m_to = node,
          .m_method = method,
          .m_target = "/jobs/1",
          .m_fields = {{"Host", "move.example"},
                       {"Sequoiastage-Deadline-Ms", "4000"}},
          .m_body = method == "POST" ? "body" : ""};
}

TEST(DrainingQueryTest, RefusalReportsTheOutcomeFromTheOwnerOfTheKey) {
  Fleet fleet({.m_instances_per_node = 1});
  ASSERT_EQ(fleet.Start(), "");
  const auto switch_all = [&fleet](const std::string& mode) {
    for (int node = 0; node < fleet.NodeCount(); ++node) {
      Call({.m_to = fleet.Instance(node, 0),
            .m_method = "POST",
            .m_target = "/standin/mode?mode=" + mode});
    }
  };
  // A hanging request keeps node 1 from exiting while it drains.
  switch_all("hang");
  std::thread hanging([&fleet] { Call(Request(fleet.Caller(1), "GET")); });
  EXPECT_TRUE(WaitUntil(milliseconds(5000), [&fleet] {
    uint64_t starts = 0;
    for (int node = 0; node < fleet.NodeCount(); ++node) {
      starts += fleet.TotalStarts(node, 0);
    }
    return starts > static_cast<uint64_t>(fleet.NodeCount());
  }));
  switch_all("healthy");
  fleet.Node(1).Signal(SIGTERM);
  EXPECT_TRUE(WaitUntil(milliseconds(3000), [&fleet] {
    return Call(Request(fleet.Caller(1), "GET")).m_status == 503;
  }));
  CallerRequest keyed = Request(fleet.Caller(0), "POST");
  const std::string key = Call(keyed).Field("idempotency-key");
  keyed.m_fields["Idempotency-Key"] = key;

  keyed.m_to = fleet.Caller(1);
  const CallerResponse unused = Call(keyed);
  EXPECT_EQ(unused.m_status, 503);
  EXPECT_EQ(unused.Outcome(), "not-run");

  keyed.m_to = fleet.Caller(0);
  EXPECT_EQ(Call(keyed).Outcome(), "answered");
  keyed.m_to = fleet.Caller(1);
  const CallerResponse used = Call(keyed);
  EXPECT_EQ(used.m_status, 503);
  EXPECT_EQ(used.Outcome(), "unknown");
  hanging.join();
}

}  // namespace
}  // namespace sequoiastage
