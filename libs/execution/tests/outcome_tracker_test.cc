#include "sequoiastage/execution/outcome_tracker.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "fake_fleet.h"

namespace sequoiastage {
namespace {

AttemptId MakeAttemptId(uint64_t counter) {
  return {.m_ingress = NodeId(Endpoint{.m_ip = 1, .m_port = 1}),
          .m_incarnation = Incarnation(1),
          .m_counter = counter};
}

// Retries when a connection breaks, as most proxies do.
class RetryOnBrokenLink : public OutcomeTracker {
 public:
  using OutcomeTracker::OutcomeTracker;
  TrackerDecision OnLinkBroken(const AttemptId& attempt) {
    return OnNotStarted(attempt);
  }
};

// Treats a timeout as a proof that nothing was executed.
class NotRunOnTimeout : public OutcomeTracker {
 public:
  using OutcomeTracker::OutcomeTracker;
  TrackerDecision OnDeadline() {
    TrackerDecision decision = OutcomeTracker::OnDeadline();
    decision.m_outcome = RequestOutcome::kNotRun;
    return decision;
  }
};

// Treats a key of an earlier incarnation as unused.
class KeysOfAnyIncarnation {
 public:
  explicit KeysOfAnyIncarnation(KeyLedgerOptions options) : m_ledger(options) {}

  KeyDecision Submit(const KeyIssuer& issuer,
                     IdempotencyKey key,
                     const RequestFingerprint& fingerprint,
                     KeyWaiter waiter,
                     WallTime now) {
    key.m_incarnation = issuer.OwnIncarnation();
    if (m_used.insert(key.m_counter).second) {
      return {.m_verdict = KeyVerdict::kDispatch};
    }
    return m_ledger.Submit(issuer, key, fingerprint, waiter, now);
  }

  std::vector<KeyWaiter> Resolve(const IdempotencyKey& key,
                                 RequestOutcome outcome,
                                 StoredResponse response) {
    return m_ledger.Resolve(key, outcome, std::move(response));
  }

 private:
  KeyLedger m_ledger;
  std::set<uint64_t> m_used;
};

std::vector<FleetStep> GenerateSchedule() {
  const auto step = rc::gen::build<FleetStep>(
      rc::gen::set(&FleetStep::m_action, rc::gen::arbitrary<uint8_t>()),
      rc::gen::set(&FleetStep::m_pick, rc::gen::arbitrary<uint8_t>()),
      rc::gen::set(&FleetStep::m_other_pick, rc::gen::arbitrary<uint8_t>()));
  return *rc::gen::resize(400, rc::gen::container<std::vector<FleetStep>>(
                                   rc::gen::resize(255, step)));
}

constexpr int kSchedulesPerCase = 10;

template <class Tracker, class Keys>
void CheckInvariants(bool is_idempotent, int schedules) {
  int answered = 0;
  int not_run = 0;
  for (int i = 0; i < schedules; ++i) {
    FakeFleet<Tracker, Keys> fleet(is_idempotent);
    for (const FleetStep& step : GenerateSchedule()) {
      fleet.Apply(step);
    }
    fleet.Finish();
    RC_ASSERT(fleet.FindViolation() == "");
    answered += fleet.Answered();
    not_run += fleet.NotRun();
  }
  RC_CLASSIFY(answered > 0, "answered");
  RC_CLASSIFY(not_run > 0, "not-run");
}

RC_GTEST_PROP(OutcomeTrackerTest, NothingRunsTwiceAndNotRunIsTrue, ()) {
  CheckInvariants<OutcomeTracker, KeyLedger>(/*is_idempotent=*/false,
                                             kSchedulesPerCase);
}

RC_GTEST_PROP(OutcomeTrackerTest, NotRunIsTrueForIdempotentRequests, ()) {
  CheckInvariants<OutcomeTracker, KeyLedger>(/*is_idempotent=*/true,
                                             kSchedulesPerCase);
}

TEST(OutcomeTrackerTest, NaiveVersionsBreakTheInvariants) {
  EXPECT_FALSE(rc::check("retry on a broken link, expected to fail", [] {
    CheckInvariants<RetryOnBrokenLink, KeyLedger>(/*is_idempotent=*/false,
                                                  /*schedules=*/1);
  }));
  EXPECT_FALSE(rc::check("not-run on a timeout, expected to fail", [] {
    CheckInvariants<NotRunOnTimeout, KeyLedger>(/*is_idempotent=*/false,
                                                /*schedules=*/1);
  }));
  EXPECT_FALSE(rc::check("keys of any run, expected to fail", [] {
    CheckInvariants<OutcomeTracker, KeysOfAnyIncarnation>(
        /*is_idempotent=*/false,
        /*schedules=*/1);
  }));
}

TEST(OutcomeTrackerTest, NothingSentIsNotRun) {
  OutcomeTracker tracker({});
  EXPECT_EQ(tracker.Start().m_next, TrackerAction::kSend);
  const TrackerDecision end = tracker.OnNoTarget();
  EXPECT_EQ(end.m_next, TrackerAction::kFinish);
  EXPECT_EQ(end.m_outcome, RequestOutcome::kNotRun);
  EXPECT_FALSE(tracker.TryBeginAttempt(MakeAttemptId(1)));
}

TEST(OutcomeTrackerTest, ProvenNotStartedIsRetriedUpToTheLimit) {
  OutcomeTracker tracker({.m_max_attempts = 2});
  ASSERT_TRUE(tracker.TryBeginAttempt(MakeAttemptId(1)));
  EXPECT_FALSE(tracker.TryBeginAttempt(MakeAttemptId(2)));
  EXPECT_EQ(tracker.OnNotStarted(MakeAttemptId(1)).m_next,
            TrackerAction::kSend);
  ASSERT_TRUE(tracker.TryBeginAttempt(MakeAttemptId(2)));
  const TrackerDecision end = tracker.OnNotStarted(MakeAttemptId(2));
  EXPECT_EQ(end.m_next, TrackerAction::kFinish);
  EXPECT_EQ(end.m_outcome, RequestOutcome::kNotRun);
}

TEST(OutcomeTrackerTest, BrokenLinkIsFollowedByQueriesUntilAFinalState) {
  OutcomeTracker tracker({});
  ASSERT_TRUE(tracker.TryBeginAttempt(MakeAttemptId(1)));
  const TrackerDecision first = tracker.OnLinkBroken(MakeAttemptId(1));
  EXPECT_EQ(first.m_next, TrackerAction::kQuery);
  EXPECT_FALSE(first.m_after_delay);
  EXPECT_TRUE(tracker.OnLinkBroken(MakeAttemptId(1)).m_after_delay);
  EXPECT_TRUE(tracker.OnRunning(MakeAttemptId(1)).m_after_delay);
  EXPECT_EQ(tracker.OnAnswered(MakeAttemptId(1)).m_outcome,
            RequestOutcome::kAnswered);
  EXPECT_EQ(tracker.OnAnswered(MakeAttemptId(1)).m_next, TrackerAction::kWait);
}

TEST(OutcomeTrackerTest, RequestThatMayHaveRunIsNotRetried) {
  OutcomeTracker tracker({});
  ASSERT_TRUE(tracker.TryBeginAttempt(MakeAttemptId(1)));
  EXPECT_EQ(tracker.OnCancelTime().m_next, TrackerAction::kQuery);
  const TrackerDecision end = tracker.OnMaybeExecuted(MakeAttemptId(1));
  EXPECT_EQ(end.m_next, TrackerAction::kFinish);
  EXPECT_EQ(end.m_outcome, RequestOutcome::kUnknown);
  EXPECT_FALSE(tracker.TryBeginAttempt(MakeAttemptId(2)));
}

TEST(OutcomeTrackerTest, IdempotentRequestIsRetriedAndAcceptsALateResponse) {
  OutcomeTracker tracker({.m_is_idempotent = true});
  ASSERT_TRUE(tracker.TryBeginAttempt(MakeAttemptId(1)));
  EXPECT_EQ(tracker.OnLinkBroken(MakeAttemptId(1)).m_next,
            TrackerAction::kSend);
  ASSERT_TRUE(tracker.TryBeginAttempt(MakeAttemptId(2)));
  EXPECT_EQ(tracker.OnAnswered(MakeAttemptId(1)).m_outcome,
            RequestOutcome::kAnswered);
  EXPECT_EQ(tracker.OnDeadline().m_next, TrackerAction::kWait);
}

TEST(OutcomeTrackerTest, IdempotentRequestGetsOneHedgeAndWaitsForBoth) {
  OutcomeTracker tracker({.m_is_idempotent = true, .m_max_attempts = 4});
  EXPECT_FALSE(tracker.TryBeginHedge(MakeAttemptId(1)));
  ASSERT_TRUE(tracker.TryBeginAttempt(MakeAttemptId(1)));
  ASSERT_TRUE(tracker.TryBeginHedge(MakeAttemptId(2)));
  EXPECT_FALSE(tracker.TryBeginHedge(MakeAttemptId(3)));
  EXPECT_EQ(tracker.OnMaybeExecuted(MakeAttemptId(1)).m_next,
            TrackerAction::kWait);
  EXPECT_EQ(tracker.OnNotStarted(MakeAttemptId(2)).m_next,
            TrackerAction::kSend);
  ASSERT_TRUE(tracker.TryBeginAttempt(MakeAttemptId(4)));
  EXPECT_FALSE(tracker.TryBeginHedge(MakeAttemptId(5)));
  EXPECT_EQ(tracker.OnAnswered(MakeAttemptId(4)).m_outcome,
            RequestOutcome::kAnswered);
}

TEST(OutcomeTrackerTest, NonIdempotentRequestGetsNoHedge) {
  OutcomeTracker tracker({});
  ASSERT_TRUE(tracker.TryBeginAttempt(MakeAttemptId(1)));
  EXPECT_FALSE(tracker.TryBeginHedge(MakeAttemptId(2)));
}

TEST(OutcomeTrackerTest, IdempotentRequestThatFailedEverywhereIsUnknown) {
  OutcomeTracker tracker({.m_is_idempotent = true, .m_max_attempts = 2});
  ASSERT_TRUE(tracker.TryBeginAttempt(MakeAttemptId(1)));
  EXPECT_EQ(tracker.OnMaybeExecuted(MakeAttemptId(1)).m_next,
            TrackerAction::kSend);
  ASSERT_TRUE(tracker.TryBeginAttempt(MakeAttemptId(2)));
  EXPECT_EQ(tracker.OnLinkBroken(MakeAttemptId(2)).m_next,
            TrackerAction::kQuery);
  const TrackerDecision end = tracker.OnLinkBroken(MakeAttemptId(2));
  EXPECT_EQ(end.m_next, TrackerAction::kFinish);
  EXPECT_EQ(end.m_outcome, RequestOutcome::kUnknown);
}

}  // namespace
}  // namespace sequoiastage
