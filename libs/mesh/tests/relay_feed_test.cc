#include "sequoiastage/mesh/relay_feed.h"

#include <gtest/gtest.h>

#include "sequoiastage/mesh/relay_choice.h"

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kCopyAge = milliseconds(300);
constexpr Duration kHeartbeatInterval = milliseconds(500);

RelayPositions At(uint64_t config, uint64_t member) {
  return {.m_config = StorePosition(config), .m_member = StorePosition(member)};
}

class RelayFeedTest : public testing::Test {
 protected:
  TimePoint m_now{seconds(100)};
  RelayFeed m_feed{At(3, 7)};
};

TEST_F(RelayFeedTest, ReportsTheAgeOfItsCopyWhileNothingIsMissing) {
  EXPECT_EQ(m_feed.Age(At(3, 7), kCopyAge, m_now), kCopyAge);
  m_now += seconds(9);
  EXPECT_EQ(m_feed.Age(At(3, 7), kCopyAge, m_now), kCopyAge);
}

// Guards against a relay that vouches for changes that it has not passed on:
// its subscriber gives it up.
TEST_F(RelayFeedTest, RelayThatPassesNothingOnIsGivenUp) {
  for (const RelayPositions& end : {At(4, 7), At(3, 8)}) {
    const NodeId relay(Endpoint{.m_ip = 1, .m_port = 1});
    RelayChoice choice(NodeId(Endpoint{.m_ip = 1, .m_port = 2}));
    choice.SetRegion({relay});
    if (!choice.Relay(m_now)) {
      choice = RelayChoice(relay);
      choice.SetRegion({NodeId(Endpoint{.m_ip = 1, .m_port = 2})});
    }
    const NodeId chosen = *choice.Relay(m_now);
    m_feed = RelayFeed(At(3, 7));
    const TimePoint begin = m_now;
    while (choice.Relay(m_now) == chosen && m_now - begin < seconds(20)) {
      choice.OnRelayReport(chosen, m_feed.Age(end, kCopyAge, m_now), m_now);
      m_now += kHeartbeatInterval;
    }
    EXPECT_LT(m_now - begin, seconds(3));
  }
}

TEST_F(RelayFeedTest, BatchesChangesThatFollowShortly) {
  EXPECT_FALSE(m_feed.IsDue(At(3, 7), m_now));
  EXPECT_TRUE(m_feed.IsDue(At(4, 7), m_now));
  m_feed.OnSent(At(4, 7), At(4, 0), false, m_now);
  EXPECT_FALSE(m_feed.IsDue(At(4, 7), m_now + seconds(1)));
  EXPECT_FALSE(m_feed.IsDue(At(5, 7), m_now + RelayFeed::kMinSpacing));
  EXPECT_TRUE(
      m_feed.IsDue(At(5, 7), m_now + RelayFeed::kMinSpacing + milliseconds(1)));
}

// Batching alone must not make a subscriber give up its relay.
TEST_F(RelayFeedTest, AgeWhileChangesAreBatchedStaysBelowTheLimit) {
  Duration oldest{};
  TimePoint next_heartbeat = m_now;
  for (uint64_t change = 4; change < 2000; ++change) {
    const RelayPositions end = At(change, 7);
    if (m_feed.IsDue(end, m_now)) {
      m_feed.OnSent(end, end, false, m_now);
    }
    if (m_now >= next_heartbeat) {
      next_heartbeat = m_now + kHeartbeatInterval;
      oldest = std::max(oldest, m_feed.Age(end, kCopyAge, m_now));
    }
    m_now += milliseconds(20);
  }
  EXPECT_LT(oldest + kHeartbeatInterval, RelayChoiceOptions{}.m_max_age);
}

// Guards against a relay that queues one large change behind another.
TEST_F(RelayFeedTest, NextChangeWaitsUntilTheLastIsConfirmed) {
  m_feed.OnSent(At(4, 7), At(4, 0), true, m_now);
  m_now += seconds(5);
  EXPECT_FALSE(m_feed.IsDue(At(9, 7), m_now));
  EXPECT_GE(m_feed.Age(At(4, 7), kCopyAge, m_now), seconds(5));
  m_feed.OnConfirmed(At(4, 6));
  EXPECT_EQ(m_feed.Age(At(4, 7), kCopyAge, m_now), kCopyAge);
  EXPECT_TRUE(m_feed.IsDue(At(9, 7), m_now));
  EXPECT_EQ(m_feed.Next(), At(4, 7));
}

// Guards against a new subscriber that waits for the first change because it
// was just told that there was none.
TEST_F(RelayFeedTest, FirstChangeAfterTheSubscriptionIsSentAtOnce) {
  m_feed.OnSent(At(3, 7), std::nullopt, true, m_now);
  EXPECT_TRUE(m_feed.IsDue(At(4, 7), m_now));
}

TEST_F(RelayFeedTest, WhatTheSubscriberLacksIsSentAgain) {
  m_feed.OnSent(At(4, 7), At(4, 0), true, m_now);
  m_feed.OnConfirmed(At(0, 0));
  m_now += seconds(1);
  EXPECT_TRUE(m_feed.IsDue(At(4, 7), m_now));
  EXPECT_EQ(m_feed.Next(), At(0, 0));
}

}  // namespace
}  // namespace sequoiastage
