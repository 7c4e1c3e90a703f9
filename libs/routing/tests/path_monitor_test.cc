#include "sequoiastage/routing/path_monitor.h"

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

/// A monitor and a peer that responds to probes after one round trip while the
/// path is intact.
class Path {
 public:
  PathMonitor m_monitor;
  bool m_is_intact = true;
  TimePoint m_now = kStart;
  int m_probes = 0;

  void Run(Duration duration) {
    for (const TimePoint end = m_now + duration; m_now < end;) {
      m_now += milliseconds(10);
      if (!m_monitor.OnTick(m_now).empty()) {
        ++m_probes;
        m_response_at = m_now + milliseconds(60);
      }
      if (m_response_at && m_now >= *m_response_at) {
        m_response_at.reset();
        if (m_is_intact) {
          m_monitor.OnFrame(kPeer, m_now);
        }
      }
    }
  }

 private:
  std::optional<TimePoint> m_response_at;
};

TEST(PathMonitorTest, SlowWorkDoesNotMakeThePathSuspect) {
  Path path;
  path.m_monitor.OnSent(kPeer, path.m_now);
  path.Run(seconds(30));
  EXPECT_FALSE(path.m_monitor.IsSuspect(kPeer));
}

TEST(PathMonitorTest, FrozenPeerIsSuspectBeforeItsWorkTimesOut) {
  Path path;
  path.m_is_intact = false;
  path.m_monitor.OnSent(kPeer, path.m_now);
  path.Run(milliseconds(400));
  EXPECT_TRUE(path.m_monitor.IsSuspect(kPeer));
}

TEST(PathMonitorTest, LostConnectionIsSuspectImmediately) {
  Path path;
  path.m_monitor.OnConnectionFailed(kPeer, path.m_now);
  EXPECT_TRUE(path.m_monitor.IsSuspect(kPeer));
}

TEST(PathMonitorTest, ProbesBackOffAndClearSuspicion) {
  Path path;
  path.m_is_intact = false;
  path.m_monitor.OnConnectionFailed(kPeer, path.m_now);
  path.Run(seconds(600));
  // Backoff doubles from 0.5 s to 30 s: 6 probes in the first 32 s, then one
  // every 30 s.
  EXPECT_GE(path.m_probes, 20);
  EXPECT_LE(path.m_probes, 26);
  path.m_is_intact = true;
  path.Run(seconds(31));
  EXPECT_FALSE(path.m_monitor.IsSuspect(kPeer));
}

TEST(PathMonitorTest, FlappingPathKeepsItsBackoff) {
  Path path;
  for (int i = 0; i < 5; ++i) {
    path.m_monitor.OnConnectionFailed(kPeer, path.m_now);
    path.m_monitor.OnFrame(kPeer, path.m_now);
  }
  path.m_monitor.OnConnectionFailed(kPeer, path.m_now);
  path.Run(seconds(10));
  EXPECT_EQ(path.m_probes, 0);
}

void RunOneRequest(Path& path) {
  path.m_monitor.OnSent(kPeer, path.m_now);
  path.m_monitor.OnFrame(kPeer, path.m_now);
  path.m_monitor.OnEnded(kPeer, path.m_now);
}

TEST(PathMonitorTest, IdlePathIsProbedRarelyAndOnlyAfterRecentUse) {
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

TEST(PathMonitorTest, UnusedPathIsNotProbed) {
  Path path;
  path.m_monitor.OnFrame(kPeer, path.m_now);
  path.Run(seconds(100));
  EXPECT_EQ(path.m_probes, 0);
}

TEST(PathMonitorTest, IdleCutPathIsSuspectWithinTwoSeconds) {
  Path path;
  RunOneRequest(path);
  path.m_is_intact = false;
  path.Run(seconds(2));
  EXPECT_TRUE(path.m_monitor.IsSuspect(kPeer));
}

TEST(PathMonitorTest, IdleProbeRateIsIndependentOfTheNumberOfPaths) {
  PathMonitor monitor;
  size_t probes = 0;
  for (uint32_t i = 0; i < 1000; ++i) {
    const NodeId peer({.m_ip = i + 1, .m_port = 7000});
    monitor.OnSent(peer, kStart);
    monitor.OnFrame(peer, kStart);
    monitor.OnEnded(peer, kStart);
  }
  for (TimePoint now = kStart; now < kStart + seconds(9);
       now += milliseconds(50)) {
    for (const NodeId peer : monitor.OnTick(now)) {
      monitor.OnFrame(peer, now);
      ++probes;
    }
  }
  EXPECT_GE(probes, 14U);
  EXPECT_LE(probes, 16U);
}

/// After random requests, lost connections and cuts, the path is good again
/// once it has been intact for a full backoff, and becomes suspect when it is
/// cut with a request in flight.
RC_GTEST_PROP(PathMonitorTest, StateFollowsThePath, (uint64_t seed)) {
  std::mt19937_64 random(seed);
  Path path;
  for (int i = 0; i < 40; ++i) {
    switch (random() % 5) {
      case 0:
        path.m_monitor.OnConnectionFailed(kPeer, path.m_now);
        break;
      case 1:
        path.m_is_intact = !path.m_is_intact;
        break;
      case 2:
        path.m_monitor.OnEnded(kPeer, path.m_now);
        break;
      default:
        path.m_monitor.OnSent(kPeer, path.m_now);
    }
    path.Run(milliseconds(10 * (random() % 50)));
  }
  path.m_is_intact = true;
  path.Run(seconds(31));
  RC_ASSERT(!path.m_monitor.IsSuspect(kPeer));
  path.m_is_intact = false;
  path.m_monitor.OnSent(kPeer, path.m_now);
  path.Run(milliseconds(600));
  RC_ASSERT(path.m_monitor.IsSuspect(kPeer));
}

}  // namespace
}  // namespace sequoiastage
