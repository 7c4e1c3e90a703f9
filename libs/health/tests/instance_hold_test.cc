#include "sequoiastage/health/instance_hold.h"

#include <gtest/gtest.h>

#include <random>

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart = TimePoint(seconds(100));

class InstanceHoldTest : public testing::Test {
 protected:
  void RunRequest(RequestResult result, Duration took = milliseconds(100)) {
    const TimePoint started = m_now;
    m_hold.OnStart(started);
    m_now += took;
    m_hold.OnEnd(result, started, m_now);
  }

  HoldState State() const { return m_hold.StateAt(m_now); }

  InstanceHold m_hold;
  TimePoint m_now = kStart;
};

TEST_F(InstanceHoldTest, HoldsAfterOneBrokenResponseThenStartsATrial) {
  RunRequest(RequestResult::kBroken);
  EXPECT_EQ(State(), HoldState::kHeld);
  EXPECT_EQ(m_hold.RemainingHold(m_now), milliseconds(800));
  m_now += milliseconds(800);
  EXPECT_EQ(State(), HoldState::kTrial);
  RunRequest(RequestResult::kSuccess);
  EXPECT_EQ(State(), HoldState::kTrial);
  RunRequest(RequestResult::kSuccess);
  EXPECT_EQ(State(), HoldState::kInService);
}

TEST_F(InstanceHoldTest, DoublesWithEachRelapseUpToTheLongest) {
  for (const int expected : {800, 1600, 2000, 2000}) {
    RunRequest(RequestResult::kBroken);
    EXPECT_EQ(m_hold.RemainingHold(m_now), milliseconds(expected));
    m_now += milliseconds(expected);
  }
}

TEST_F(InstanceHoldTest, ResetsRelapsesAfterALongTimeInService) {
  RunRequest(RequestResult::kBroken);
  m_now += seconds(1);
  RunRequest(RequestResult::kSuccess);
  RunRequest(RequestResult::kSuccess);
  m_now += seconds(11);
  RunRequest(RequestResult::kBroken);
  EXPECT_EQ(m_hold.RemainingHold(m_now), milliseconds(800));
}

TEST_F(InstanceHoldTest, RequestStartedBeforeTheHoldNeitherEndsNorExtendsIt) {
  const TimePoint started = m_now;
  m_hold.OnStart(started);
  m_hold.OnStart(started);
  RunRequest(RequestResult::kBroken);
  m_now += milliseconds(500);
  m_hold.OnEnd(RequestResult::kBroken, started, m_now);
  EXPECT_EQ(m_hold.RemainingHold(m_now), milliseconds(300));
  m_now += milliseconds(400);
  m_hold.OnEnd(RequestResult::kSuccess, started, m_now);
  RunRequest(RequestResult::kSuccess);
  EXPECT_EQ(State(), HoldState::kTrial);
}

TEST_F(InstanceHoldTest, OneServerErrorAloneDoesNotHold) {
  RunRequest(RequestResult::kServerError);
  EXPECT_EQ(State(), HoldState::kInService);
  RunRequest(RequestResult::kSuccess);
  RunRequest(RequestResult::kSuccess);
  RunRequest(RequestResult::kServerError);
  EXPECT_EQ(State(), HoldState::kInService);
  RunRequest(RequestResult::kServerError);
  EXPECT_EQ(State(), HoldState::kHeld);
}

TEST_F(InstanceHoldTest, HoldsWhileARequestHangs) {
  RunRequest(RequestResult::kSuccess);
  m_hold.OnStart(m_now);
  const TimePoint hanging = m_now;
  m_now += milliseconds(1600);
  EXPECT_EQ(State(), HoldState::kHeld);
  // The success of a request that began later clears it.
  m_hold.OnStart(hanging + milliseconds(100));
  m_hold.OnEnd(RequestResult::kSuccess, hanging + milliseconds(100), m_now);
  EXPECT_EQ(State(), HoldState::kInService);
  m_hold.OnEnd(RequestResult::kNoEvidence, hanging, m_now);
  EXPECT_EQ(State(), HoldState::kInService);
}

TEST_F(InstanceHoldTest, UsualErrorsCostLittleCapacity) {
  // 1.2% errors of the instance and 2% caused by services that it calls.
  std::mt19937_64 random(1);
  std::bernoulli_distribution fails(0.032);
  Duration held{};
  for (int i = 0; i < 20000; ++i) {
    RunRequest(fails(random) ? RequestResult::kServerError
                             : RequestResult::kSuccess);
    held += m_hold.RemainingHold(m_now);
    m_now += m_hold.RemainingHold(m_now);
  }
  EXPECT_LT(held, (m_now - kStart) / 50);
}

TEST_F(InstanceHoldTest, FewRequestsReachAnInstanceThatBreaksNearlyAll) {
  // 200 episodes of 9 s in which 85% of the requests break, at 5 requests/s.
  std::mt19937_64 random(1);
  std::bernoulli_distribution breaks(0.85);
  constexpr int kEpisodes = 200;
  int sent = 0;
  int broken = 0;
  for (int i = 0; i < kEpisodes; ++i) {
    m_hold.Reset();
    for (int request = 0; request < 45; ++request) {
      m_now += milliseconds(200);
      if (State() == HoldState::kHeld) {
        continue;
      }
      ++sent;
      const bool is_broken = breaks(random);
      broken += is_broken ? 1 : 0;
      RunRequest(is_broken ? RequestResult::kBroken : RequestResult::kSuccess,
                 milliseconds(1));
    }
  }
  EXPECT_LT(broken, 6 * kEpisodes);
  EXPECT_LT(sent, 8 * kEpisodes);
}

}  // namespace
}  // namespace sequoiastage
