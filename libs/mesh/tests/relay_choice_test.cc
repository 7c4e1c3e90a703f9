#include "sequoiastage/mesh/relay_choice.h"

#include <gtest/gtest.h>

#include <algorithm>

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

  // The preferred relay of the region.
  NodeId PreferredRelay() {
    for (const NodeId node : m_nodes) {
      RelayChoice choice(node);
      choice.SetRegion(m_nodes);
      if (!choice.Relay(m_now)) {
        return node;
      }
    }
    return Node(0);
  }

  // The RelayChoice of a node other than the preferred relay.
  RelayChoice MakeFollower() {
    const NodeId preferred = PreferredRelay();
    RelayChoice choice(preferred == Node(1) ? Node(2) : Node(1));
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

TEST_F(RelayChoiceTest, ReadsTheStoreUntilTheRelayReports) {
  RelayChoice choice = MakeFollower();
  EXPECT_EQ(choice.Scope(m_now), ReadScope::kAll);
  choice.OnRelayReport(PreferredRelay(), milliseconds(100), m_now);
  EXPECT_EQ(choice.Scope(m_now), ReadScope::kNone);
  EXPECT_EQ(choice.RelayAge(m_now), milliseconds(100));
}

TEST_F(RelayChoiceTest, ReadsTheStoreAndSwitchesWhenTheRelayFallsBehind) {
  RelayChoice choice = MakeFollower();
  choice.OnRelayReport(PreferredRelay(), milliseconds(0), m_now);
  // The relay still reports but has lost access to the store.
  m_now += seconds(1);
  choice.OnRelayReport(PreferredRelay(), seconds(1), m_now);
  EXPECT_EQ(choice.Scope(m_now), ReadScope::kNone);
  m_now += seconds(1);
  choice.OnRelayReport(PreferredRelay(), seconds(2), m_now);
  EXPECT_EQ(choice.Scope(m_now), ReadScope::kAll);
  EXPECT_NE(choice.Relay(m_now), PreferredRelay());
}

TEST_F(RelayChoiceTest, ReturnsToThePreferredRelayAfterTheAvoidPeriod) {
  RelayChoice choice = MakeFollower();
  choice.OnLost(PreferredRelay(), m_now);
  EXPECT_NE(choice.Relay(m_now), PreferredRelay());
  m_now += seconds(9);
  EXPECT_EQ(choice.Relay(m_now), PreferredRelay());
}

// The store is away for 8 s: the nodes of a region of 120 that read it. Before,
// all of them did.
TEST_F(RelayChoiceTest, FewNodesOfALargeRegionReadAtOnceWhileTheStoreIsAway) {
  std::vector<NodeId> nodes;
  std::vector<RelayChoice> choices;
  for (uint32_t i = 1; i <= 120; ++i) {
    nodes.push_back(Node(i));
    choices.emplace_back(nodes.back());
  }
  for (RelayChoice& choice : choices) {
    choice.SetRegion(nodes);
    choice.Relay(m_now);
  }
  const auto count = [&](ReadScope scope) {
    return std::count_if(
        choices.begin(), choices.end(),
        [&](RelayChoice& choice) { return choice.Scope(m_now) == scope; });
  };
  EXPECT_EQ(count(ReadScope::kAll), 16);
  EXPECT_EQ(count(ReadScope::kNone), 104);
  for (int step = 0; step < 40; ++step) {
    m_now += milliseconds(200);
    EXPECT_EQ(count(ReadScope::kAll), 16);
  }
  // Every node still learns of the store's return, and of a cut of the relays.
  EXPECT_EQ(count(ReadScope::kBackup), 104);
}

// Guards against a region whose nodes all read a large configuration at once
// when their relay falls behind: 60 Mbit/s take 7.5 MB in a second.
TEST_F(RelayChoiceTest, NodesTakeTurnsToReadALargeConfiguration) {
  constexpr size_t kConfigBytes = 600'000;
  std::vector<NodeId> nodes;
  std::vector<RelayChoice> choices;
  for (uint32_t i = 1; i <= 41; ++i) {
    nodes.push_back(Node(i));
    choices.emplace_back(nodes.back());
  }
  for (RelayChoice& choice : choices) {
    choice.SetRegion(nodes);
    choice.SetConfigBytes(kConfigBytes);
    choice.Relay(m_now);
  }
  // No relay reports, so that every node reads in the end.
  size_t readers = 0;
  for (milliseconds passed{}; readers < nodes.size() && passed < seconds(20);
       passed += milliseconds(100)) {
    readers = static_cast<size_t>(
        std::count_if(choices.begin(), choices.end(), [&](RelayChoice& choice) {
          return choice.Scope(m_now + passed) != ReadScope::kNone;
        }));
    EXPECT_LE(readers * kConfigBytes,
              kConfigBytes + static_cast<size_t>(passed.count()) * 7500);
  }
  EXPECT_EQ(readers, nodes.size());
}

TEST_F(RelayChoiceTest, EveryNodeOfASmallRegionReadsAtOnce) {
  RelayChoice choice = MakeFollower();
  choice.OnRelayReport(PreferredRelay(), milliseconds(0), m_now);
  EXPECT_EQ(choice.Scope(m_now), ReadScope::kNone);
  m_now += milliseconds(1800);
  EXPECT_EQ(choice.Scope(m_now), ReadScope::kAll);
}

TEST_F(RelayChoiceTest, SingleNodeReadsTheStore) {
  RelayChoice choice(Node(7));
  choice.SetRegion({});
  EXPECT_EQ(choice.Scope(m_now), ReadScope::kAll);
  EXPECT_FALSE(choice.Relay(m_now));
}

}  // namespace
}  // namespace sequoiastage
