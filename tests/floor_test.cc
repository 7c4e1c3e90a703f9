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

// One instance beside each.
constexpr int kNodes = 6;
// The other instances that a node sees while it is cut off from one.
constexpr int kFloor = 4;

constexpr milliseconds kEjectLimit{20'000};

// The hold of an ejection, and the time to ask for the end of it.
constexpr milliseconds kComeBackLimit{25'000};

enum class LogFault { kNone, kOut, kSlow, kLosesAnswers };

struct Trouble {
  const char* m_name;
  bool m_cuts_there = false;
  bool m_cuts_back = false;
  LogFault m_log = LogFault::kNone;
};

// Without this gtest prints the bytes, which hold an address.
void PrintTo(const Trouble& trouble, std::ostream* out) {
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
                     [this, count] { return MostEjected() >= count; });
  }

  int MostEjected() { return MostEjectedAtOnce(AllEvents()); }

  // How often the node logged `name`, which is about its instance.
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

class FloorInTroubleTest : public FloorTest,
                           public testing::WithParamInterface<Trouble> {};

// Two instances fail beside nodes that are cut off from each other, and may be
// ejected. Then a third one fails: without it the floor would be broken.
TEST_P(FloorInTroubleTest, HoldsAtEachMoment) {
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
  if (GetParam().m_cuts_there) {
    m_fleet.Links().Cut(first, second);
  }
  if (GetParam().m_cuts_back) {
    m_fleet.Links().Cut(second, first);
  }
  SetLog(GetParam().m_log);
  ASSERT_TRUE(m_fleet.SetMode(first, 0, "errors"));
  ASSERT_TRUE(m_fleet.SetMode(second, 0, "errors"));
  if (GetParam().m_log == LogFault::kOut) {
    // The wish is there, and nothing can grant it.
    EXPECT_TRUE(WaitUntil(milliseconds(10'000), [&] {
      return Count(first, "instance_suspect") > 0 &&
             Count(second, "instance_suspect") > 0;
    }));
    EXPECT_EQ(MostEjected(), 0);
    SetLog(LogFault::kNone);
  }
  ASSERT_TRUE(WaitForEjected(kNodes - kFloor));
  ASSERT_TRUE(m_fleet.SetMode(third, 0, "errors"));
  EXPECT_TRUE(WaitUntil(kEjectLimit, [&] {
    return Count(third, "ejection_not_possible") > 0;
  })) << "no ejection was wanted below the floor";
  m_fleet.Links().HealAll();
  SetLog(LogFault::kNone);
  EXPECT_LE(MostEjected(), kNodes - kFloor);
  const int goal = load.Answered() + 500;
  EXPECT_TRUE(
      WaitUntil(milliseconds(10'000), [&] { return load.Answered() >= goal; }));
  const LoadResult result = load.Stop();
  EXPECT_LE(MostEjected(), kNodes - kFloor);
  std::printf("%s: at most %d of %d ejected, answered=%d not_run=%d\n",
              GetParam().m_name, MostEjected(), kNodes, result.m_answered,
              result.m_not_run);
}

// A node that is cut off from all others sees too few instances for any
// ejection, so that its own one is in service there. That is no new failure,
// and after the healing the instance comes back when it would have without it.
TEST_F(FloorTest, EjectedInstanceComesBackAfterItsNodeWasCutOff) {
  const int node = static_cast<int>(ScheduleSeed() % kNodes);
  Load load(m_fleet, {.m_callers = 8, .m_keyed_every = 0});
  ASSERT_TRUE(WaitUntil(milliseconds(10'000), [this, node] {
    return m_fleet.TotalStarts(node, 0) > 20;
  }));
  ASSERT_TRUE(m_fleet.SetMode(node, 0, "errors"));
  ASSERT_TRUE(WaitForEjected(1));
  const auto end = std::chrono::steady_clock::now() + kComeBackLimit;
  ASSERT_TRUE(m_fleet.SetMode(node, 0, "healthy"));
  for (int other = 0; other < kNodes; ++other) {
    if (other != node) {
      m_fleet.Links().CutBothWays(node, other);
    }
  }
  ASSERT_TRUE(WaitUntil(milliseconds(10'000), [this, node] {
    return Count(node, "instance_readmitted") > 0;
  })) << "the node still takes its instance out";
  m_fleet.Links().HealAll();
  EXPECT_TRUE(WaitUntil(milliseconds(60'000), [this, node] {
    return Count(node, "instance_readmitted") ==
               Count(node, "instance_ejected") &&
           m_fleet.LogContains("readmit-");
  }));
  EXPECT_LT(std::chrono::steady_clock::now(), end);
}

INSTANTIATE_TEST_SUITE_P(
    Troubles,
    FloorInTroubleTest,
    testing::Values(Trouble{.m_name = "OneWayCut", .m_cuts_there = true},
                    Trouble{.m_name = "CutBothWays",
                            .m_cuts_there = true,
                            .m_cuts_back = true},
                    Trouble{.m_name = "CutAndLogOut",
                            .m_cuts_there = true,
                            .m_log = LogFault::kOut},
                    Trouble{.m_name = "CutAndSlowLog",
                            .m_cuts_back = true,
                            .m_log = LogFault::kSlow},
                    Trouble{.m_name = "CutBothWaysAndLostAnswers",
                            .m_cuts_there = true,
                            .m_cuts_back = true,
                            .m_log = LogFault::kLosesAnswers}),
    [](const auto& info) { return std::string(info.param.m_name); });

}  // namespace
}  // namespace sequoiastage
