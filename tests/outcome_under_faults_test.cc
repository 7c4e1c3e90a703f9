#include <gtest/gtest.h>

#include "execution_check.h"
#include "fault_schedule.h"
#include "fleet.h"
#include "load.h"

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kDeadline{1500};

// Callers with unique bodies at all nodes while faults go on.
void KeepsPromisesUnder(const std::vector<Fault>& faults,
                        bool has_relay,
                        int requests_per_caller) {
  const uint64_t seed = ScheduleSeed();
  Fleet fleet({.m_has_relay = has_relay});
  ASSERT_EQ(fleet.Start(), "");
  Load load(fleet, {.m_callers = 16,
                    .m_requests_per_caller = requests_per_caller,
                    .m_keyed_every = 4,
                    .m_deadline = kDeadline,
                    .m_seed = seed});
  FaultSchedule schedule(fleet, faults, seed);
  schedule.Run([&load] { return load.IsDone(); });
  const LoadResult result = load.Stop();
  // Nothing starts after the last caller's deadline: then the counts stand.
  const auto end = std::chrono::steady_clock::now() + kDeadline;
  WaitUntil(2 * kDeadline,
            [end] { return std::chrono::steady_clock::now() > end; });
  const int not_run = CheckExecutions(result, fleet.Executions());
  EXPECT_EQ(result.m_wrong, 0) << result.m_first_wrong;
  std::printf(
      "requests=%d answered=%d not_run=%d unknown=%d unsent=%d no_answer=%d "
      "faults=%d keyed=%zu keyed_not_run=%d longest_ms=%lld\n",
      result.m_requests, result.m_answered, result.m_not_run, result.m_unknown,
      result.m_unsent, result.m_no_answer, schedule.Faults(),
      result.m_keyed.size(), not_run,
      static_cast<long long>(result.m_longest.count() / 1000));
  for (const auto& [reason, count] : result.m_not_run_reasons) {
    std::printf("not-run %d times: %s\n", count, reason.c_str());
  }
  // The schedule must have reached what the test is about.
  EXPECT_GT(schedule.Faults(), 3);
  EXPECT_GT(result.m_answered, result.m_requests / 2);
  for (int node = 0; node < fleet.NodeCount(); ++node) {
    const auto is_serving = [&fleet, node] { return fleet.IsServing(node); };
    EXPECT_TRUE(WaitUntil(milliseconds(10'000), is_serving)) << "node " << node;
  }
}

TEST(OutcomeUnderFaultsTest, AnswersAreOwnNotRunIsTrueAndNothingRunsTwice) {
  KeepsPromisesUnder({Fault::kKill, Fault::kFreeze}, /*has_relay=*/false, 625);
}

TEST(OutcomeUnderFaultsTest, TheSameUnderOneWayCuts) {
  KeepsPromisesUnder({Fault::kCutOneWay}, /*has_relay=*/true, 400);
}

TEST(OutcomeUnderFaultsTest, TheSameUnderAllFaultsTogether) {
  KeepsPromisesUnder({Fault::kCutOneWay, Fault::kKill, Fault::kFreeze},
                     /*has_relay=*/true, 400);
}

}  // namespace
}  // namespace sequoiastage
