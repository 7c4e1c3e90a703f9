#include "sequoiastage/health/instance_judge.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <map>

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr TimePoint kWarm = kStart + seconds(31);

PeerBaseline GoodPeers(TimePoint as_of) {
  return {.m_peer_count = 11,
          .m_as_of = as_of,
          .m_failure_share = 0.001,
          .m_outcomes_per_hour = 18000,
          .m_latency_samples = 500,
          .m_latency_p50 = milliseconds(100),
          .m_latency_p95 = milliseconds(200),
          .m_latency_p99 = milliseconds(300)};
}

// Runs one request from `now` and returns the time of its end.
TimePoint RunRequest(InstanceJudge& judge,
                     TimePoint now,
                     Outcome outcome,
                     Duration latency = milliseconds(100)) {
  const RequestHandle handle = judge.OnStart(now);
  judge.OnFinish(handle, now + latency, outcome);
  return now + latency;
}

// Fails requests, one every 200 ms, until an ejection is due.
TimePoint FailUntilEjectionDue(InstanceJudge& judge, TimePoint now) {
  for (int i = 0; i < 20; ++i) {
    now = RunRequest(judge, now, Outcome::kError) + milliseconds(100);
    judge.UpdateBaseline(now, GoodPeers(now));
  }
  EXPECT_EQ(judge.Report().m_verdict, Verdict::kEjectionDue);
  return now;
}

// Fails requests until the judge suspects the instance.
TimePoint FailUntilSuspect(InstanceJudge& judge) {
  judge.UpdateBaseline(kWarm, GoodPeers(kWarm));
  TimePoint now = kWarm;
  while (judge.Report().m_verdict == Verdict::kHealthy) {
    now = RunRequest(judge, now + milliseconds(200), Outcome::kError);
  }
  return now;
}

TimePoint SucceedUntilHealthy(InstanceJudge& judge, TimePoint now) {
  for (int i = 0; i < 100'000; ++i) {
    if (judge.Report().m_verdict == Verdict::kHealthy) {
      return now;
    }
    now = RunRequest(judge, now, Outcome::kSuccess) + milliseconds(100);
    judge.OnTick(now);
  }
  ADD_FAILURE() << "the instance never became healthy";
  return now;
}

JudgeOptions GenerateOptions() {
  return MakeJudgeOptions(*rc::gen::element(kCautiousPolicy, kFastPolicy));
}

// Interleaves starts, ends, ticks, baselines, grants and probation requests in
// random order. Only outcomes of `outcomes` occur, and each request ends within
// `max_latency`.
void RunRandomInterleaving(InstanceJudge& judge,
                           const std::vector<Outcome>& outcomes,
                           Duration max_latency,
                           bool with_grants,
                           const std::function<void()>& check) {
  struct Request {
    RequestHandle m_handle;
    TimePoint m_started;
  };
  std::vector<Request> in_flight;
  TimePoint now = kStart;
  const int steps = *rc::gen::inRange(1, 400);
  const auto finish_first = [&] {
    judge.OnFinish(in_flight.front().m_handle, now,
                   *rc::gen::elementOf(outcomes));
    in_flight.erase(in_flight.begin());
  };
  for (int i = 0; i < steps; ++i) {
    now += milliseconds(*rc::gen::inRange(0, 50));
    while (!in_flight.empty() &&
           now - in_flight.front().m_started > max_latency) {
      finish_first();
    }
    switch (*rc::gen::inRange(0, with_grants ? 8 : 5)) {
      case 0:
      case 1:
        in_flight.push_back({judge.OnStart(now), now});
        break;
      case 2:
        if (!in_flight.empty()) {
          finish_first();
        }
        break;
      case 3:
        judge.OnTick(now);
        break;
      case 4:
        judge.UpdateBaseline(now, GoodPeers(now));
        break;
      case 5:
        judge.OnEjected(now - milliseconds(*rc::gen::inRange(0, 100)));
        break;
      case 6:
        judge.OnReadmitted(now);
        break;
      default:
        judge.AllowProbationRequest(now);
        judge.OnFinish(RequestHandle(*rc::gen::arbitrary<uint64_t>()), now,
                       Outcome::kError);
    }
    check();
  }
}

RC_GTEST_PROP(InstanceJudgeTest, HealthyOutcomesNeverRaiseSuspicion, ()) {
  InstanceJudge judge(GenerateOptions(), kStart);
  RunRandomInterleaving(
      judge, {Outcome::kSuccess, Outcome::kShed, Outcome::kCancelled},
      milliseconds(150), false,
      [&] { RC_ASSERT(judge.Report().m_verdict == Verdict::kHealthy); });
}

RC_GTEST_PROP(InstanceJudgeTest, AnyInterleavingKeepsTheReportConsistent, ()) {
  InstanceJudge judge(GenerateOptions(), kStart);
  RunRandomInterleaving(
      judge,
      {Outcome::kSuccess, Outcome::kError, Outcome::kTimeout,
       Outcome::kIncomplete, Outcome::kShed, Outcome::kCancelled},
      seconds(5), true, [&] {
        const JudgeReport& report = judge.Report();
        RC_ASSERT(report.m_share >= 0 && report.m_share <= 1);
        RC_ASSERT(report.m_suspicion >= 0);
        RC_ASSERT(!report.m_readmission_due || report.m_is_ejected);
        RC_ASSERT(!report.m_is_ejected ||
                  report.m_verdict == Verdict::kEjectionDue);
        RC_ASSERT((report.m_share == 0) == report.m_is_ejected);
      });
}

TEST(InstanceJudgeTest, NoEjectionIsDueWithoutPeers) {
  InstanceJudge judge(MakeJudgeOptions(kFastPolicy), kStart);
  TimePoint now = kWarm;
  for (int i = 0; i < 100; ++i) {
    now = RunRequest(judge, now, Outcome::kError);
  }
  EXPECT_EQ(judge.Report().m_verdict, Verdict::kSuspect);
}

TEST(InstanceJudgeTest, NoEjectionIsDueOnRequestsThatPeersDoNotCoverYet) {
  InstanceJudge judge(MakeJudgeOptions(kFastPolicy), kStart);
  judge.UpdateBaseline(kWarm, GoodPeers(kWarm));
  TimePoint now = kWarm + milliseconds(1);
  for (int i = 0; i < 20; ++i) {
    now = RunRequest(judge, now, Outcome::kError);
    judge.UpdateBaseline(now, GoodPeers(kWarm));
  }
  EXPECT_EQ(judge.Report().m_verdict, Verdict::kSuspect);
  judge.UpdateBaseline(now, GoodPeers(now));
  EXPECT_EQ(judge.Report().m_verdict, Verdict::kEjectionDue);
}

TEST(InstanceJudgeTest, SuspectsSoonerAndEjectsSoonerWithTheFastPolicy) {
  std::map<bool, std::pair<int, int>> counts;
  for (const bool fast : {false, true}) {
    InstanceJudge judge(MakeJudgeOptions(fast ? kFastPolicy : kCautiousPolicy),
                        kStart);
    judge.UpdateBaseline(kWarm, GoodPeers(kWarm));
    TimePoint now = kWarm;
    auto& [suspect, ejection_due] = counts[fast];
    for (int i = 1; ejection_due == 0 && i < 100; ++i) {
      now = RunRequest(judge, now + milliseconds(300), Outcome::kIncomplete);
      judge.UpdateBaseline(now, GoodPeers(now));
      const Verdict verdict = judge.Report().m_verdict;
      suspect = suspect == 0 && verdict != Verdict::kHealthy ? i : suspect;
      ejection_due = verdict == Verdict::kEjectionDue ? i : 0;
    }
  }
  EXPECT_EQ(counts[true], std::make_pair(2, 4));
  EXPECT_EQ(counts[false], std::make_pair(3, 6));
}

TEST(InstanceJudgeTest, AShortBurstOfErrorsMakesNoEjectionDue) {
  InstanceJudge judge(MakeJudgeOptions(kFastPolicy), kStart);
  judge.UpdateBaseline(kWarm, GoodPeers(kWarm));
  TimePoint now = kWarm;
  for (int i = 0; i < 10; ++i) {
    now = RunRequest(judge, now, Outcome::kError, milliseconds(60));
    judge.UpdateBaseline(now, GoodPeers(now));
    EXPECT_NE(judge.Report().m_verdict, Verdict::kEjectionDue);
  }
  EXPECT_EQ(judge.Report().m_verdict, Verdict::kSuspect);
}

// Two bursts of errors: three within 300 ms, and one more just after the hold.
TEST(InstanceJudgeTest, TwoShortBurstsOfErrorsMakeNoEjectionDue) {
  InstanceJudge judge(MakeJudgeOptions(kFastPolicy), kStart);
  judge.UpdateBaseline(kWarm, GoodPeers(kWarm));
  for (const int ms : {0, 120, 240, 1500}) {
    const TimePoint now =
        RunRequest(judge, kWarm + milliseconds(ms), Outcome::kError);
    judge.UpdateBaseline(now, GoodPeers(now));
    EXPECT_NE(judge.Report().m_verdict, Verdict::kEjectionDue);
  }
}

TEST(InstanceJudgeTest, ANewSuspectIsHeldBeforeItsFirstProbationRequest) {
  const JudgeOptions options = MakeJudgeOptions(kFastPolicy);
  InstanceJudge judge(options, kStart);
  TimePoint now = FailUntilSuspect(judge);
  const TimePoint suspected = now;
  EXPECT_TRUE(judge.Report().m_is_held);
  // Requests already in flight neither shorten nor extend the hold.
  now = RunRequest(judge, now, Outcome::kError);
  now = RunRequest(judge, now, Outcome::kSuccess);
  const TimePoint end = suspected + options.m_probation_delay;
  EXPECT_FALSE(judge.AllowProbationRequest(end - milliseconds(1)));
  judge.OnTick(end);
  EXPECT_FALSE(judge.Report().m_is_held);
  EXPECT_TRUE(judge.AllowProbationRequest(end));
}

TEST(InstanceJudgeTest, ASuspectIsTestedWithOneRequestAtATime) {
  const JudgeOptions options = MakeJudgeOptions(kFastPolicy);
  InstanceJudge judge(options, kStart);
  TimePoint now = FailUntilSuspect(judge);
  now += options.m_probation_delay;
  ASSERT_TRUE(judge.AllowProbationRequest(now));
  const RequestHandle handle = judge.OnStart(now);
  // Slower than usual, but not slow yet.
  now += options.m_probation_interval;
  EXPECT_FALSE(judge.AllowProbationRequest(now));
  judge.OnFinish(handle, now, Outcome::kSuccess);
  EXPECT_TRUE(judge.AllowProbationRequest(now + options.m_probation_interval));
}

TEST(InstanceJudgeTest,
     NoProbationRequestsAfterSufficientEvidenceUntilTheGrantIsOverdue) {
  const JudgeOptions options = MakeJudgeOptions(kFastPolicy);
  InstanceJudge judge(options, kStart);
  judge.UpdateBaseline(kWarm, GoodPeers(kWarm));
  TimePoint now = kWarm;
  for (int i = 0; i < 4; ++i) {
    now = RunRequest(judge, now + milliseconds(400), Outcome::kError);
  }
  // The hold of a new suspect is over.
  EXPECT_TRUE(judge.Report().m_is_held);
  const TimePoint end = now + options.m_confirmation_time;
  EXPECT_FALSE(judge.AllowProbationRequest(end - milliseconds(1)));
  judge.OnTick(end);
  EXPECT_FALSE(judge.Report().m_is_held);
  EXPECT_TRUE(judge.AllowProbationRequest(end));
}

TEST(InstanceJudgeTest, SheddingIsNoEvidence) {
  InstanceJudge judge(MakeJudgeOptions(kFastPolicy), kStart);
  const TimePoint now = FailUntilEjectionDue(judge, kWarm);
  const double before = judge.Report().m_suspicion;
  TimePoint later = now;
  for (int i = 0; i < 100; ++i) {
    later = RunRequest(judge, later, Outcome::kShed, milliseconds(1));
  }
  EXPECT_EQ(judge.Report().m_suspicion, before);
}

TEST(InstanceJudgeTest, CancelledRequestsDoNotMaskAHang) {
  InstanceJudge judge(MakeJudgeOptions(kFastPolicy), kStart);
  judge.UpdateBaseline(kWarm, GoodPeers(kWarm));
  TimePoint now = kWarm;
  for (int i = 0; i < 5; ++i) {
    now = RunRequest(judge, now, Outcome::kCancelled, milliseconds(700));
    judge.UpdateBaseline(now, GoodPeers(now));
  }
  EXPECT_NE(judge.Report().m_verdict, Verdict::kHealthy);
}

// Three slots fill at 5 requests/s and none of the requests ever ends.
TEST(InstanceJudgeTest,
     AHangAtFiveRequestsPerSecondIsDetectedWithinTwoSeconds) {
  InstanceJudge judge(MakeJudgeOptions(kFastPolicy), kStart);
  judge.UpdateBaseline(kWarm, GoodPeers(kWarm));
  TimePoint now = kWarm;
  for (int slot = 0; slot < 3; ++slot) {
    now += milliseconds(200);
    judge.OnStart(now);
    EXPECT_EQ(judge.Report().m_verdict, Verdict::kHealthy);
  }
  while (judge.Report().m_verdict == Verdict::kHealthy) {
    ASSERT_LT(now, kWarm + seconds(2));
    now += milliseconds(100);
    judge.OnTick(now);
  }
}

// The ejection is due before the requests time out, without further requests.
TEST(InstanceJudgeTest, AHangOfAllSlotsMakesEjectionDueBeforeItsTimeouts) {
  InstanceJudge judge(MakeJudgeOptions(kCautiousPolicy), kStart);
  for (int slot = 0; slot < 3; ++slot) {
    judge.OnStart(kWarm + milliseconds(200 * slot));
  }
  const TimePoint now = kWarm + milliseconds(4500);
  judge.UpdateBaseline(now, GoodPeers(now));
  EXPECT_EQ(judge.Report().m_verdict, Verdict::kEjectionDue);
}

TEST(InstanceJudgeTest, SlowResponsesDuringWarmUpDoNotCount) {
  InstanceJudge judge(MakeJudgeOptions(kFastPolicy), kStart);
  for (TimePoint now = kStart; now < kStart + seconds(29);) {
    judge.UpdateBaseline(now, GoodPeers(now));
    now = RunRequest(judge, now, Outcome::kSuccess, seconds(2));
    ASSERT_EQ(judge.Report().m_verdict, Verdict::kHealthy);
  }
}

TEST(InstanceJudgeTest, AHangDuringWarmUpCounts) {
  InstanceJudge judge(MakeJudgeOptions(kFastPolicy), kStart);
  judge.UpdateBaseline(kStart, GoodPeers(kStart));
  judge.OnStart(kStart);
  judge.OnStart(kStart);
  judge.OnTick(kStart + seconds(11));
  EXPECT_EQ(judge.Report().m_verdict, Verdict::kSuspect);
}

TEST(InstanceJudgeTest, ReadmissionIsDueAfterTheHoldTimeAndStartsAsSuspect) {
  const JudgeOptions options = MakeJudgeOptions(kFastPolicy);
  InstanceJudge judge(options, kStart);
  TimePoint now = FailUntilEjectionDue(judge, kWarm);
  judge.OnEjected(now);
  EXPECT_FALSE(judge.AllowProbationRequest(now));
  judge.OnTick(now + options.m_ejection_hold - milliseconds(1));
  EXPECT_FALSE(judge.Report().m_readmission_due);
  now += options.m_ejection_hold;
  judge.OnTick(now);
  EXPECT_TRUE(judge.Report().m_readmission_due);
  judge.OnReadmitted(now);
  EXPECT_EQ(judge.Report().m_verdict, Verdict::kSuspect);
  EXPECT_TRUE(judge.AllowProbationRequest(now));
  EXPECT_FALSE(judge.AllowProbationRequest(now));
  SucceedUntilHealthy(judge, now);
}

TEST(InstanceJudgeTest, ProbesClearNoSuspicionAndOnlyDelayReadmission) {
  const JudgeOptions options = MakeJudgeOptions(kFastPolicy);
  InstanceJudge judge(options, kStart);
  TimePoint now = FailUntilEjectionDue(judge, kWarm);
  const double before = judge.Report().m_suspicion;
  for (int i = 0; i < 100; ++i) {
    judge.OnProbe(now, true);
  }
  EXPECT_EQ(judge.Report().m_verdict, Verdict::kEjectionDue);
  EXPECT_EQ(judge.Report().m_suspicion, before);
  judge.OnEjected(now);
  now += options.m_ejection_hold;
  judge.OnProbe(now, false);
  EXPECT_FALSE(judge.Report().m_readmission_due);
  judge.OnProbe(now, true);
  EXPECT_TRUE(judge.Report().m_readmission_due);
  judge.OnProbe(now, false);
  judge.OnTick(now + options.m_max_hold);
  EXPECT_TRUE(judge.Report().m_readmission_due);
}

TEST(InstanceJudgeTest, FailedProbesRaiseNoSuspicion) {
  InstanceJudge judge(MakeJudgeOptions(kFastPolicy), kStart);
  for (int i = 0; i < 100; ++i) {
    judge.OnProbe(kWarm, false);
  }
  EXPECT_EQ(judge.Report().m_verdict, Verdict::kHealthy);
}

TEST(InstanceJudgeTest, OneFailureAfterReadmissionMakesEjectionDueAgain) {
  const JudgeOptions options = MakeJudgeOptions(kCautiousPolicy);
  InstanceJudge judge(options, kStart);
  TimePoint now = FailUntilEjectionDue(judge, kWarm);
  judge.OnEjected(now);
  now += options.m_ejection_hold;
  judge.OnReadmitted(now);
  now = RunRequest(judge, now, Outcome::kError);
  judge.UpdateBaseline(now, GoodPeers(now));
  EXPECT_EQ(judge.Report().m_verdict, Verdict::kEjectionDue);
}

TEST(InstanceJudgeTest, EachFlapExtendsTheEjectionHold) {
  InstanceJudge judge(MakeJudgeOptions(kFastPolicy), kStart);
  TimePoint now = kWarm;
  Duration last_hold(0);
  for (uint32_t flap = 0; flap < 4; ++flap) {
    now = FailUntilEjectionDue(judge, now);
    EXPECT_EQ(judge.Report().m_flaps, flap);
    judge.OnEjected(now);
    const TimePoint ejected = now;
    while (!judge.Report().m_readmission_due) {
      now += milliseconds(100);
      judge.OnTick(now);
    }
    EXPECT_GT(now - ejected, last_hold);
    last_hold = now - ejected;
    judge.OnReadmitted(now);
    now = SucceedUntilHealthy(judge, now);
  }
}

TEST(InstanceJudgeTest, AnIdleSuspectBecomesHealthyAgain) {
  InstanceJudge judge(MakeJudgeOptions(kFastPolicy), kStart);
  TimePoint now = FailUntilEjectionDue(judge, kWarm);
  for (int i = 0; i < 10; ++i) {
    now += seconds(61);
    judge.OnTick(now);
  }
  EXPECT_EQ(judge.Report().m_verdict, Verdict::kHealthy);
}

// Operators can change the policy of a service while its instances run.
TEST(InstanceJudgeTest, AChangedPolicyAppliesToExistingEvidence) {
  InstanceJudge judge(MakeJudgeOptions(kCautiousPolicy), TimePoint());
  TimePoint now;
  const auto fail = [&judge, &now] {
    now += std::chrono::milliseconds(200);
    judge.OnFinish(judge.OnStart(now), now, Outcome::kError);
  };
  fail();
  fail();
  ASSERT_EQ(judge.Report().m_verdict, Verdict::kHealthy);
  const double before = judge.Report().m_suspicion;
  judge.SetPolicy(now, {.m_false_ejection_hours = 1,
                        .m_detection_weight = kFastPolicy.m_detection_weight});
  EXPECT_GT(judge.Report().m_suspicion, before);
  EXPECT_EQ(judge.Report().m_verdict, Verdict::kSuspect);
}

}  // namespace
}  // namespace sequoiastage
