#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <random>

#include "naive_limits.h"
#include "sequoiastage/limits/fair_shares.h"
#include "sequoiastage/limits/retry_after.h"
#include "sequoiastage/limits/retry_budget.h"

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

// Number of granted retries when each of `requests` asks for three.
template <class Budget>
int CountRetries(Budget budget, int requests, Duration gap) {
  int retries = 0;
  TimePoint now = kStart;
  for (int i = 0; i < requests; ++i) {
    now += gap;
    budget.OnRequest(now);
    for (int attempt = 0; attempt < 3; ++attempt) {
      retries += budget.TryRetry(now) ? 1 : 0;
    }
  }
  return retries;
}

RC_GTEST_PROP(RetryBudgetTest, BoundsRetriesToShareOfRequests, ()) {
  const RetryBudgetOptions options;
  const int requests = *rc::gen::inRange(50, 2000);
  const Duration gap = milliseconds(*rc::gen::inRange(0, 50));
  const double seconds_run =
      std::chrono::duration<double>(gap * requests).count();
  const double bound = options.m_share * requests + options.m_max_tokens +
                       options.m_min_retries_per_s * seconds_run + 1;
  RC_ASSERT(CountRetries(RetryBudget(options, kStart), requests, gap) <= bound);
  RC_ASSERT(CountRetries(UnlimitedRetries(), requests, gap) > bound);
}

TEST(RetryBudgetTest, AllowsRetriesAtLowRequestRate) {
  EXPECT_EQ(CountRetries(RetryBudget({}, kStart), 3, seconds(60)), 9);
}

RC_GTEST_PROP(RetryAfterTest, StaysWithinBounds, (uint64_t seed)) {
  const RetryAfterOptions options;
  RetryAfter retry_after(options, kStart);
  std::mt19937_64 random(seed);
  TimePoint now = kStart;
  for (int i = 0; i < 200; ++i) {
    now += milliseconds(random() % 100);
    if (random() % 4 == 0) {
      retry_after.OnAnswered(now);
    } else {
      retry_after.OnRefused(now);
    }
    const auto drawn = retry_after.Draw(now, random);
    RC_ASSERT(drawn >= options.m_min);
    RC_ASSERT(drawn <= options.m_max);
  }
}

TEST(RetryAfterTest, GrowsWithOverload) {
  std::mt19937_64 random(1);
  double last_mean = 0;
  for (const int refused : {30, 100, 300}) {
    RetryAfter retry_after({}, kStart);
    for (int i = 0; i < 100; ++i) {
      retry_after.OnAnswered(kStart);
    }
    for (int i = 0; i < refused; ++i) {
      retry_after.OnRefused(kStart);
    }
    double sum = 0;
    for (int i = 0; i < 1000; ++i) {
      sum += static_cast<double>(retry_after.Draw(kStart, random).count());
    }
    EXPECT_GT(sum / 1000, 1.5 * last_mean);
    last_mean = sum / 1000;
  }
}

TEST(FairSharesTest, UsageHalvesPerHalfLife) {
  FairShares shares({.m_half_life = seconds(10)});
  shares.Add(AccountId(1), seconds(4), kStart);
  EXPECT_NEAR(shares.Usage(AccountId(1), kStart + seconds(20)), 1, 1e-9);
  EXPECT_EQ(shares.Usage(AccountId(2), kStart), 0);
}

TEST(FairSharesTest, BoundsNumberOfAccounts) {
  FairShares shares({.m_max_accounts = 100});
  for (uint32_t i = 0; i < 1000; ++i) {
    shares.Add(AccountId(i), milliseconds(1 + i), kStart);
    ASSERT_LE(shares.AccountCount(), 100U);
  }
  EXPECT_GT(shares.Usage(AccountId(999), kStart), 0);
}

}  // namespace
}  // namespace sequoiastage
