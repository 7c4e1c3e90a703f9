#include <gtest/gtest.h>

#include "sequoiastage/limits/retry_allowance.h"

namespace sequoiastage {
namespace {

using std::chrono::seconds;

constexpr TimePoint kNow(seconds(50));

RetryAllowance MakeAllowance() {
  RetryAllowance allowance({.m_service_slack = 40, .m_used_share = 1});
  allowance.SetSharesByAccount(true);
  return allowance;
}

int AcquireAll(RetryAllowance& allowance, const ExtraAttemptRequest& request) {
  int count = 0;
  while (allowance.TryAcquire(kNow, request)) {
    ++count;
  }
  return count;
}

// One account retries far more than the others and must not use their part.
TEST(RetryAccountTest, AccountsShareTheAllowanceWhileOthersAsk) {
  RetryAllowance allowance = MakeAllowance();
  EXPECT_TRUE(allowance.TryAcquire(kNow, {.m_account = AccountId(1)}));
  EXPECT_TRUE(allowance.TryAcquire(kNow, {.m_account = AccountId(2)}));
  EXPECT_EQ(AcquireAll(allowance, {.m_account = AccountId(1)}), 19);
  EXPECT_EQ(AcquireAll(allowance, {.m_account = AccountId(2)}), 19);
}

TEST(RetryAccountTest, SingleAccountMayUseTheWholeAllowance) {
  RetryAllowance allowance = MakeAllowance();
  EXPECT_EQ(AcquireAll(allowance, {.m_account = AccountId(1)}), 40);
}

// A refused call ends the run that makes it. New work that is more urgent must
// not reserve a part of the budget against calls.
TEST(RetryAccountTest, CallsMayUseTheWholeAllowance) {
  RetryAllowance allowance = MakeAllowance();
  allowance.OnFirstAttempt(kNow, 0);
  EXPECT_EQ(AcquireAll(allowance, {.m_urgency = 3,
                                   .m_kind = ExtraAttempt::kHedge,
                                   .m_account = AccountId(1)}),
            16);
  EXPECT_EQ(AcquireAll(allowance, {.m_urgency = 3,
                                   .m_kind = ExtraAttempt::kHedge,
                                   .m_is_call = true,
                                   .m_account = AccountId(2)}),
            24);
}

// Memory is bounded however many accounts retry, and the total still binds.
TEST(RetryAccountTest, CountsABoundedNumberOfAccounts) {
  RetryAllowance allowance = MakeAllowance();
  int acquired = 0;
  for (uint64_t account = 0; account < 100000; ++account) {
    acquired += allowance.TryAcquire(kNow, {.m_account = AccountId(account)});
  }
  EXPECT_EQ(acquired, 40);
  EXPECT_LE(allowance.AccountCount(), 256U);
  allowance.TryAcquire(kNow + seconds(11), {.m_account = AccountId(1)});
  allowance.TryAcquire(kNow + seconds(11), {.m_account = AccountId(100001)});
  EXPECT_LE(allowance.AccountCount(), 2U);
}

}  // namespace
}  // namespace sequoiastage
