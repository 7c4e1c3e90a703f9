#include "sequoiastage/limits/repeat_allowance.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(RepeatAllowanceTest, GivesEachInstanceItsPartOfTheSlack) {
  RepeatAllowance allowance({.m_used_part = 1});
  allowance.SetInstances(12);
  const TimePoint now(seconds(50));
  for (int i = 0; i < 5; ++i) {
    EXPECT_TRUE(allowance.TryRepeat(now));
  }
  EXPECT_FALSE(allowance.TryRepeat(now));
  EXPECT_FALSE(allowance.TryRepeat(now + seconds(8)));
  EXPECT_TRUE(allowance.TryRepeat(now + seconds(11)));
}

TEST(RepeatAllowanceTest, GrowsWithFirstArrivals) {
  RepeatAllowance allowance({.m_service_slack = 0, .m_used_part = 1});
  const TimePoint now(seconds(50));
  EXPECT_FALSE(allowance.TryRepeat(now));
  for (int i = 0; i < 10; ++i) {
    allowance.OnFirst(now);
  }
  EXPECT_TRUE(allowance.TryRepeat(now));
  EXPECT_TRUE(allowance.TryRepeat(now));
  EXPECT_FALSE(allowance.TryRepeat(now));
}

// A full service: much of its work is slow and some of it fails. Copies of the
// slow work leave most of the allowance to what failed, and use no more when
// nothing fails.
TEST(RepeatAllowanceTest, CopiesOfSlowWorkLeaveTheRestToFailures) {
  RepeatAllowance allowance(
      {.m_service_slack = 40, .m_used_part = 1, .m_copy_part = 0.25});
  const TimePoint now(seconds(50));
  int copies = 0;
  while (allowance.TryRepeat(now, 0, RepeatCause::kSlow)) {
    ++copies;
  }
  EXPECT_EQ(copies, 10);
  int repeats = 0;
  while (allowance.TryRepeat(now)) {
    ++repeats;
  }
  EXPECT_EQ(repeats, 30);
  EXPECT_FALSE(allowance.TryRepeat(now, 0, RepeatCause::kSlow));
}

// All of a service's instances fail for 20 s and every request wants a repeat:
// no window of 10 s holds more repeats than the service's budget.
RC_GTEST_PROP(RepeatAllowanceTest, FleetStaysWithinItsBudget, ()) {
  constexpr uint32_t kInstances = 12;
  const RepeatAllowanceOptions options;
  std::vector<RepeatAllowance> fleet(kInstances, RepeatAllowance(options));
  for (RepeatAllowance& allowance : fleet) {
    allowance.SetInstances(kInstances);
  }
  std::vector<TimePoint> firsts;
  std::vector<TimePoint> repeats;
  const auto gap = *rc::gen::inRange(2, 50);
  for (TimePoint now(seconds(50)); now < TimePoint(seconds(70));
       now += milliseconds(gap)) {
    fleet[*rc::gen::inRange<size_t>(0, kInstances)].OnFirst(now);
    firsts.push_back(now);
    if (fleet[*rc::gen::inRange<size_t>(0, kInstances)].TryRepeat(now)) {
      repeats.push_back(now);
    }
  }
  for (const TimePoint begin : repeats) {
    const auto in_window = [begin](TimePoint at) {
      return at >= begin && at < begin + seconds(10);
    };
    const auto count = std::count_if(repeats.begin(), repeats.end(), in_window);
    const auto first = std::count_if(firsts.begin(), firsts.end(), in_window);
    RC_ASSERT(static_cast<double>(count) <=
              options.m_ratio * static_cast<double>(first) +
                  options.m_service_slack);
  }
}

}  // namespace
}  // namespace sequoiastage
