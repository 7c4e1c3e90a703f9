#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "sequoiastage/limits/account_pool.h"
#include "sequoiastage/limits/sliding_maximum.h"

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart = TimePoint(seconds(100));
constexpr AccountId kAccount = AccountId(7);
constexpr Duration kStep = milliseconds(20);
const AccountLimit kLimit{.m_rate = RequestRate(200), .m_burst = 200};
const AccountQuotaOptions kQuota{};

// Grants of a pool with one node that asks for `demand(t)` tokens in step t.
template <class Demand>
std::vector<int> RunPool(int steps, const Demand& demand) {
  AccountPool pool({.m_quota = kQuota});
  pool.SetFleet({.m_nodes = 1, .m_assumed = 1});
  const NodeId node(Endpoint{.m_ip = 1, .m_port = 1});
  pool.AddShare(node, Duration{}, kStart);
  pool.Open(kAccount, kLimit, true, kStart);
  std::vector<int> grants;
  uint16_t spent = 0;
  for (int i = 1; i <= steps; ++i) {
    const TimePoint now = kStart + i * kStep;
    pool.AddShare(node, kStep, now);
    const TokenGrant grant =
        pool.OnRequest(node, kLimit,
                       {.m_account = kAccount,
                        .m_waiting = static_cast<uint16_t>(demand(i)),
                        .m_spent = spent},
                       now);
    spent = grant.m_granted;
    grants.push_back(grant.m_granted);
  }
  return grants;
}

double MostInAWindow(const std::vector<int>& grants) {
  const auto length = static_cast<size_t>(kQuota.m_window / kStep);
  double sum = 0;
  double most = 0;
  for (size_t i = 0; i < grants.size(); ++i) {
    sum += grants[i] - (i >= length ? grants[i - length] : 0);
    most = std::max(most, sum);
  }
  return most;
}

constexpr double kAllowed = (200 * 5 + 200) * 1.1 + 20;

// Guards against an account that is held to its bare rate although its burst
// would fit into each window: 250 requests per second for 30 s.
TEST(AccountBurstTest, LastingDemandGetsTheBurstOncePerWindow) {
  const auto grants = RunPool(1500, [](int) { return 5; });
  EXPECT_LE(MostInAWindow(grants), kAllowed);
  int late = 0;
  for (size_t i = 500; i < grants.size(); ++i) {
    late += grants[i];
  }
  // 20 s at 200 + 200 / 5 per second, less what the sliding maximum holds back.
  EXPECT_GE(late, 20 * 200 + 4 * 200 * 0.9);
}

TEST(AccountBurstTest, ARestedAccountMaySendItsBurstAtOnce) {
  const auto grants = RunPool(10, [](int i) { return i == 10 ? 200 : 0; });
  EXPECT_EQ(grants.back(), 200);
}

// Guards against a burst that is paid out twice in one window: by the bucket
// and by the rate.
TEST(AccountBurstTest, NoPatternOfDemandExceedsTheWindow) {
  for (const int pause : {0, 10, 50, 100, 200, 249, 250, 251, 300}) {
    for (const int length : {1, 5, 50, 250, 400}) {
      const auto grants = RunPool(2500, [&](int i) {
        return i % (pause + length) < length ? 400 / length + 20 : 0;
      });
      EXPECT_LE(MostInAWindow(grants), kAllowed) << pause << " " << length;
    }
  }
}

TEST(SlidingMaximumTest, ForgetsAfterTheWindow) {
  SlidingMaximum maximum(seconds(5), 3, kStart);
  EXPECT_EQ(maximum.At(kStart + seconds(5)), 3);
  maximum.Add(1, kStart + seconds(5));
  EXPECT_EQ(maximum.At(kStart + seconds(6)), 1);
  maximum.Add(2, kStart + seconds(7));
  EXPECT_EQ(maximum.At(kStart + seconds(12)), 2);
  EXPECT_EQ(maximum.At(kStart + seconds(13)), 0);
}

}  // namespace
}  // namespace sequoiastage
