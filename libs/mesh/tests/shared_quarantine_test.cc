#include "sequoiastage/mesh/shared_quarantine.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>
#include <map>
#include <memory>

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr WallTime kStart{seconds(1'700'000'000)};
constexpr RequestFingerprint kDeadly{1};
constexpr RequestFingerprint kHarmless{2};

NodeId Node(uint32_t number) {
  return NodeId(Endpoint{.m_ip = number, .m_port = 1});
}

CrashReport Crash(uint32_t node,
                  uint64_t start_ms,
                  RequestFingerprint running) {
  return {.m_node = Node(node),
          .m_instance_start_ms = start_ms,
          .m_at = kStart,
          .m_running = {running}};
}

// Quarantines of several nodes and the records that they write.
class Fleet {
 public:
  explicit Fleet(uint32_t nodes) : m_nodes(nodes) {
    for (uint32_t number = 0; number < nodes; ++number) {
      Restart(number);
    }
  }

  SharedQuarantine& operator[](uint32_t node) { return *m_nodes[node]; }

  // Starts another process of the node, which reads all records.
  void Restart(uint32_t node) {
    m_nodes[node] = std::make_unique<SharedQuarantine>(
        Node(node), SharedQuarantineOptions{}, [this] { ++m_changes; });
    for (const auto& [writer, record] : m_records) {
      m_nodes[node]->OnMember(record, m_now);
    }
  }

  // The node writes its record; it reaches the others unless they are cut off.
  void Write(uint32_t node, const std::vector<bool>& is_cut = {}) {
    MemberRecord record{.m_node = Node(node)};
    m_nodes[node]->AddTo(record, m_now);
    m_records[node] = *DecodeMember(EncodeMember(record));
    for (uint32_t other = 0; other < m_nodes.size(); ++other) {
      if (is_cut.empty() || !is_cut[other]) {
        m_nodes[other]->OnMember(m_records[node], m_now);
      }
    }
  }

  bool IsQuarantined(uint32_t node, RequestFingerprint request) {
    return m_nodes[node]->TimeLeft(request, m_now).has_value();
  }

  WallTime m_now = kStart;
  int m_changes = 0;
  std::map<uint32_t, MemberRecord> m_records;

 private:
  std::vector<std::unique_ptr<SharedQuarantine>> m_nodes;
};

TEST(SharedQuarantineTest, CrashesOfSeveralNodesCountTogether) {
  Fleet fleet(4);
  for (uint32_t node = 0; node < 3; ++node) {
    fleet[node].OnCrash(Crash(node, 10, kDeadly), fleet.m_now);
    fleet.Write(node);
  }
  EXPECT_EQ(fleet.m_changes, 3);
  for (uint32_t node = 0; node < 4; ++node) {
    EXPECT_TRUE(fleet.IsQuarantined(node, kDeadly));
  }
}

TEST(SharedQuarantineTest, OutlivesTheProcessesOfAllNodes) {
  Fleet fleet(3);
  for (uint32_t node = 0; node < 3; ++node) {
    fleet[node].OnCrash(Crash(node, 10, kDeadly), fleet.m_now);
    fleet.Write(node);
  }
  for (uint32_t node = 0; node < 3; ++node) {
    fleet.Restart(node);
  }
  // Their next records still have the reports.
  for (uint32_t node = 0; node < 3; ++node) {
    fleet.Write(node);
    EXPECT_EQ(fleet.m_records[node].m_crashes.size(), 1U);
    EXPECT_TRUE(fleet.IsQuarantined(node, kDeadly));
  }
}

TEST(SharedQuarantineTest, CrashElsewhereIsPublishedWhenItsNodeDoesNot) {
  Fleet fleet(2);
  fleet[0].OnCrash(Crash(1, 10, kDeadly), fleet.m_now);
  fleet[0].OnCrash(Crash(1, 20, kDeadly), fleet.m_now);
  fleet[1].OnCrash(Crash(1, 20, kDeadly), fleet.m_now);
  fleet.Write(1);
  fleet.m_now += seconds(1);
  fleet[0].Tick(fleet.m_now);
  EXPECT_EQ(fleet.m_changes, 1);
  fleet.m_now += seconds(1);
  fleet[0].Tick(fleet.m_now);
  EXPECT_EQ(fleet.m_changes, 2);
  fleet[0].Tick(fleet.m_now);
  EXPECT_EQ(fleet.m_changes, 2);
  fleet.Write(0);
  ASSERT_EQ(fleet.m_records[0].m_crashes.size(), 1U);
  EXPECT_EQ(fleet.m_records[0].m_crashes[0], Crash(1, 10, kDeadly));
}

// Without the news, the third crash would quarantine it at a node that has not
// seen it executed.
TEST(SharedQuarantineTest, ExecutionElsewhereKeepsARequestInService) {
  Fleet fleet(4);
  for (uint32_t node = 0; node < 2; ++node) {
    fleet[node].OnCrash(Crash(node, 10, kHarmless), fleet.m_now);
    fleet.Write(node);
  }
  fleet[3].OnExecuted(kHarmless, fleet.m_now);
  EXPECT_EQ(fleet.m_changes, 3);
  fleet.Write(3);
  fleet[2].OnCrash(Crash(2, 10, kHarmless), fleet.m_now);
  fleet.Write(2);
  for (uint32_t node = 0; node < 4; ++node) {
    EXPECT_FALSE(fleet.IsQuarantined(node, kHarmless));
  }
}

TEST(SharedQuarantineTest, UsualExecutionsCauseNoWrites) {
  Fleet fleet(2);
  fleet[0].OnExecuted(kHarmless, fleet.m_now);
  fleet[0].OnCrash(Crash(0, 10, kHarmless), fleet.m_now);
  fleet[0].OnExecuted(kHarmless, fleet.m_now);
  EXPECT_EQ(fleet.m_changes, 1);
}

TEST(SharedQuarantineTest, RecordsAreBoundedAndForgetOldReports) {
  Fleet fleet(1);
  for (uint64_t start = 1; start <= 50; ++start) {
    fleet[0].OnCrash(Crash(0, start, RequestFingerprint(start)), fleet.m_now);
  }
  fleet.Write(0);
  ASSERT_EQ(fleet.m_records[0].m_crashes.size(), 8U);
  EXPECT_EQ(fleet.m_records[0].m_crashes.back().m_instance_start_ms, 50U);
  EXPECT_LT(EncodeMember(fleet.m_records[0]).size(), 2000U);
  fleet.m_now += std::chrono::minutes(31);
  fleet.Write(0);
  EXPECT_TRUE(fleet.m_records[0].m_crashes.empty());
}

// Crashes of a deadly request, restarts and cuts in any order: once all records
// have arrived, every node knows what any node has written.
RC_GTEST_PROP(SharedQuarantineTest, NodesAgreeAfterRestartsAndCuts, ()) {
  constexpr uint32_t kNodes = 5;
  Fleet fleet(kNodes);
  uint32_t written_crashes = 0;
  uint64_t start = 0;
  const auto steps = *rc::gen::inRange(1, 40);
  for (int step = 0; step < steps; ++step) {
    fleet.m_now += milliseconds(*rc::gen::inRange(1, 500));
    const auto node = *rc::gen::inRange<uint32_t>(0, kNodes);
    switch (*rc::gen::inRange(0, 3)) {
      case 0:
        if (!fleet.IsQuarantined(node, kDeadly)) {
          CrashReport report = Crash(node, ++start, kDeadly);
          report.m_at = fleet.m_now;
          fleet[node].OnCrash(report, fleet.m_now);
          fleet.Write(node, *rc::gen::container<std::vector<bool>>(
                                kNodes, rc::gen::arbitrary<bool>()));
          ++written_crashes;
        }
        break;
      case 1:
        fleet.Restart(node);
        break;
      default:
        fleet[node].Tick(fleet.m_now);
    }
  }
  for (uint32_t node = 0; node < kNodes; ++node) {
    fleet.Write(node);
  }
  for (uint32_t node = 0; node < kNodes; ++node) {
    RC_ASSERT(fleet.IsQuarantined(node, kDeadly) == (written_crashes >= 3));
  }
}

}  // namespace
}  // namespace sequoiastage
