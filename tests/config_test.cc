#include <gtest/gtest.h>

#include <thread>

#include "fleet.h"
#include "sequoiastage/base/time.h"

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;

// Limit for an accepted configuration to be in force on all nodes.
constexpr milliseconds kInForceLimit{9000};

class ConfigTest : public testing::Test {
 protected:
  void SetUp() override { ASSERT_EQ(m_fleet.Start(), ""); }

  // Time until every node serves `path`; empty when the limit passes first.
  std::optional<milliseconds> TimeUntilServed(const std::string& path) {
    const WallTime start = WallNow();
    const bool is_served = WaitUntil(kInForceLimit, [this, &path] {
      for (int node = 0; node < m_fleet.NodeCount(); ++node) {
        if (!m_fleet.Serves(node, path)) {
          return false;
        }
      }
      return true;
    });
    return is_served ? std::optional(WallNow() - start) : std::nullopt;
  }

  Fleet m_fleet{{.m_nodes = 6, .m_instances_per_node = 1}};
};

TEST_F(ConfigTest, ChangeIsInForceOnAllNodesInTime) {
  ASSERT_FALSE(m_fleet.Serves(0, "/added"));
  ASSERT_TRUE(m_fleet.Publish("/added"));
  const auto time = TimeUntilServed("/added");
  ASSERT_TRUE(time.has_value());
  std::printf("in force on all nodes after %lld ms\n",
              static_cast<long long>(time->count()));
}

TEST_F(ConfigTest, NodeRestartedInALogOutageStartsWithTheNewestVersion) {
  ASSERT_TRUE(m_fleet.Publish("/added"));
  ASSERT_TRUE(TimeUntilServed("/added").has_value());
  ASSERT_TRUE(m_fleet.SetLogFaults(R"({"outage": true})"));
  m_fleet.Node(4).Kill();
  m_fleet.StartNode(4);
  EXPECT_TRUE(WaitUntil(milliseconds(15'000), [this] {
    return m_fleet.Serves(4, "/added");
  })) << "node 4 does not serve the newest version";
  // The other nodes keep their version.
  EXPECT_TRUE(TimeUntilServed("/added").has_value());
  ASSERT_TRUE(m_fleet.SetLogFaults(R"({"outage": false})"));
  ASSERT_TRUE(m_fleet.Publish("/later"));
  EXPECT_TRUE(TimeUntilServed("/later").has_value());
}

TEST_F(ConfigTest, RacingOperatorsEndWithOneVersionEverywhere) {
  std::thread other([this] { EXPECT_TRUE(m_fleet.Publish("/other")); });
  EXPECT_TRUE(m_fleet.Publish("/one"));
  other.join();
  const auto serve = [this](const std::string& path) {
    int count = 0;
    for (int node = 0; node < m_fleet.NodeCount(); ++node) {
      count += m_fleet.Serves(node, path) ? 1 : 0;
    }
    return count;
  };
  EXPECT_TRUE(WaitUntil(kInForceLimit, [this, &serve] {
    const int one = serve("/one");
    const int both = one + serve("/other");
    return both == m_fleet.NodeCount() && (one == 0 || one == both);
  }));
}

// Retention removes the records that made up the configuration; after a restart
// of all nodes they load it from a snapshot.
TEST_F(ConfigTest, SnapshotReplacesRemovedRecordsWhenAllNodesRestart) {
  constexpr int kChanges = 12;
  const std::string path = "/change" + std::to_string(kChanges);
  for (int change = 1; change < kChanges; ++change) {
    ASSERT_TRUE(m_fleet.Publish("/change" + std::to_string(change)));
  }
  const std::string before = "/change" + std::to_string(kChanges - 1);
  ASSERT_TRUE(TimeUntilServed(before).has_value());
  ASSERT_TRUE(m_fleet.SetLogFaults(R"({"retention": 8})"));
  ASSERT_TRUE(m_fleet.Publish(path));
  ASSERT_TRUE(TimeUntilServed(path).has_value());
  ASSERT_TRUE(WaitUntil(milliseconds(60'000), [this] {
    return m_fleet.LogContains(R"("type":"snapshot")");
  })) << "no snapshot on the log";
  for (int node = 0; node < m_fleet.NodeCount(); ++node) {
    m_fleet.Node(node).Kill();
  }
  for (int node = 0; node < m_fleet.NodeCount(); ++node) {
    m_fleet.StartNode(node);
  }
  EXPECT_TRUE(WaitUntil(milliseconds(20'000), [this, &path] {
    return TimeUntilServed(path).has_value();
  }));
}

TEST_F(ConfigTest, AppendWhoseResponseIsLostTakesEffect) {
  ASSERT_TRUE(m_fleet.SetLogFaults(R"({"lose_answers": 1})"));
  EXPECT_FALSE(m_fleet.Publish("/added"));
  EXPECT_TRUE(TimeUntilServed("/added").has_value());
  // Publishing the same change again has no effect.
  EXPECT_TRUE(m_fleet.Publish("/added"));
  EXPECT_TRUE(TimeUntilServed("/added").has_value());
}

}  // namespace
}  // namespace sequoiastage
