#include "sequoiastage/limits/retry_allowance.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(RetryAllowanceTest, DividesSlackAmongInstances) {
  RetryAllowance allowance({.m_used_share = 1});
  allowance.SetInstances(12);
  const TimePoint now(seconds(50));
  for (int i = 0; i < 5; ++i) {
    EXPECT_TRUE(allowance.TryAcquire(now));
  }
  EXPECT_FALSE(allowance.TryAcquire(now));
  EXPECT_FALSE(allowance.TryAcquire(now + seconds(8)));
  EXPECT_TRUE(allowance.TryAcquire(now + seconds(11)));
}

TEST(RetryAllowanceTest, GrowsWithFirstAttempts) {
  RetryAllowance allowance({.m_service_slack = 0, .m_used_share = 1});
  const TimePoint now(seconds(50));
  EXPECT_FALSE(allowance.TryAcquire(now));
  for (int i = 0; i < 10; ++i) {
    allowance.OnFirstAttempt(now);
  }
  EXPECT_TRUE(allowance.TryAcquire(now));
  EXPECT_TRUE(allowance.TryAcquire(now));
  EXPECT_FALSE(allowance.TryAcquire(now));
}

// A service at capacity has many slow requests and some failures. Hedged
// requests must leave most of the allowance to retries, and must not exceed
// their share even when nothing fails.
TEST(RetryAllowanceTest, HedgesLeaveMostOfAllowanceToRetries) {
  RetryAllowance allowance(
      {.m_service_slack = 40, .m_used_share = 1, .m_max_hedge_share = 0.25});
  const TimePoint now(seconds(50));
  int hedges = 0;
  while (allowance.TryAcquire(now, 0, ExtraAttempt::kHedge)) {
    ++hedges;
  }
  EXPECT_EQ(hedges, 10);
  int retries = 0;
  while (allowance.TryAcquire(now)) {
    ++retries;
  }
  EXPECT_EQ(retries, 30);
  EXPECT_FALSE(allowance.TryAcquire(now, 0, ExtraAttempt::kHedge));
}

// All instances of a service fail for 20 s and every request is retried: no
// window of 10 s may contain more retries than the service's budget.
RC_GTEST_PROP(RetryAllowanceTest, FleetStaysWithinItsBudget, ()) {
  constexpr uint32_t kInstances = 12;
  const RetryAllowanceOptions options;
  std::vector<RetryAllowance> fleet(kInstances, RetryAllowance(options));
  for (RetryAllowance& allowance : fleet) {
    allowance.SetInstances(kInstances);
  }
  std::vector<TimePoint> first_attempts;
  std::vector<TimePoint> retries;
  const auto gap = *rc::gen::inRange(2, 50);
  for (TimePoint now(seconds(50)); now < TimePoint(seconds(70));
       now += milliseconds(gap)) {
    fleet[*rc::gen::inRange<size_t>(0, kInstances)].OnFirstAttempt(now);
    first_attempts.push_back(now);
    if (fleet[*rc::gen::inRange<size_t>(0, kInstances)].TryAcquire(now)) {
      retries.push_back(now);
    }
  }
  for (const TimePoint begin : retries) {
    const auto is_in_window = [begin](TimePoint at) {
      return at >= begin && at < begin + seconds(10);
    };
    const auto count =
        std::count_if(retries.begin(), retries.end(), is_in_window);
    const auto first_count = std::count_if(first_attempts.begin(),
                                           first_attempts.end(), is_in_window);
    RC_ASSERT(static_cast<double>(count) <=
              options.m_ratio * static_cast<double>(first_count) +
                  options.m_service_slack);
  }
}

}  // namespace
}  // namespace sequoiastage
