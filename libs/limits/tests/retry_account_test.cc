#include <gtest/gtest.h>

#include "retry_helpers.h"

namespace sequoiastage {
namespace {

using std::chrono::seconds;

constexpr TimePoint kNow(seconds(50));

RetryAllowance MakeAllowance() {
  RetryAllowance allowance(
      {.m_service_slack = 40, .m_used_share = 1, .m_used_share_with_calls = 1});
  allowance.SetManagesLoad(true);
  return allowance;
}

int AcquireAll(RetryAllowance& allowance, const ExtraAttemptRequest& request) {
  return AcquireAll(allowance, kNow, request);
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

// Many accounts retry once each. What they leave must not stay unused while
// another account needs it.
TEST(RetryAccountTest, AccountMayUseWhatOthersLeave) {
  RetryAllowance allowance = MakeAllowance();
  for (uint64_t account = 1; account <= 20; ++account) {
    EXPECT_TRUE(allowance.TryAcquire(
        kNow, {.m_is_call = true, .m_account = AccountId(account)}));
  }
  const TimePoint later = kNow + seconds(2);
  // Up to 0.8 of the allowance.
  EXPECT_EQ(AcquireAll(allowance, later,
                       {.m_is_call = true, .m_account = AccountId(1)}),
            12);
  // The rest is left for accounts that have used less than their part.
  for (uint64_t account = 2; account <= 9; ++account) {
    EXPECT_TRUE(allowance.TryAcquire(
        later, {.m_is_call = true, .m_account = AccountId(account)}));
  }
}

// The calls of a few large accounts fail more often than those of many small
// ones. What fits into 0.8 of the allowance must not be refused.
TEST(RetryAccountTest, UnevenAccountsAreNotRefusedWhileThereIsRoom) {
  RetryAllowance allowance = MakeAllowance();
  TimePoint now = kNow;
  for (int i = 0; i < 32; ++i) {
    const auto account = static_cast<uint64_t>(i % 3 == 0 ? i : i % 2);
    EXPECT_TRUE(allowance.TryAcquire(
        now, {.m_is_call = true, .m_account = AccountId(account)}))
        << i;
    now += std::chrono::milliseconds(250);
  }
}

// An attempt that was queued and then rejected did not reach the instance.
TEST(RetryAccountTest, ReturnedRetryIsAvailableAgain) {
  RetryAllowance allowance = MakeAllowance();
  constexpr ExtraAttemptRequest kRequest{.m_is_call = true,
                                         .m_account = AccountId(1)};
  EXPECT_EQ(AcquireAll(allowance, kRequest), 40);
  allowance.Return(kNow, kRequest);
  EXPECT_EQ(AcquireAll(allowance, kRequest), 1);
  // It no longer counts in a later window.
  EXPECT_TRUE(allowance.TryAcquire(kNow + seconds(11), kRequest));
  allowance.Return(kNow, kRequest);
  EXPECT_EQ(AcquireAll(allowance, kNow + seconds(11), kRequest), 39);
}

// A call that is refused for its account must not reserve budget against the
// calls of other accounts: nobody could use it then.
TEST(RetryAccountTest, AccountOverItsPartReservesNothing) {
  RetryAllowance allowance = MakeAllowance();
  constexpr ExtraAttemptRequest kUrgent{.m_is_call = true,
                                        .m_account = AccountId(1)};
  constexpr ExtraAttemptRequest kOther{
      .m_urgency = 3, .m_is_call = true, .m_account = AccountId(2)};
  EXPECT_TRUE(allowance.TryAcquire(kNow, kOther));
  int urgent = 0;
  for (int i = 0; i < 100; ++i) {
    urgent += allowance.TryAcquire(kNow, kUrgent) ? 1 : 0;
  }
  EXPECT_EQ(urgent, 20);
  EXPECT_EQ(AcquireAll(allowance, kOther), 19);
}

// Offers of one call that find no place in the queue are made again and again.
TEST(RetryAccountTest, ReturnedCallsReserveNothing) {
  RetryAllowance allowance = MakeAllowance();
  constexpr ExtraAttemptRequest kUrgent{.m_is_call = true,
                                        .m_account = AccountId(1)};
  for (int i = 0; i < 100; ++i) {
    EXPECT_TRUE(allowance.TryAcquire(kNow, kUrgent));
    allowance.Return(kNow, kUrgent);
  }
  EXPECT_EQ(AcquireAll(
                allowance,
                {.m_urgency = 3, .m_is_call = true, .m_account = AccountId(1)}),
            40);
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
