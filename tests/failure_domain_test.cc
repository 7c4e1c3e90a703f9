#include <gtest/gtest.h>

#include <algorithm>

#include "fleet.h"
#include "load.h"

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;

// Two hosts in each of six failure domains.
constexpr int kNodes = 12;
constexpr int kDomains = 6;
// More than the slots of one failure domain, so that requests spill over to the
// other one in the region.
constexpr int kCallers = 10;
// Time after which no request is lost to failed hosts.
constexpr milliseconds kLossLimit{3000};
constexpr milliseconds kStartLimit{15'000};

// Checks at-most-once execution against the counts of the surviving instances.
void ExpectNothingRanTwice(const LoadResult& result,
                           const std::map<std::string, int>& executions) {
  for (const auto& [id, record] : result.m_keyed) {
    const auto found = executions.find(id);
    const int count = found == executions.end() ? 0 : found->second;
    EXPECT_LE(count, 1) << id << " ran more than once";
    EXPECT_TRUE(!record.m_is_not_run || count == 0)
        << id << " was told not-run";
  }
}

std::vector<int> DomainNodes(int domain) {
  return {domain, domain + kDomains};
}

TEST(FailureDomainTest, LossAffectsNoOtherDomainAndItRecoversFully) {
  const uint64_t seed = ScheduleSeed();
  const int domain = static_cast<int>(seed % kDomains);
  Fleet fleet({.m_nodes = kNodes, .m_instances_per_node = 1});
  ASSERT_EQ(fleet.Start(), "");
  const std::vector<int> lost = DomainNodes(domain);
  const std::vector<int> nearest = DomainNodes(domain ^ 1);
  Load during(fleet, {.m_name = "during-",
                      .m_nodes = nearest,
                      .m_callers = kCallers,
                      .m_seed = seed});
  ASSERT_TRUE(WaitUntil(milliseconds(10'000), [&] {
    return std::all_of(lost.begin(), lost.end(), [&fleet](int node) {
      return fleet.TotalStarts(node, 0) > 50;
    });
  })) << "no work goes to the failure domain";
  for (const int node : lost) {
    fleet.KillHost(node);
  }
  const auto limit = std::chrono::steady_clock::now() + kLossLimit;
  const int answered_before = during.Answered();
  WaitUntil(2 * kLossLimit,
            [limit] { return std::chrono::steady_clock::now() >= limit; });
  const int answered_after = during.Answered();
  Load later(fleet, {.m_name = "later-",
                     .m_nodes = nearest,
                     .m_callers = kCallers / 2,
                     .m_seed = seed});
  EXPECT_TRUE(WaitUntil(milliseconds(10'000),
                        [&later] { return later.Answered() >= 1000; }));
  const LoadResult after = later.Stop();
  const LoadResult around = during.Stop();
  EXPECT_GT(answered_after, answered_before);
  EXPECT_EQ(around.m_wrong, 0) << around.m_first_wrong;
  EXPECT_EQ(around.m_no_response + around.m_unsent, 0);
  EXPECT_EQ(after.m_wrong, 0) << after.m_first_wrong;
  EXPECT_EQ(after.m_answered, after.m_requests);
  EXPECT_EQ(after.m_not_run, 0);
  EXPECT_EQ(after.m_unknown, 0);
  EXPECT_EQ(after.m_no_response + after.m_unsent, 0);
  std::printf(
      "failure domain %d lost: answered=%d in 3 s, not_run=%d unknown=%d; "
      "later: answered=%d longest_ms=%lld\n",
      domain, answered_after - answered_before, around.m_not_run,
      around.m_unknown, after.m_answered,
      static_cast<long long>(after.m_longest.count() / 1000));

  for (const int node : lost) {
    fleet.StartHost(node);
  }
  EXPECT_TRUE(WaitUntil(kStartLimit, [&] {
    return std::all_of(lost.begin(), lost.end(), [&fleet](int node) {
      return fleet.IsServing(node) &&
             fleet.KnownInstances(node) == fleet.InstanceCount();
    });
  })) << "the failure domain is not back";
  // Its instances receive requests again.
  Load back(fleet, {.m_name = "back-", .m_callers = 6, .m_seed = seed});
  EXPECT_TRUE(WaitUntil(kStartLimit, [&] {
    return std::all_of(lost.begin(), lost.end(), [&fleet](int node) {
      return fleet.TotalStarts(node, 0) > 20;
    });
  }));
  const LoadResult whole = back.Stop();
  EXPECT_EQ(whole.m_wrong, 0) << whole.m_first_wrong;
  EXPECT_EQ(whole.m_answered, whole.m_requests);
  const auto executions = fleet.Executions();
  for (const LoadResult* result : {&around, &after, &whole}) {
    ExpectNothingRanTwice(*result, executions);
  }
}

}  // namespace
}  // namespace sequoiastage
