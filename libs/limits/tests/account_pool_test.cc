#include "sequoiastage/limits/account_pool.h"

#include <gtest/gtest.h>

#include "account_fleet.h"
#include "sequoiastage/limits/account_credits.h"
#include "sequoiastage/limits/coordinator_choice.h"

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr AccountId kAccount{7};
constexpr AccountLimit kLimit{.m_rate = RequestRate(100), .m_burst = 50};

NodeId NodeNumber(uint32_t number) {
  return NodeId(Endpoint{.m_ip = 0x7f000000 + number, .m_port = 7000});
}

// A pool of a single node, without slack.
AccountPool MakePool(uint32_t nodes = 1) {
  AccountPool pool({.m_quota = {.m_overage = 0, .m_slack = 0}});
  pool.SetFleet({.m_nodes = nodes, .m_assumed = nodes});
  return pool;
}

uint16_t Ask(AccountPool& pool, uint16_t waiting, TimePoint now) {
  return pool
      .OnRequest(NodeNumber(1), kLimit,
                 {.m_account = kAccount, .m_waiting = waiting}, now)
      .m_granted;
}

TEST(AccountPoolTest, IgnoresRepeatedAndOvertakenMessages) {
  AccountPool pool = MakePool();
  EXPECT_TRUE(pool.Accept(NodeNumber(1), Incarnation(1), 1, kStart));
  EXPECT_TRUE(pool.Accept(NodeNumber(1), Incarnation(1), 5, kStart));
  EXPECT_FALSE(pool.Accept(NodeNumber(1), Incarnation(1), 5, kStart));
  EXPECT_FALSE(pool.Accept(NodeNumber(1), Incarnation(1), 4, kStart));
  // A restarted node numbers its messages from 1 again.
  EXPECT_TRUE(pool.Accept(NodeNumber(1), Incarnation(2), 1, kStart));
  EXPECT_TRUE(pool.Accept(NodeNumber(2), Incarnation(1), 1, kStart));
}

// A coordinator that was paused finds the messages of several seconds. All of
// their share time would let several seconds of the rate run at once.
TEST(AccountPoolTest, ShareTimeThatWasHeldBackIsVoid) {
  AccountPool pool = MakePool();
  pool.AddShare(NodeNumber(1), milliseconds(100), kStart);
  pool.Open(kAccount, kLimit, true, kStart);
  EXPECT_EQ(Ask(pool, 1000, kStart), 50);
  pool.OnRequest(NodeNumber(1), kLimit, {.m_account = kAccount, .m_spent = 50},
                 kStart);
  const TimePoint resumed = kStart + seconds(4);
  uint32_t granted = 0;
  for (int i = 0; i < 40; ++i) {
    pool.AddShare(NodeNumber(1), milliseconds(100), resumed);
    const uint16_t tokens = Ask(pool, 1000, resumed);
    pool.OnRequest(NodeNumber(1), kLimit,
                   {.m_account = kAccount, .m_spent = tokens}, resumed);
    granted += tokens;
  }
  // 200 ms of the rate.
  EXPECT_EQ(granted, 20U);
}

// Tokens in the ingresses and in the bucket together never exceed the depth:
// otherwise they all run in one window, beside those that are refilled.
TEST(AccountPoolTest, UnusedTokensCountAgainstTheDepth) {
  AccountPool pool = MakePool();
  pool.AddShare(NodeNumber(1), milliseconds(100), kStart);
  pool.Open(kAccount, kLimit, true, kStart);
  uint32_t granted = 0;
  for (int i = 0; i < 30; ++i) {
    const TimePoint now = kStart + i * milliseconds(100);
    pool.AddShare(NodeNumber(1), milliseconds(100), now);
    granted += Ask(pool, 1000, now);
  }
  EXPECT_EQ(granted, 50U);
  // The ingress was killed: its tokens have expired.
  for (int i = 60; i < 80; ++i) {
    const TimePoint now = kStart + i * milliseconds(100);
    pool.AddShare(NodeNumber(1), milliseconds(100), now);
    granted += Ask(pool, 1000, now);
  }
  EXPECT_EQ(granted, 100U);
}

TEST(AccountPoolTest, ReturnedTokensAreGrantedAgainOnce) {
  AccountPool pool = MakePool();
  pool.Open(kAccount, kLimit, true, kStart);
  EXPECT_EQ(Ask(pool, 1000, kStart), 50);
  const TokenRequest returned{
      .m_account = kAccount, .m_waiting = 60, .m_returned = 30};
  EXPECT_EQ(pool.OnRequest(NodeNumber(1), kLimit, returned, kStart).m_granted,
            30);
  // Another node cannot return what it was not granted.
  EXPECT_EQ(pool.OnRequest(NodeNumber(2), kLimit, returned, kStart).m_granted,
            0);
}

TEST(AccountPoolTest, LoanCountsOnce) {
  AccountPool lender = MakePool(2);
  lender.Open(kAccount, kLimit, true, kStart);
  AccountPool borrower = MakePool(2);
  borrower.Open(kAccount, kLimit, false, kStart);
  EXPECT_EQ(Ask(borrower, 10, kStart), 0);
  const auto wanted = borrower.WantedLoans(1, kStart);
  ASSERT_EQ(wanted.size(), 1U);
  const double before = lender.Level(kAccount);
  const TokenLoanMessage loan = lender.Lend(wanted[0], kStart);
  EXPECT_DOUBLE_EQ(before - lender.Level(kAccount),
                   loan.m_tokens_milli / 1000.0);
  EXPECT_GT(borrower.OnLoan(loan, kStart), 0);
  const double after = borrower.Level(kAccount);
  EXPECT_EQ(borrower.OnLoan(loan, kStart), 0);
  EXPECT_EQ(borrower.OnLoan(
                {.m_number = 99, .m_account = kAccount, .m_tokens_milli = 9000},
                kStart),
            0);
  EXPECT_DOUBLE_EQ(borrower.Level(kAccount), after);
}

// Less is lent by a region with requests of its own.
TEST(AccountPoolTest, LenderKeepsHalfWhileItIsAsked) {
  AccountPool lender = MakePool();
  lender.Open(kAccount, kLimit, true, kStart);
  Ask(lender, 1, kStart);
  const TokenLoanMessage loan =
      lender.Lend({.m_account = kAccount, .m_wanted_milli = 1'000'000}, kStart);
  EXPECT_EQ(loan.m_tokens_milli, 24'000U);
}

// Guards against tokens that stay at a node which is no longer the coordinator.
TEST(AccountPoolTest, NewCoordinatorTakesAllTokensOfTheFormerOne) {
  AccountPool former = MakePool();
  former.AddShare(NodeNumber(1), milliseconds(100), kStart);
  former.Open(kAccount, kLimit, true, kStart);
  EXPECT_EQ(Ask(former, 10, kStart), 10);
  AccountPool next = MakePool();
  next.AddShare(NodeNumber(1), milliseconds(100), kStart);
  next.Open(kAccount, kLimit, false, kStart);
  EXPECT_TRUE(next.DueTakeovers(kStart).empty());
  const TimePoint now = kStart + seconds(1);
  ASSERT_EQ(next.DueTakeovers(now), std::vector<AccountId>{kAccount});
  EXPECT_TRUE(next.DueTakeovers(now).empty());
  const TokenLoanRequestMessage request = next.AskFormer(kAccount, now);
  const TokenLoanMessage loan = former.Lend(request, now, true);
  EXPECT_NEAR(next.OnLoan(loan, now), 40, 0.01);
  EXPECT_NEAR(next.Level(kAccount), 40, 0.01);
  EXPECT_NEAR(former.Level(kAccount), 0, 0.01);
  EXPECT_EQ(next.OnLoan(loan, now), 0);
}

TEST(AccountPoolTest, LoweredLimitCutsTheBucketAtOnce) {
  AccountPool pool = MakePool();
  pool.Open(kAccount, kLimit, true, kStart);
  const AccountLimit lowered{.m_rate = RequestRate(1), .m_burst = 2};
  EXPECT_EQ(pool.OnRequest(NodeNumber(1), lowered,
                           {.m_account = kAccount, .m_waiting = 10}, kStart)
                .m_granted,
            2);
}

TEST(AccountPoolTest, RefusalNamesTheTimeBehindOtherWaitingNodes) {
  AccountPool pool(
      {.m_quota = {.m_overage = 0, .m_slack = 0}, .m_loan_pause = seconds(0)});
  pool.SetFleet({.m_nodes = 1, .m_assumed = 1});
  const AccountLimit limit{.m_rate = RequestRate(10), .m_burst = 1};
  pool.Open(kAccount, limit, false, kStart);
  // Without a loan: 100 ms for the first token, 400 ms for the fourth.
  const auto ask = [&](uint32_t node, uint16_t waiting) {
    return pool
        .OnRequest(NodeNumber(node), limit,
                   {.m_account = kAccount, .m_waiting = waiting}, kStart)
        .m_retry_after_ms;
  };
  EXPECT_EQ(ask(1, 3), 100U);
  EXPECT_LE(ask(2, 1), 400U);
}

TEST(AccountCreditsTest, TokensExpire) {
  AccountCredits credits({}, kStart);
  credits.Acquire(kAccount, TokenWaiterId(1), kStart);
  credits.Collect(1, kStart);
  const TimePoint granted_at = kStart + milliseconds(10);
  EXPECT_EQ(
      credits
          .OnGrants({.m_number = 1,
                     .m_grants = {{.m_account = kAccount, .m_granted = 3}}},
                    granted_at)
          .size(),
      1U);
  EXPECT_EQ(
      credits.Acquire(kAccount, TokenWaiterId(2), kStart + milliseconds(1999))
          .m_result,
      AccountCredits::Result::kTaken);
  EXPECT_EQ(
      credits.Acquire(kAccount, TokenWaiterId(3), kStart + milliseconds(2001))
          .m_result,
      AccountCredits::Result::kWaits);
  const auto message = credits.Collect(2, kStart + milliseconds(2001));
  ASSERT_EQ(message.m_requests.size(), 1U);
  EXPECT_EQ(message.m_requests[0].m_returned, 1);
  EXPECT_EQ(message.m_requests[0].m_spent, 2);
}

TEST(AccountCreditsTest, RepeatedGrantIsIgnored) {
  AccountCredits credits({}, kStart);
  credits.Acquire(kAccount, TokenWaiterId(1), kStart);
  credits.Collect(1, kStart);
  const TokenGrantMessage grants{
      .m_number = 1, .m_grants = {{.m_account = kAccount, .m_granted = 1}}};
  EXPECT_EQ(credits.OnGrants(grants, kStart).size(), 1U);
  EXPECT_TRUE(credits.OnGrants(grants, kStart).empty());
  EXPECT_EQ(credits.Acquire(kAccount, TokenWaiterId(2), kStart).m_result,
            AccountCredits::Result::kWaits);
}

// A process that was paused has no claim to the time that passed.
TEST(AccountCreditsTest, HandsOutEachMomentOnceAndNoOldOnes) {
  AccountCredits credits({}, kStart);
  EXPECT_EQ(credits.Collect(1, kStart + milliseconds(80)).m_share_us, 80'000U);
  EXPECT_EQ(credits.Collect(2, kStart + milliseconds(80)).m_share_us, 0U);
  EXPECT_EQ(credits.Collect(3, kStart + seconds(9)).m_share_us, 200'000U);
}

// After a refusal, requests are rejected without a message until the time.
TEST(AccountCreditsTest, RejectsLocallyUntilTheTokenIsDue) {
  AccountCredits credits({}, kStart);
  credits.Acquire(kAccount, TokenWaiterId(1), kStart);
  credits.Collect(1, kStart);
  const auto decisions = credits.OnGrants(
      {.m_number = 1,
       .m_grants = {{.m_account = kAccount, .m_retry_after_ms = 900}}},
      kStart);
  ASSERT_EQ(decisions.size(), 1U);
  EXPECT_FALSE(decisions[0].m_is_granted);
  EXPECT_EQ(decisions[0].m_retry_after, milliseconds(900));
  EXPECT_EQ(credits.Acquire(kAccount, TokenWaiterId(2), kStart).m_result,
            AccountCredits::Result::kRefused);
  EXPECT_FALSE(credits.HasUrgent());
  EXPECT_EQ(
      credits.Acquire(kAccount, TokenWaiterId(3), kStart + milliseconds(250))
          .m_result,
      AccountCredits::Result::kWaits);
  EXPECT_TRUE(credits.HasUrgent());
}

// One token in the bucket of each of many nodes that are all cut off adds up to
// many times a small limit.
TEST(AccountFleetTest, NodesThatAreAllCutOffKeepTheLimitTogether) {
  AccountFleet fleet(
      {.m_nodes = 104, .m_limit = {.m_rate = RequestRate(2), .m_burst = 2}});
  fleet.RunUntil(kStart + seconds(5));
  for (uint32_t a = 0; a < 104; ++a) {
    for (uint32_t b = 0; b < 104; ++b) {
      fleet.Cut(a, b);
    }
  }
  // The first requests create the buckets, which fill afterwards.
  for (const int at : {20, 300}) {
    fleet.RunUntil(kStart + seconds(at));
    for (uint32_t node = 0; node < 104; ++node) {
      fleet.Request(node);
      fleet.Request(node);
    }
  }
  fleet.RunUntil(kStart + seconds(306));
  EXPECT_LE(MaxRunsInWindow(fleet.Runs(), seconds(5)), 33U);
}

// Two coordinators serve one half of a region each, for as long as it lasts.
TEST(AccountFleetTest, TwoCoordinatorsShareTheRate) {
  AccountFleet fleet(
      {.m_nodes = 12, .m_regions = 1, .m_limit = {.m_rate = RequestRate(100)}});
  for (uint32_t a = 0; a < 12; ++a) {
    for (uint32_t b = 0; b < 12; ++b) {
      if (a % 2 != b % 2) {
        fleet.Cut(a, b);
      }
    }
  }
  fleet.SendLoad({0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}, 400);
  fleet.RunUntil(kStart + seconds(40));
  EXPECT_LE(MaxRunsInWindow(fleet.Runs(), seconds(5)), 570U);
  // Both halves are served.
  EXPECT_GT(fleet.Runs().size(), 3500U);
}

TEST(CoordinatorChoiceTest, NodeThatLeavesMovesNoOtherShard) {
  std::vector<NodeId> nodes;
  for (uint32_t number = 1; number <= 300; ++number) {
    nodes.push_back(NodeNumber(number));
  }
  EXPECT_EQ(AccountShardCount(0), 1U);
  EXPECT_EQ(AccountShardCount(128), 1U);
  EXPECT_EQ(AccountShardCount(300), 3U);
  for (uint32_t shard = 0; shard < 3; ++shard) {
    const auto order = CoordinatorOrder(nodes, shard, 4);
    ASSERT_EQ(order.size(), 4U);
    auto others = nodes;
    std::erase(others, order[0]);
    EXPECT_EQ(CoordinatorOrder(others, shard, 3),
              (std::vector<NodeId>{order[1], order[2], order[3]}));
  }
}

// Guards against a bucket that is cut only when it is next used: it keeps the
// tokens of nodes that have used another coordinator in the meantime.
TEST(AccountPoolTest, BucketIsCutWhenTheNumberOfNodesFalls) {
  constexpr uint32_t kNodes = 100;
  AccountPool pool({});
  pool.SetFleet({.m_nodes = kNodes});
  for (uint32_t node = 0; node < kNodes; ++node) {
    pool.AddShare(NodeNumber(node), milliseconds(100), kStart);
  }
  pool.Open(kAccount, kLimit, true, kStart);
  const double depth = pool.Level(kAccount);
  // Half of the nodes use another coordinator.
  for (int i = 1; i <= 30; ++i) {
    for (uint32_t node = 0; node < kNodes / 2; ++node) {
      pool.AddShare(NodeNumber(node), milliseconds(100),
                    kStart + i * milliseconds(100));
    }
  }
  EXPECT_EQ(pool.AttachedCount(), kNodes / 2);
  EXPECT_LE(pool.Level(kAccount), depth / 2);
  // All of them do, and return together before the account's next request.
  const TimePoint returned = kStart + seconds(33);
  for (uint32_t node = 0; node < kNodes; ++node) {
    pool.AddShare(NodeNumber(node), Duration{}, returned);
  }
  pool.AddShare(NodeNumber(0), Duration{}, returned + milliseconds(300));
  EXPECT_EQ(pool.AttachedCount(), kNodes);
  EXPECT_LE(Ask(pool, 1000, returned + milliseconds(300)), depth / kNodes);
}

}  // namespace
}  // namespace sequoiastage
