#include "sequoiastage/execution/outcome_tracker.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "fake_fleet.h"

namespace sequoiastage {
namespace {

AttemptId Id(uint64_t counter) {
  return {.m_ingress = NodeId(Endpoint{.m_ip = 1, .m_port = 1}),
          .m_incarnation = Incarnation(1),
          .m_counter = counter};
}

// Sends again when a connection breaks, as most proxies do.
class RetryOnBrokenLink : public OutcomeTracker {
 public:
  using OutcomeTracker::OutcomeTracker;
  OutcomeStep OnLinkBroken(const AttemptId& attempt) {
    return OnNotStarted(attempt);
  }
};

// Takes a timeout for a proof that nothing ran.
class NotRunOnTimeout : public OutcomeTracker {
 public:
  using OutcomeTracker::OutcomeTracker;
  OutcomeStep OnDeadline() {
    OutcomeStep step = OutcomeTracker::OnDeadline();
    step.m_outcome = RequestOutcome::kNotRun;
    return step;
  }
};

// Takes a key of an earlier run for an unused one.
class KeysOfAnyRun {
 public:
  explicit KeysOfAnyRun(KeyLedgerOptions options) : m_ledger(options) {}

  KeyDecision Present(const KeyIssuer& issuer,
                      IdempotencyKey key,
                      const RequestFingerprint& fingerprint,
                      KeyWaiter waiter,
                      WallTime now) {
    key.m_incarnation = issuer.OwnIncarnation();
    if (m_used.insert(key.m_counter).second) {
      return {.m_verdict = KeyVerdict::kDispatch};
    }
    return m_ledger.Present(issuer, key, fingerprint, waiter, now);
  }

  std::vector<KeyWaiter> Resolve(const IdempotencyKey& key,
                                 RequestOutcome outcome,
                                 StoredAnswer answer) {
    return m_ledger.Resolve(key, outcome, std::move(answer));
  }

 private:
  KeyLedger m_ledger;
  std::set<uint64_t> m_used;
};

std::vector<FleetStep> Schedule() {
  const auto step = rc::gen::build<FleetStep>(
      rc::gen::set(&FleetStep::m_action, rc::gen::arbitrary<uint8_t>()),
      rc::gen::set(&FleetStep::m_pick, rc::gen::arbitrary<uint8_t>()),
      rc::gen::set(&FleetStep::m_other_pick, rc::gen::arbitrary<uint8_t>()));
  return *rc::gen::resize(400, rc::gen::container<std::vector<FleetStep>>(
                                   rc::gen::resize(255, step)));
}

constexpr int kSchedulesPerCase = 10;

template <class Tracker, class Keys>
void KeepsPromises(bool is_idempotent, int schedules) {
  int answered = 0;
  int not_run = 0;
  for (int i = 0; i < schedules; ++i) {
    FakeFleet<Tracker, Keys> fleet(is_idempotent);
    for (const FleetStep& step : Schedule()) {
      fleet.Do(step);
    }
    fleet.Finish();
    RC_ASSERT(fleet.BrokenPromise() == "");
    answered += fleet.Answered();
    not_run += fleet.NotRun();
  }
  RC_CLASSIFY(answered > 0, "answered");
  RC_CLASSIFY(not_run > 0, "not-run");
}

RC_GTEST_PROP(OutcomeTrackerTest, NothingRunsTwiceAndNotRunIsTrue, ()) {
  KeepsPromises<OutcomeTracker, KeyLedger>(/*is_idempotent=*/false,
                                           kSchedulesPerCase);
}

RC_GTEST_PROP(OutcomeTrackerTest, NotRunIsTrueForIdempotentWork, ()) {
  KeepsPromises<OutcomeTracker, KeyLedger>(/*is_idempotent=*/true,
                                           kSchedulesPerCase);
}

TEST(OutcomeTrackerTest, NaiveVersionsBreakThePromises) {
  EXPECT_FALSE(rc::check("retry on a broken link, expected to fail", [] {
    KeepsPromises<RetryOnBrokenLink, KeyLedger>(/*is_idempotent=*/false,
                                                /*schedules=*/1);
  }));
  EXPECT_FALSE(rc::check("not-run on a timeout, expected to fail", [] {
    KeepsPromises<NotRunOnTimeout, KeyLedger>(/*is_idempotent=*/false,
                                              /*schedules=*/1);
  }));
  EXPECT_FALSE(rc::check("keys of any run, expected to fail", [] {
    KeepsPromises<OutcomeTracker, KeysOfAnyRun>(/*is_idempotent=*/false,
                                                /*schedules=*/1);
  }));
}

TEST(OutcomeTrackerTest, NothingSentIsNotRun) {
  OutcomeTracker tracker({});
  EXPECT_EQ(tracker.Start().m_next, NextStep::kSend);
  const OutcomeStep end = tracker.OnNoTarget();
  EXPECT_EQ(end.m_next, NextStep::kFinish);
  EXPECT_EQ(end.m_outcome, RequestOutcome::kNotRun);
  EXPECT_FALSE(tracker.MaySend(Id(1)));
}

TEST(OutcomeTrackerTest, ProvenNotStartedIsSentAgainUpToTheLimit) {
  OutcomeTracker tracker({.m_max_attempts = 2});
  ASSERT_TRUE(tracker.MaySend(Id(1)));
  EXPECT_FALSE(tracker.MaySend(Id(2)));
  EXPECT_EQ(tracker.OnNotStarted(Id(1)).m_next, NextStep::kSend);
  ASSERT_TRUE(tracker.MaySend(Id(2)));
  const OutcomeStep end = tracker.OnNotStarted(Id(2));
  EXPECT_EQ(end.m_next, NextStep::kFinish);
  EXPECT_EQ(end.m_outcome, RequestOutcome::kNotRun);
}

TEST(OutcomeTrackerTest, BrokenLinkIsAskedAboutUntilItIsKnown) {
  OutcomeTracker tracker({});
  ASSERT_TRUE(tracker.MaySend(Id(1)));
  const OutcomeStep first = tracker.OnLinkBroken(Id(1));
  EXPECT_EQ(first.m_next, NextStep::kQuery);
  EXPECT_FALSE(first.m_after_pause);
  EXPECT_TRUE(tracker.OnLinkBroken(Id(1)).m_after_pause);
  EXPECT_TRUE(tracker.OnRunning(Id(1)).m_after_pause);
  EXPECT_EQ(tracker.OnAnswered(Id(1)).m_outcome, RequestOutcome::kAnswered);
  EXPECT_EQ(tracker.OnAnswered(Id(1)).m_next, NextStep::kWait);
}

TEST(OutcomeTrackerTest, WorkThatMayHaveRunIsNotSentAgain) {
  OutcomeTracker tracker({});
  ASSERT_TRUE(tracker.MaySend(Id(1)));
  EXPECT_EQ(tracker.OnCancelTime().m_next, NextStep::kQuery);
  const OutcomeStep end = tracker.OnMayHaveRun(Id(1));
  EXPECT_EQ(end.m_next, NextStep::kFinish);
  EXPECT_EQ(end.m_outcome, RequestOutcome::kUnknown);
  EXPECT_FALSE(tracker.MaySend(Id(2)));
}

TEST(OutcomeTrackerTest, IdempotentWorkGoesElsewhereAndTakesALateAnswer) {
  OutcomeTracker tracker({.m_is_idempotent = true});
  ASSERT_TRUE(tracker.MaySend(Id(1)));
  EXPECT_EQ(tracker.OnLinkBroken(Id(1)).m_next, NextStep::kSend);
  ASSERT_TRUE(tracker.MaySend(Id(2)));
  EXPECT_EQ(tracker.OnAnswered(Id(1)).m_outcome, RequestOutcome::kAnswered);
  EXPECT_EQ(tracker.OnDeadline().m_next, NextStep::kWait);
}

TEST(OutcomeTrackerTest, IdempotentWorkGetsOneCopyAndWaitsForBoth) {
  OutcomeTracker tracker({.m_is_idempotent = true, .m_max_attempts = 4});
  EXPECT_FALSE(tracker.MaySendCopy(Id(1)));
  ASSERT_TRUE(tracker.MaySend(Id(1)));
  ASSERT_TRUE(tracker.MaySendCopy(Id(2)));
  EXPECT_FALSE(tracker.MaySendCopy(Id(3)));
  EXPECT_EQ(tracker.OnMayHaveRun(Id(1)).m_next, NextStep::kWait);
  EXPECT_EQ(tracker.OnNotStarted(Id(2)).m_next, NextStep::kSend);
  ASSERT_TRUE(tracker.MaySend(Id(4)));
  EXPECT_FALSE(tracker.MaySendCopy(Id(5)));
  EXPECT_EQ(tracker.OnAnswered(Id(4)).m_outcome, RequestOutcome::kAnswered);
}

TEST(OutcomeTrackerTest, OtherWorkGetsNoCopy) {
  OutcomeTracker tracker({});
  ASSERT_TRUE(tracker.MaySend(Id(1)));
  EXPECT_FALSE(tracker.MaySendCopy(Id(2)));
}

TEST(OutcomeTrackerTest, IdempotentWorkThatFailedEverywhereIsUnknown) {
  OutcomeTracker tracker({.m_is_idempotent = true, .m_max_attempts = 2});
  ASSERT_TRUE(tracker.MaySend(Id(1)));
  EXPECT_EQ(tracker.OnMayHaveRun(Id(1)).m_next, NextStep::kSend);
  ASSERT_TRUE(tracker.MaySend(Id(2)));
  EXPECT_EQ(tracker.OnLinkBroken(Id(2)).m_next, NextStep::kQuery);
  const OutcomeStep end = tracker.OnLinkBroken(Id(2));
  EXPECT_EQ(end.m_next, NextStep::kFinish);
  EXPECT_EQ(end.m_outcome, RequestOutcome::kUnknown);
}

}  // namespace
}  // namespace sequoiastage
