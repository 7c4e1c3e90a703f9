#include <gtest/gtest.h>

#include <fmt/format.h>

#include <algorithm>
#include <numeric>
#include <set>
#include <string>
#include <vector>

#include "account_fleet.h"

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kNodes = 104;
constexpr uint32_t kRegions = 3;
constexpr TimePoint kFailureAt = AccountFleet::kStart + seconds(20);
constexpr TimePoint kEnd = kFailureAt + seconds(60);
// Longest time for which requests below the limit may be rejected.
constexpr Duration kAllowed = seconds(2);

struct RecoveryLoad {
  double m_rate = 0;
  double m_burst = 0;
  // Part of the limit that is sent.
  double m_part = 0;
};

// One account below its limit, whose requests arrive at all nodes, before and
// after a failure.
class AccountRecoveryTest : public testing::TestWithParam<RecoveryLoad> {
 protected:
  // Plays `fail` at kFailureAt with several seeds; it returns the times of the
  // failures, in order. From kAllowed after each of them on, no more requests
  // may be rejected than without failures (A4): 0.5%, or one.
  template <class Fail>
  void ExpectRecovery(const std::string& name, const Fail& fail) {
    for (uint64_t seed = 1; seed <= 4; ++seed) {
      const RecoveryLoad& load = GetParam();
      AccountFleet fleet({.m_nodes = kNodes,
                          .m_regions = kRegions,
                          .m_limit = {.m_rate = RequestRate(load.m_rate),
                                      .m_burst = load.m_burst},
                          .m_seed = seed,
                          .m_breaks_links = true});
      std::vector<uint32_t> nodes(kNodes);
      std::iota(nodes.begin(), nodes.end(), 0);
      fleet.RunUntil(AccountFleet::kStart + seconds(2));
      fleet.SendLoad(nodes, load.m_part * load.m_rate);
      fleet.RunUntil(kFailureAt);
      const uint64_t before = fleet.Requests();
      const std::vector<TimePoint> failures = fail(fleet);
      fleet.RunUntil(kEnd);
      ExpectFewLate(
          fmt::format("{}, rate {} burst {} at {} of the limit, seed "
                      "{}",
                      name, load.m_rate, load.m_burst, load.m_part, seed),
          fleet, failures, fleet.Requests() - before);
    }
  }

 private:
  static void ExpectFewLate(const std::string& name,
                            const AccountFleet& fleet,
                            const std::vector<TimePoint>& failures,
                            uint64_t requests) {
    uint64_t late = 0;
    uint64_t total = 0;
    Duration longest{};
    for (const TimePoint at : fleet.Refusals()) {
      if (at < failures.front()) {
        continue;
      }
      const TimePoint last =
          *std::prev(std::upper_bound(failures.begin(), failures.end(), at));
      ++total;
      late += at - last >= kAllowed ? 1 : 0;
      longest = std::max(longest, Duration(at - last));
    }
    fmt::print(
        "{}: {} of {} requests rejected, the last {} ms after a failure, {} of "
        "them too late\n",
        name, total, requests,
        std::chrono::duration_cast<milliseconds>(longest).count(), late);
    EXPECT_LE(static_cast<double>(late),
              std::max(1.0, 0.005 * static_cast<double>(requests)))
        << name;
    const AccountQuotaOptions quota;
    EXPECT_LE(
        static_cast<double>(MaxRunsInWindow(fleet.Runs(), quota.m_window)),
        (GetParam().m_rate * 5 + GetParam().m_burst) * (1 + quota.m_overage) +
            quota.m_slack)
        << name;
  }
};

// Guards against a new coordinator that starts without tokens.
TEST_P(AccountRecoveryTest, CoordinatorKilled) {
  ExpectRecovery("coordinator killed", [](AccountFleet& fleet) {
    const uint32_t coordinator = fleet.Coordinator();
    const TimePoint back_at = kFailureAt + seconds(10);
    fleet.Kill(coordinator);
    fleet.At(back_at, [&fleet, coordinator] { fleet.Restart(coordinator); });
    return std::vector<TimePoint>{kFailureAt, back_at};
  });
}

// Guards against buckets that stay empty after all state was lost.
TEST_P(AccountRecoveryTest, AllNodesKilledForASecond) {
  ExpectRecovery("all killed", [](AccountFleet& fleet) {
    for (uint32_t node = 0; node < kNodes; ++node) {
      fleet.Kill(node);
      fleet.At(kFailureAt + milliseconds(500 + fleet.Random()() % 500),
               [&fleet, node] { fleet.Restart(node); });
    }
    return std::vector<TimePoint>{kFailureAt + seconds(1)};
  });
}

// Guards against nodes that return to silent coordinators again and again, and
// that borrow from nodes which they cannot reach.
TEST_P(AccountRecoveryTest, ThirdOfTheNodesCutOff) {
  ExpectRecovery("35% cut off", [](AccountFleet& fleet) {
    std::set<uint32_t> group;
    while (group.size() < kNodes * 35 / 100) {
      group.insert(static_cast<uint32_t>(fleet.Random()() % kNodes));
    }
    group.insert(fleet.Coordinator());
    const TimePoint healed_at = kFailureAt + seconds(20);
    fleet.CutOff(group);
    fleet.At(healed_at, [&fleet] { fleet.Heal(); });
    return std::vector<TimePoint>{kFailureAt, healed_at};
  });
}

// Guards against a planned stop that takes the tokens of its coordinator along.
TEST_P(AccountRecoveryTest, NodesStopInTurn) {
  ExpectRecovery("rolling stops", [](AccountFleet& fleet) {
    // The coordinator of one region, then others of all regions.
    std::vector<uint32_t> stopped{fleet.Coordinator()};
    for (uint32_t node = 0; stopped.size() < kNodes / 4; ++node) {
      if (node != stopped.front()) {
        stopped.push_back(node);
      }
    }
    TimePoint at = kFailureAt;
    for (const uint32_t node : stopped) {
      fleet.At(at, [&fleet, node] { fleet.Leave(node); });
      fleet.At(at + milliseconds(1500), [&fleet, node] { fleet.Kill(node); });
      fleet.At(at + seconds(3), [&fleet, node] { fleet.Return(node); });
      at += seconds(1);
    }
    // There is a failure at any moment of the stops, so that all rejections
    // after the first 2 s count as late.
    return std::vector<TimePoint>{kFailureAt};
  });
}

INSTANTIATE_TEST_SUITE_P(Loads,
                         AccountRecoveryTest,
                         testing::Values(RecoveryLoad{2, 2, 0.7},
                                         RecoveryLoad{50, 20, 0.7},
                                         RecoveryLoad{1000, 0, 0.7},
                                         RecoveryLoad{2, 2, 0.9},
                                         RecoveryLoad{50, 20, 0.9},
                                         RecoveryLoad{1000, 0, 0.9}),
                         [](const auto& test) {
                           return fmt::format("Rate{}At{}Percent",
                                              test.param.m_rate,
                                              100 * test.param.m_part);
                         });

}  // namespace
}  // namespace sequoiastage
