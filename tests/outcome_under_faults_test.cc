#include <gtest/gtest.h>
#include <signal.h>

#include <set>

#include "fleet.h"
#include "load.h"

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;

// Kills, restarts, freezes and thaws nodes while a load runs.
class FaultSchedule {
 public:
  FaultSchedule(Fleet& fleet, uint64_t seed) : m_fleet(fleet), m_random(seed) {}

  int Faults() const { return m_faults; }

  // Injects faults until `is_done`; all nodes run afterwards.
  void Run(const std::function<bool()>& is_done) {
    while (!WaitUntil(Between(100, 400), is_done)) {
      const int node = static_cast<int>(
          m_random() % static_cast<uint64_t>(m_fleet.NodeCount()));
      ++m_faults;
      if (m_random() % 2 == 0) {
        KillAndRestart(node, is_done);
      } else {
        FreezeAndThaw(node, is_done);
      }
    }
  }

 private:
  milliseconds Between(int64_t low, int64_t high) {
    return milliseconds(
        std::uniform_int_distribution<int64_t>(low, high)(m_random));
  }

  void KillAndRestart(int node, const std::function<bool()>& is_done) {
    m_fleet.Node(node).Kill();
    WaitUntil(Between(0, 600), is_done);
    m_fleet.StartNode(node);
  }

  void FreezeAndThaw(int node, const std::function<bool()>& is_done) {
    m_fleet.Node(node).Signal(SIGSTOP);
    WaitUntil(Between(50, 2500), is_done);
    m_fleet.Node(node).Signal(SIGCONT);
  }

  Fleet& m_fleet;
  std::mt19937_64 m_random;
  int m_faults = 0;
};

TEST(OutcomeUnderFaultsTest, AnswersAreOwnNotRunIsTrueAndNothingRunsTwice) {
  const uint64_t seed = ScheduleSeed();
  Fleet fleet;
  ASSERT_EQ(fleet.Start(), "");
  const LoadOptions options{.m_callers = 16,
                            .m_requests_per_caller = 625,
                            .m_keyed_every = 4,
                            .m_deadline = milliseconds(1500),
                            .m_seed = seed};
  Load load(fleet, options);
  FaultSchedule faults(fleet, seed);
  faults.Run([&load] { return load.IsDone(); });
  const LoadResult result = load.Stop();
  // Nothing starts later than the last caller's deadline; then the counts
  // stand still.
  const auto end = std::chrono::steady_clock::now() + options.m_deadline;
  WaitUntil(options.m_deadline + milliseconds(1000),
            [end] { return std::chrono::steady_clock::now() > end; });
  const std::map<std::string, int> executions = fleet.Executions();

  EXPECT_EQ(result.m_wrong, 0) << result.m_first_wrong;
  int not_run = 0;
  for (const auto& [id, record] : result.m_keyed) {
    const auto found = executions.find(id);
    const int count = found == executions.end() ? 0 : found->second;
    EXPECT_LE(count, 1) << id << " ran more than once";
    if (record.m_was_answered) {
      EXPECT_EQ(count, 1) << id << " was answered";
    }
    if (record.m_is_not_run) {
      ++not_run;
      EXPECT_EQ(count, 0) << id << " was told not-run";
    }
  }
  std::printf(
      "requests=%d answered=%d not_run=%d unknown=%d unsent=%d no_answer=%d "
      "faults=%d "
      "keyed=%zu keyed_not_run=%d longest_ms=%lld\n",
      result.m_requests, result.m_answered, result.m_not_run, result.m_unknown,
      result.m_unsent, result.m_no_answer, faults.Faults(),
      result.m_keyed.size(), not_run,
      static_cast<long long>(result.m_longest.count() / 1000));
  // The schedule must have reached what the test is about.
  EXPECT_GT(faults.Faults(), 3);
  EXPECT_GT(result.m_answered, result.m_requests / 2);
  for (int node = 0; node < fleet.NodeCount(); ++node) {
    EXPECT_TRUE(
        WaitUntil(milliseconds(5000), [&] { return fleet.IsServing(node); }))
        << "node " << node;
  }
}

}  // namespace
}  // namespace sequoiastage
