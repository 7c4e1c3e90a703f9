#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "ejection_world.h"

namespace sequoiastage::ejection_world {
namespace {

RC_GTEST_PROP(EjectionRaceTest, TheFloorIsKept, ()) {
  World world(Rule::kGrants);
  RC_ASSERT(world.Run(*Steps()));
}

// Longer runs than RapidCheck's, and a check that they eject at all.
TEST(EjectionRaceTest, TheFloorIsKeptInLongRuns) {
  size_t held = 0;
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    World world(Rule::kGrants);
    EXPECT_TRUE(world.Run(Steps()(rc::Random(seed), 400).value())) << seed;
    held += world.HeldGrants();
  }
  EXPECT_GT(held, 200U);
}

int CountFailures(Rule rule) {
  int failures = 0;
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    World world(rule);
    failures += world.Run(Steps()(rc::Random(seed), 400).value()) ? 0 : 1;
  }
  return failures;
}

TEST(EjectionRaceTest, CountingAloneBreaksTheFloor) {
  EXPECT_GT(CountFailures(Rule::kCountOnly), 0);
}

constexpr uint8_t kArrives = 3;
constexpr uint8_t kArrivesAndIsCopied = 2;
constexpr uint8_t kAllWork = 0xff;

// Starts with a floor of 7 that every node has read.
class Script {
 public:
  Script() {
    constexpr uint8_t kFloorSeven = 5;
    m_steps = {{StepKind::kSetFloor, 0, 0, kFloorSeven, kAllWork}};
    ReadAllBut(kNodes);
  }

  Script& Do(StepKind kind, uint8_t node, uint8_t target, uint8_t amount) {
    m_steps.push_back({kind, node, target, amount, kAllWork});
    return *this;
  }

  Script& ReadAllBut(uint8_t late) {
    for (uint8_t node = 0; node < kNodes; ++node) {
      if (node != late) {
        Do(StepKind::kRead, node, 0, 5);
      }
    }
    return *this;
  }

  const std::vector<Step>& Steps() const { return m_steps; }

 private:
  std::vector<Step> m_steps;
};

// Node 0 reads that its instance was ejected only after the instance was
// readmitted and another one was ejected in reliance on it.
Script LateReader() {
  return Script()
      .Do(StepKind::kEject, 1, 0, kArrives)
      .ReadAllBut(0)
      .Do(StepKind::kReadmit, 1, 0, kArrives)
      .ReadAllBut(0)
      .Do(StepKind::kEject, 1, 1, kArrives)
      .ReadAllBut(0)
      .Do(StepKind::kRead, 0, 0, 1);
}

TEST(EjectionRaceTest, NamingLaggingInstancesBreaksTheFloor) {
  EXPECT_TRUE(World(Rule::kGrants).Run(LateReader().Steps()));
  EXPECT_FALSE(World(Rule::kLaggingRemaining).Run(LateReader().Steps()));
}

// A copy of the first grant arrives when instance 1 is readmitted but its node
// has not read that yet.
TEST(EjectionRaceTest, ALateCopyOfAGrantIsVoid) {
  World world(Rule::kGrants);
  EXPECT_TRUE(world.Run(Script()
                            .Do(StepKind::kEject, 1, 0, kArrivesAndIsCopied)
                            .ReadAllBut(kNodes)
                            .Do(StepKind::kReadmit, 1, 0, kArrives)
                            .ReadAllBut(kNodes)
                            .Do(StepKind::kEject, 2, 1, kArrives)
                            .ReadAllBut(kNodes)
                            .Do(StepKind::kReadmit, 2, 1, kArrives)
                            .ReadAllBut(1)
                            .Do(StepKind::kDeliver, 0, 0, 0)
                            .ReadAllBut(1)
                            .Steps()));
  EXPECT_EQ(world.HeldGrants(), 2U);
}

TEST(EjectionRaceTest, LocalEjectionBreaksTheFloor) {
  EXPECT_GT(CountFailures(Rule::kLocal), 0);
}

}  // namespace
}  // namespace sequoiastage::ejection_world
