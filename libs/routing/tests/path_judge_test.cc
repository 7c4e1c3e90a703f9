#include "sequoiastage/routing/path_judge.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <optional>
#include <random>

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const NodeId kPeer({.m_ip = 1, .m_port = 7000});
constexpr TimePoint kStart(std::chrono::hours(1));

/// A judge and a peer that answers probes after a round trip while the path is
/// whole.
class Path {
 public:
  PathJudge m_judge;
  bool m_is_whole = true;
  TimePoint m_now = kStart;
  int m_probes = 0;

  void Run(Duration duration) {
    for (const TimePoint end = m_now + duration; m_now < end;) {
      m_now += milliseconds(10);
      if (!m_judge.OnTick(m_now).empty()) {
        ++m_probes;
        m_answer_at = m_now + milliseconds(60);
      }
      if (m_answer_at && m_now >= *m_answer_at) {
        m_answer_at.reset();
        if (m_is_whole) {
          m_judge.OnFrame(kPeer, m_now);
        }
      }
    }
  }

 private:
  std::optional<TimePoint> m_answer_at;
};

TEST(PathJudgeTest, SlowWorkOnAWholePathIsNoEvidence) {
  Path path;
  path.m_judge.OnSent(kPeer, path.m_now);
  path.Run(seconds(30));
  EXPECT_FALSE(path.m_judge.IsSuspect(kPeer));
}

TEST(PathJudgeTest, FrozenPeerIsSuspectLongBeforeTheWorkTimesOut) {
  Path path;
  path.m_is_whole = false;
  path.m_judge.OnSent(kPeer, path.m_now);
  path.Run(milliseconds(400));
  EXPECT_TRUE(path.m_judge.IsSuspect(kPeer));
}

TEST(PathJudgeTest, LostConnectionIsSuspectAtOnce) {
  Path path;
  path.m_judge.OnConnectionFailed(kPeer, path.m_now);
  EXPECT_TRUE(path.m_judge.IsSuspect(kPeer));
}

TEST(PathJudgeTest, ProbesBackOffAndClearTheSuspicion) {
  Path path;
  path.m_is_whole = false;
  path.m_judge.OnConnectionFailed(kPeer, path.m_now);
  path.Run(seconds(600));
  // 0.5 s doubled up to 30 s: 6 probes in the first 32 s, then one each 30 s.
  EXPECT_GE(path.m_probes, 20);
  EXPECT_LE(path.m_probes, 26);
  path.m_is_whole = true;
  path.Run(seconds(31));
  EXPECT_FALSE(path.m_judge.IsSuspect(kPeer));
}

TEST(PathJudgeTest, FlappingPathWaitsLonger) {
  Path path;
  for (int i = 0; i < 5; ++i) {
    path.m_judge.OnConnectionFailed(kPeer, path.m_now);
    path.m_judge.OnFrame(kPeer, path.m_now);
  }
  path.m_judge.OnConnectionFailed(kPeer, path.m_now);
  path.Run(seconds(10));
  EXPECT_EQ(path.m_probes, 0);
}

void RunOneRequest(Path& path) {
  path.m_judge.OnSent(kPeer, path.m_now);
  path.m_judge.OnFrame(kPeer, path.m_now);
  path.m_judge.OnEnded(kPeer, path.m_now);
}

TEST(PathJudgeTest, IdlePathIsProbedSparselyAndOnlyWhileInUse) {
  Path path;
  RunOneRequest(path);
  path.Run(milliseconds(1490));
  EXPECT_EQ(path.m_probes, 0);
  path.Run(milliseconds(8510));
  EXPECT_GE(path.m_probes, 5);
  EXPECT_LE(path.m_probes, 6);
  const int probes = path.m_probes;
  path.Run(seconds(100));
  EXPECT_EQ(path.m_probes, probes);
}

TEST(PathJudgeTest, PathNeverUsedIsNotProbed) {
  Path path;
  path.m_judge.OnFrame(kPeer, path.m_now);
  path.Run(seconds(100));
  EXPECT_EQ(path.m_probes, 0);
}

TEST(PathJudgeTest, IdlePathThatIsCutIsSuspectWithinTwoSeconds) {
  Path path;
  RunOneRequest(path);
  path.m_is_whole = false;
  path.Run(seconds(2));
  EXPECT_TRUE(path.m_judge.IsSuspect(kPeer));
}

TEST(PathJudgeTest, ProbesOfIdlePathsAreBoundedWhateverTheirNumber) {
  PathJudge judge;
  size_t probes = 0;
  for (uint32_t i = 0; i < 1000; ++i) {
    const NodeId peer({.m_ip = i + 1, .m_port = 7000});
    judge.OnSent(peer, kStart);
    judge.OnFrame(peer, kStart);
    judge.OnEnded(peer, kStart);
  }
  for (TimePoint now = kStart; now < kStart + seconds(9);
       now += milliseconds(50)) {
    for (const NodeId peer : judge.OnTick(now)) {
      judge.OnFrame(peer, now);
      ++probes;
    }
  }
  EXPECT_GE(probes, 14U);
  EXPECT_LE(probes, 16U);
}

/// Random work, losses and cuts, then a whole path for a backoff: the verdict
/// is good again. While cut with work under way, it turns suspect.
RC_GTEST_PROP(PathJudgeTest, VerdictFollowsThePath, (uint64_t seed)) {
  std::mt19937_64 random(seed);
  Path path;
  for (int i = 0; i < 40; ++i) {
    switch (random() % 5) {
      case 0:
        path.m_judge.OnConnectionFailed(kPeer, path.m_now);
        break;
      case 1:
        path.m_is_whole = !path.m_is_whole;
        break;
      case 2:
        path.m_judge.OnEnded(kPeer, path.m_now);
        break;
      default:
        path.m_judge.OnSent(kPeer, path.m_now);
    }
    path.Run(milliseconds(10 * (random() % 50)));
  }
  path.m_is_whole = true;
  path.Run(seconds(31));
  RC_ASSERT(!path.m_judge.IsSuspect(kPeer));
  path.m_is_whole = false;
  path.m_judge.OnSent(kPeer, path.m_now);
  path.Run(milliseconds(600));
  RC_ASSERT(path.m_judge.IsSuspect(kPeer));
}

}  // namespace
}  // namespace sequoiastage
