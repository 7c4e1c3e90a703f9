#include <gtest/gtest.h>
#include <signal.h>

#include "execution_check.h"
#include "fleet.h"
#include "load.h"

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;

// More requests are in flight than there are slots, and some hang at their
// instance until their deadline. Guards against a stop that drops requests that
// are queued, in execution, or waiting in another node.
TEST(PlannedStopTest, EveryRequestThatTheNodeHasReadGetsAFinalResponse) {
  Fleet fleet({.m_nodes = 3, .m_instances_per_node = 1, .m_latency_ms = 150});
  ASSERT_EQ(fleet.Start(), "");
  for (int node = 0; node < fleet.NodeCount(); ++node) {
    ASSERT_EQ(Call({.m_to = fleet.Instance(node, 0),
                    .m_method = "POST",
                    .m_target = "/standin/mode?mode=hang&share=0.05"})
                  .m_status,
              200);
  }
  // All requests go to the stopping node, so that each one answered after the
  // signal was in it at the time or arrived later.
  Load load(fleet, {.m_nodes = {0},
                    .m_callers = 24,
                    .m_pause_after_failure = milliseconds(20)});
  ASSERT_TRUE(WaitUntil(milliseconds(20'000),
                        [&load] { return load.Answered() >= 100; }));
  const int answered_before = load.Answered();
  fleet.Node(0).Signal(SIGTERM);
  EXPECT_EQ(fleet.Node(0).Wait(), 0);
  const LoadResult result = load.Stop();
  std::printf(
      "answered=%d (before the stop %d) not_run=%d unknown=%d unsent=%d "
      "no_response=%d\n",
      result.m_answered, answered_before, result.m_not_run, result.m_unknown,
      result.m_unsent, result.m_no_response);
  EXPECT_EQ(result.m_no_response, 0);
  EXPECT_EQ(result.m_wrong, 0) << result.m_first_wrong;
  EXPECT_GT(result.m_answered, answered_before);
  EXPECT_GT(result.m_not_run, 0);
  CheckExecutions(result, fleet.Executions());
}

}  // namespace
}  // namespace sequoiastage
