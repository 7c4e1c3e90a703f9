#include "sequoiastage/mesh/relay_choice.h"

#include <gtest/gtest.h>

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

NodeId Node(uint32_t number) {
  return NodeId(Endpoint{.m_ip = 0x0a000000 + number, .m_port = 7000});
}

class RelayChoiceTest : public testing::Test {
 protected:
  RelayChoiceTest() {
    for (uint32_t i = 1; i <= 4; ++i) {
      m_nodes.push_back(Node(i));
    }
  }

  // The node of the region that all others take as relay.
  NodeId First() {
    for (const NodeId node : m_nodes) {
      RelayChoice choice(node);
      choice.SetRegion(m_nodes);
      if (!choice.Relay(m_now)) {
        return node;
      }
    }
    return Node(0);
  }

  // A choice of a node that is not the first.
  RelayChoice Follower() {
    const NodeId first = First();
    RelayChoice choice(first == Node(1) ? Node(2) : Node(1));
    choice.SetRegion(m_nodes);
    choice.Relay(m_now);
    return choice;
  }

  std::vector<NodeId> m_nodes;
  TimePoint m_now{seconds(100)};
};

TEST_F(RelayChoiceTest, ExactlyOneNodeOfARegionReads) {
  int readers = 0;
  for (const NodeId node : m_nodes) {
    RelayChoice choice(node);
    choice.SetRegion(m_nodes);
    readers += choice.Relay(m_now) ? 0 : 1;
  }
  EXPECT_EQ(readers, 1);
}

TEST_F(RelayChoiceTest, ReadsItselfUntilTheRelayHasTold) {
  RelayChoice choice = Follower();
  EXPECT_TRUE(choice.MustRead(m_now));
  choice.OnRelayed(First(), milliseconds(100), m_now);
  EXPECT_FALSE(choice.MustRead(m_now));
  EXPECT_EQ(choice.RelayAge(m_now), milliseconds(100));
}

TEST_F(RelayChoiceTest, ReadsAndTakesTheNextWhenTheRelayFallsBehind) {
  RelayChoice choice = Follower();
  choice.OnRelayed(First(), milliseconds(0), m_now);
  // The relay still speaks, but is itself cut off from the store.
  m_now += seconds(1);
  choice.OnRelayed(First(), seconds(1), m_now);
  EXPECT_FALSE(choice.MustRead(m_now));
  m_now += seconds(1);
  choice.OnRelayed(First(), seconds(2), m_now);
  EXPECT_TRUE(choice.MustRead(m_now));
  EXPECT_NE(choice.Relay(m_now), First());
}

TEST_F(RelayChoiceTest, ReturnsToTheFirstAfterAWhile) {
  RelayChoice choice = Follower();
  choice.OnLost(First(), m_now);
  EXPECT_NE(choice.Relay(m_now), First());
  m_now += seconds(9);
  EXPECT_EQ(choice.Relay(m_now), First());
}

TEST_F(RelayChoiceTest, AloneItReadsForItself) {
  RelayChoice choice(Node(7));
  choice.SetRegion({});
  EXPECT_TRUE(choice.MustRead(m_now));
  EXPECT_FALSE(choice.Relay(m_now));
}

}  // namespace
}  // namespace sequoiastage
