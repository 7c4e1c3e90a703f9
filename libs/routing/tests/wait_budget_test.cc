#include "sequoiastage/routing/wait_budget.h"

#include <gtest/gtest.h>

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

TEST(WaitBudgetTest, IsAFractionOfTheObjectiveWithAMinimum) {
  const WaitBudgetOptions options{.m_fraction = 0.25,
                                  .m_min = milliseconds(60)};
  EXPECT_EQ(WaitBudget(options, seconds(4)).Left(kStart), seconds(1));
  EXPECT_EQ(WaitBudget(options, milliseconds(100)).Left(kStart),
            milliseconds(60));
}

// Several offers in sequence must not each get the whole wait.
TEST(WaitBudgetTest, SumsAllWaits) {
  WaitBudget budget({}, seconds(4));
  budget.StartWaiting(kStart);
  budget.StartWaiting(kStart + milliseconds(300));
  EXPECT_EQ(budget.Left(kStart + milliseconds(600)), milliseconds(400));
  EXPECT_EQ(budget.Left(kStart + seconds(2)), Duration{});
}

// A request that ran for a while and was then refused by its instance has not
// waited in that time.
TEST(WaitBudgetTest, TimeOfExecutionIsNotCounted) {
  WaitBudget budget({}, seconds(4));
  budget.StartWaiting(kStart);
  budget.StopWaiting(kStart + milliseconds(300));
  budget.StopWaiting(kStart + milliseconds(900));
  EXPECT_EQ(budget.Left(kStart + seconds(5)), milliseconds(700));
  budget.StartWaiting(kStart + seconds(5));
  EXPECT_EQ(budget.Left(kStart + seconds(5) + milliseconds(200)),
            milliseconds(500));
}

}  // namespace
}  // namespace sequoiastage
