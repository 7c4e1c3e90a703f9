#include <gtest/gtest.h>
#include <signal.h>

#include <atomic>
#include <thread>
#include <vector>

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

// Instances hang for longer than the drain may take. Guards against a stop that
// closes the connections of callers without a response.
TEST(PlannedStopTest, RequestsThatOutlastTheDrainGetAFinalResponse) {
  constexpr int kRequests = 9;
  Fleet fleet({.m_nodes = 2,
               .m_instances_per_node = 1,
               .m_slots = kRequests,
               .m_drain_timeout = "1s"});
  ASSERT_EQ(fleet.Start(), "");
  for (int node = 0; node < fleet.NodeCount(); ++node) {
    ASSERT_TRUE(fleet.SetMode(node, 0, "hang"));
  }
  std::vector<CallerResponse> responses(kRequests);
  std::vector<std::thread> callers;
  callers.reserve(kRequests);
  std::atomic<int> sent = 0;
  for (int i = 0; i < kRequests; ++i) {
    callers.emplace_back([&fleet, &sent, &response = responses[i], i] {
      CallerRequest request{.m_to = fleet.Caller(0),
                            .m_target = "/jobs/x",
                            .m_fields = {{"Host", "move.example"},
                                         {"Sequoiastage-Deadline-Ms", "20000"}},
                            .m_timeout = milliseconds(15'000)};
      // Keys of the node, keys of another node, and none.
      if (i % 3 > 0) {
        request.m_method = "POST";
        request.m_to = fleet.Caller(i % 3 - 1);
        request.m_fields["Idempotency-Key"] =
            Call(request).Field("idempotency-key");
        request.m_to = fleet.Caller(0);
      }
      ++sent;
      response = Call(request);
    });
  }
  EXPECT_TRUE(WaitUntil(milliseconds(10'000), [&] {
    return sent == kRequests &&
           fleet.TotalStarts(0, 0) + fleet.TotalStarts(1, 0) >= kRequests;
  }));
  fleet.Node(0).Signal(SIGTERM);
  fleet.Node(0).Wait();
  for (std::thread& caller : callers) {
    caller.join();
  }
  for (const CallerResponse& response : responses) {
    EXPECT_TRUE(response.IsComplete()) << response.m_error;
    EXPECT_EQ(response.Outcome(), "unknown");
  }
}

}  // namespace
}  // namespace sequoiastage
