#include <gtest/gtest.h>

#include "execution_check.h"
#include "fault_schedule.h"
#include "fleet.h"
#include "load.h"

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kDeadline{1500};
// Minimum progress after which a test stops.
struct Goal {
  int m_min_answered = 0;
  int m_faults = 4;
};

// Sends requests with unique bodies to all nodes under faults until the goal is
// reached, then checks every outcome.
void CheckOutcomesUnder(const FleetOptions& options,
                        const FaultScheduleOptions& faults,
                        const Goal& goal) {
  Fleet fleet(options);
  ASSERT_EQ(fleet.Start(), "");
  Load load(fleet, {.m_callers = 16,
                    .m_keyed_every = 4,
                    .m_deadline = kDeadline,
                    .m_seed = faults.m_seed});
  FaultSchedule schedule(fleet, faults);
  schedule.Run([&] {
    return load.Answered() >= goal.m_min_answered &&
           schedule.Faults() >= goal.m_faults;
  });
  const LoadResult result = load.Stop();
  // No execution starts after the deadline of the last request, so the counts
  // are final then.
  const auto end = std::chrono::steady_clock::now() + kDeadline;
  WaitUntil(2 * kDeadline,
            [end] { return std::chrono::steady_clock::now() > end; });
  const int not_run = CheckExecutions(result, fleet.Executions());
  EXPECT_EQ(result.m_wrong, 0) << result.m_first_wrong;
  std::printf(
      "requests=%d answered=%d not_run=%d unknown=%d unsent=%d no_answer=%d "
      "faults=%d keyed=%zu keyed_not_run=%d longest_ms=%lld\n",
      result.m_requests, result.m_answered, result.m_not_run, result.m_unknown,
      result.m_unsent, result.m_no_response, schedule.Faults(),
      result.m_keyed.size(), not_run,
      static_cast<long long>(result.m_longest.count() / 1000));
  for (const auto& [reason, count] : result.m_not_run_reasons) {
    std::printf("not-run %d times: %s\n", count, reason.c_str());
  }
  EXPECT_GE(schedule.Faults(), goal.m_faults);
  EXPECT_GT(result.m_answered, result.m_requests / 2);
  for (int node = 0; node < fleet.NodeCount(); ++node) {
    const auto is_serving = [&fleet, node] { return fleet.IsServing(node); };
    EXPECT_TRUE(WaitUntil(milliseconds(10'000), is_serving)) << "node " << node;
  }
}

TEST(OutcomeUnderFaultsTest, AnswersAreOwnNotRunIsTrueAndNothingRunsTwice) {
  CheckOutcomesUnder(
      {}, {.m_kinds = {Fault::kKill, Fault::kFreeze}, .m_seed = ScheduleSeed()},
      {.m_min_answered = 10'000});
}

TEST(OutcomeUnderFaultsTest, TheSameUnderOneWayCuts) {
  CheckOutcomesUnder({.m_has_relay = true},
                     {.m_kinds = {Fault::kCutOneWay}, .m_seed = ScheduleSeed()},
                     {.m_min_answered = 6'400});
}

TEST(OutcomeUnderFaultsTest, TheSameUnderAllFaultsTogether) {
  CheckOutcomesUnder(
      {.m_has_relay = true},
      {.m_kinds = {Fault::kCutOneWay, Fault::kKill, Fault::kFreeze},
       .m_seed = ScheduleSeed()},
      {.m_min_answered = 6'400});
}

TEST(OutcomeUnderFaultsTest, TheSameUnderTwoFaultsAtATime) {
  CheckOutcomesUnder(
      {.m_nodes = 6, .m_instances_per_node = 1, .m_has_relay = true},
      {.m_kinds = {Fault::kCutOneWay, Fault::kKill, Fault::kFreeze},
       .m_seed = ScheduleSeed(),
       .m_concurrent_faults = 2},
      {.m_min_answered = 2'000, .m_faults = 12});
}

}  // namespace
}  // namespace sequoiastage
