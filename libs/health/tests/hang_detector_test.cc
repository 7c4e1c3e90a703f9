#include "sequoiastage/health/hang_detector.h"

#include <gtest/gtest.h>

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr RequestKind kShort{.m_objective = milliseconds(250)};
constexpr RequestKind kLong{.m_objective = seconds(2)};

class HangDetectorTest : public testing::Test {
 protected:
  void Answer(const RequestKind& kind, Duration took, int count) {
    for (int i = 0; i < count; ++i) {
      const RunId run = m_detector.OnStart(kind, m_now);
      m_now += took;
      m_detector.OnAnswered(run, true, m_now);
    }
  }

  double Score() const { return m_detector.Score(m_now); }

  HangDetector m_detector;
  TimePoint m_now = TimePoint(seconds(100));
};

TEST_F(HangDetectorTest, JudgesEachKindByItsOwnTimes) {
  Answer(kShort, milliseconds(60), 50);
  Answer(kLong, milliseconds(600), 50);
  m_detector.OnStart(kLong, m_now);
  m_now += milliseconds(400);
  EXPECT_EQ(Score(), 0);
  m_detector.OnStart(kShort, m_now);
  m_now += milliseconds(200);
  EXPECT_GT(Score(), 0.5);
}

TEST_F(HangDetectorTest, SeveralLateRequestsWeighMoreThanOne) {
  Answer(kShort, milliseconds(60), 50);
  m_detector.OnStart(kShort, m_now);
  m_now += milliseconds(150);
  const double one = Score();
  HangDetector other = m_detector;
  other.OnStart(kShort, m_now - milliseconds(150));
  other.OnStart(kShort, m_now - milliseconds(150));
  EXPECT_NEAR(other.Score(m_now), 3 * one, 1e-9);
}

TEST_F(HangDetectorTest, CancelledRequestsCountByTheirLateness) {
  Answer(kShort, milliseconds(60), 50);
  const RunId early = m_detector.OnStart(kShort, m_now);
  m_now += milliseconds(30);
  m_detector.OnUnanswered(early, m_now);
  EXPECT_EQ(Score(), 0);
  const RunId late = m_detector.OnStart(kShort, m_now);
  m_now += milliseconds(250);
  m_detector.OnUnanswered(late, m_now);
  const double score = Score();
  EXPECT_GT(score, 1);
  Answer(kShort, milliseconds(60), 1);
  EXPECT_LT(Score(), score - 0.5);
  // Evidence expires when there is no further traffic.
  m_now += seconds(20);
  EXPECT_LT(Score(), 0.01);
}

TEST_F(HangDetectorTest, RequestsBeforeClearScoreDoNotCount) {
  const RunId run = m_detector.OnStart(kShort, m_now);
  m_now += seconds(1);
  ASSERT_GT(Score(), 1);
  m_detector.ClearScore();
  EXPECT_EQ(Score(), 0);
  m_detector.OnUnanswered(run, m_now);
  EXPECT_EQ(Score(), 0);
}

TEST_F(HangDetectorTest, ResetForgetsEarlierRequests) {
  const RunId run = m_detector.OnStart(kShort, m_now);
  m_detector.Reset();
  const RunId next = m_detector.OnStart(kShort, m_now);
  EXPECT_NE(run, next);
  m_now += seconds(1);
  const double score = Score();
  m_detector.OnAnswered(run, true, m_now);
  EXPECT_EQ(Score(), score);
}

TEST(LatencyProfileTest, FollowsTheObjectiveBeforeThereAreSamples) {
  const LatencyProfile profile(seconds(1));
  EXPECT_EQ(profile.ShareAbove(Duration{}), 1);
  EXPECT_GT(profile.ShareAbove(milliseconds(200)), 0.4);
  EXPECT_LT(profile.ShareAbove(seconds(1)), 0.03);
}

TEST(LatencyProfileTest, FollowsRecentSamples) {
  LatencyProfile profile(seconds(1));
  for (int i = 0; i < 600; ++i) {
    profile.Add(milliseconds(40));
  }
  EXPECT_LT(profile.ShareAbove(milliseconds(100)), 0.05);
  for (int i = 0; i < 600; ++i) {
    profile.Add(milliseconds(900));
  }
  EXPECT_GT(profile.ShareAbove(milliseconds(500)), 0.9);
  EXPECT_GT(profile.ShareAbove(milliseconds(700)), 0.5);
  EXPECT_LT(profile.ShareAbove(milliseconds(1300)), 0.01);
}

}  // namespace
}  // namespace sequoiastage
