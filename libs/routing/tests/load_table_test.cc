#include "sequoiastage/routing/load_table.h"

#include <gtest/gtest.h>

namespace sequoiastage {
namespace {

using std::chrono::seconds;

const InstanceId kInstance({.m_ip = 1, .m_port = 80});
const InstanceId kSibling({.m_ip = 2, .m_port = 80});
constexpr TimePoint kStart(std::chrono::hours(1));

TEST(LoadTableTest, UnknownInstanceHasNoLoad) {
  const LoadEstimate estimate = LoadTable().Estimate(kInstance, kStart);
  EXPECT_EQ(estimate.m_load, 0);
  EXPECT_FALSE(estimate.m_age);
}

TEST(LoadTableTest, CountsOwnRequestsExactly) {
  LoadTable table;
  table.OnSent(kInstance, kStart);
  table.OnSent(kInstance, kStart);
  table.OnEnded(kInstance, kStart);
  EXPECT_EQ(table.Estimate(kInstance, kStart + seconds(50)).m_load, 1);
}

TEST(LoadTableTest, LoadOfOtherNodesDecays) {
  LoadTable table;
  table.OnSent(kInstance, kStart);
  table.OnReport(kInstance, {.m_in_use = 3, .m_queued = 2}, kStart);
  EXPECT_DOUBLE_EQ(table.Estimate(kInstance, kStart).m_load, 5);
  EXPECT_DOUBLE_EQ(table.Estimate(kInstance, kStart + seconds(2)).m_load, 3);
  EXPECT_DOUBLE_EQ(table.Estimate(kInstance, kStart + seconds(4)).m_load, 2);
}

TEST(LoadTableTest, SuspicionAndSiblingExpireWithReport) {
  LoadTable table;
  table.OnReport(kInstance, {.m_suspect = true, .m_best_sibling = kSibling},
                 kStart);
  const LoadEstimate fresh = table.Estimate(kInstance, kStart + seconds(9));
  EXPECT_TRUE(fresh.m_suspect);
  EXPECT_EQ(fresh.m_best_sibling, kSibling);
  const LoadEstimate old = table.Estimate(kInstance, kStart + seconds(11));
  EXPECT_FALSE(old.m_suspect);
  EXPECT_FALSE(old.m_best_sibling);
}

TEST(LoadTableTest, SweepKeepsInstancesWithRequestsInFlight) {
  LoadTable table;
  table.OnSent(kInstance, kStart);
  table.OnReport(kSibling, {}, kStart);
  table.Sweep(kStart + seconds(100));
  EXPECT_EQ(table.Size(), 1U);
  EXPECT_EQ(table.Estimate(kInstance, kStart).m_own_in_flight, 1U);
}

}  // namespace
}  // namespace sequoiastage
