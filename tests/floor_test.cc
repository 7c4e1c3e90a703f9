#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <numeric>
#include <random>

#include "fleet.h"
#include "load.h"
#include "node_events.h"

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;

// One instance beside each node.
constexpr int kNodes = 6;
// Number of other instances that a node sees while it is cut off from one node.
constexpr int kFloor = 4;

constexpr milliseconds kEjectLimit{20'000};

// Duration of an ejection plus the time to request the readmission.
constexpr milliseconds kReadmitLimit{25'000};

enum class LogFault { kNone, kOut, kSlow, kLosesAnswers };

struct FaultCase {
  const char* m_name;
  bool m_cuts_forward = false;
  bool m_cuts_back = false;
  LogFault m_log = LogFault::kNone;
};

// By default gtest prints the bytes, which include a pointer.
void PrintTo(const FaultCase& trouble, std::ostream* out) {
  *out << trouble.m_name;
}

class FloorTest : public testing::Test {
 protected:
  void SetUp() override { ASSERT_EQ(m_fleet.Start(), ""); }

  void SetLog(LogFault fault) {
    const char* faults = R"({"outage": false, "delay": "0ms"})";
    if (fault == LogFault::kOut) {
      faults = R"({"outage": true})";
    } else if (fault == LogFault::kSlow) {
      faults = R"({"delay": "1s"})";
    } else if (fault == LogFault::kLosesAnswers) {
      faults = R"({"lose_answers": 3})";
    }
    ASSERT_TRUE(m_fleet.SetLogFaults(faults));
  }

  std::vector<std::vector<NodeEvent>> AllEvents() {
    std::vector<std::vector<NodeEvent>> events;
    events.reserve(kNodes);
    for (int node = 0; node < kNodes; ++node) {
      events.push_back(m_fleet.Events(node));
    }
    return events;
  }

  bool WaitForEjected(int count) {
    return WaitUntil(kEjectLimit,
                     [this, count] { return MaxEjected() >= count; });
  }

  int MaxEjected() { return MaxConcurrentEjections(AllEvents()); }

  // Number of events `name` that the node logged about its instance.
  int Count(int node, const std::string& name) {
    const auto events = m_fleet.Events(node);
    return static_cast<int>(std::count_if(
        events.begin(), events.end(),
        [&name](const NodeEvent& event) { return event.m_name == name; }));
  }

  Fleet m_fleet{{.m_nodes = kNodes,
                 .m_instances_per_node = 1,
                 .m_retry_share = 1,
                 .m_floor = kFloor,
                 .m_false_ejection_bound = "10h",
                 .m_has_relay = true}};
};

class FloorUnderFaultsTest : public FloorTest,
                             public testing::WithParamInterface<FaultCase> {};

// Two instances fail beside nodes that are cut off from each other, and both
// can be ejected. Then a third one fails, whose ejection would violate the
// floor.
TEST_P(FloorUnderFaultsTest, HoldsAtEachMoment) {
  std::mt19937_64 random(ScheduleSeed());
  std::array<int, kNodes> order{};
  std::iota(order.begin(), order.end(), 0);
  std::shuffle(order.begin(), order.end(), random);
  const int first = order[0];
  const int second = order[1];
  const int third = order[2];
  Load load(m_fleet, {.m_callers = 8, .m_keyed_every = 0});
  ASSERT_TRUE(WaitUntil(milliseconds(10'000), [this] {
    for (int node = 0; node < kNodes; ++node) {
      if (m_fleet.TotalStarts(node, 0) < 20) {
        return false;
      }
    }
    return true;
  }));
  if (GetParam().m_cuts_forward) {
    m_fleet.Links().Cut(first, second);
  }
  if (GetParam().m_cuts_back) {
    m_fleet.Links().Cut(second, first);
  }
  SetLog(GetParam().m_log);
  ASSERT_TRUE(m_fleet.SetMode(first, 0, "errors"));
  ASSERT_TRUE(m_fleet.SetMode(second, 0, "errors"));
  if (GetParam().m_log == LogFault::kOut) {
    // Both nodes request an ejection, which nothing can grant without the log.
    EXPECT_TRUE(WaitUntil(milliseconds(10'000), [&] {
      return Count(first, "instance_suspect") > 0 &&
             Count(second, "instance_suspect") > 0;
    }));
    EXPECT_EQ(MaxEjected(), 0);
    SetLog(LogFault::kNone);
  }
  ASSERT_TRUE(WaitForEjected(kNodes - kFloor));
  ASSERT_TRUE(m_fleet.SetMode(third, 0, "errors"));
  EXPECT_TRUE(WaitUntil(kEjectLimit, [&] {
    return Count(third, "ejection_not_possible") > 0;
  })) << "no ejection was requested below the floor";
  m_fleet.Links().HealAll();
  SetLog(LogFault::kNone);
  EXPECT_LE(MaxEjected(), kNodes - kFloor);
  const int goal = load.Answered() + 500;
  EXPECT_TRUE(
      WaitUntil(milliseconds(10'000), [&] { return load.Answered() >= goal; }));
  const LoadResult result = load.Stop();
  EXPECT_LE(MaxEjected(), kNodes - kFloor);
  std::printf("%s: at most %d of %d ejected, answered=%d not_run=%d\n",
              GetParam().m_name, MaxEjected(), kNodes, result.m_answered,
              result.m_not_run);
}

// A node that is cut off from all others sees too few instances for an ejection
// and puts its own instance back into service. That is not a new failure: after
// the cut heals, the instance is readmitted as early as without the cut.
TEST_F(FloorTest, EjectedInstanceIsReadmittedAfterItsNodeWasCutOff) {
  const int node = static_cast<int>(ScheduleSeed() % kNodes);
  Load load(m_fleet, {.m_callers = 8, .m_keyed_every = 0});
  ASSERT_TRUE(WaitUntil(milliseconds(10'000), [this, node] {
    return m_fleet.TotalStarts(node, 0) > 20;
  }));
  ASSERT_TRUE(m_fleet.SetMode(node, 0, "errors"));
  ASSERT_TRUE(WaitForEjected(1));
  const auto end = std::chrono::steady_clock::now() + kReadmitLimit;
  ASSERT_TRUE(m_fleet.SetMode(node, 0, "healthy"));
  for (int other = 0; other < kNodes; ++other) {
    if (other != node) {
      m_fleet.Links().CutBothDirections(node, other);
    }
  }
  ASSERT_TRUE(WaitUntil(milliseconds(10'000), [this, node] {
    return Count(node, "instance_readmitted") > 0;
  })) << "the node still takes its instance out of service";
  m_fleet.Links().HealAll();
  EXPECT_TRUE(WaitUntil(milliseconds(60'000), [this, node] {
    return Count(node, "instance_readmitted") ==
               Count(node, "instance_ejected") &&
           m_fleet.LogContains("readmit-");
  }));
  EXPECT_LT(std::chrono::steady_clock::now(), end);
}

INSTANTIATE_TEST_SUITE_P(
    Faults,
    FloorUnderFaultsTest,
    testing::Values(FaultCase{.m_name = "OneWayCut", .m_cuts_forward = true},
                    FaultCase{.m_name = "CutBothWays",
                              .m_cuts_forward = true,
                              .m_cuts_back = true},
                    FaultCase{.m_name = "CutAndLogOut",
                              .m_cuts_forward = true,
                              .m_log = LogFault::kOut},
                    FaultCase{.m_name = "CutAndSlowLog",
                              .m_cuts_back = true,
                              .m_log = LogFault::kSlow},
                    FaultCase{.m_name = "CutBothWaysAndLostAnswers",
                              .m_cuts_forward = true,
                              .m_cuts_back = true,
                              .m_log = LogFault::kLosesAnswers}),
    [](const auto& info) { return std::string(info.param.m_name); });

}  // namespace
}  // namespace sequoiastage
