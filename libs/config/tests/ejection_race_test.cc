#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "ejection_simulation.h"

namespace sequoiastage::ejection_simulation {
namespace {

RC_GTEST_PROP(EjectionRaceTest, TheFloorIsKept, ()) {
  EjectionSimulation simulation(Rule::kGrants);
  RC_ASSERT(simulation.Run(*OperationGenerator()));
}

// Longer runs than those of RapidCheck; also checks that instances are ejected.
TEST(EjectionRaceTest, TheFloorIsKeptInLongRuns) {
  size_t accepted_grants = 0;
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    EjectionSimulation simulation(Rule::kGrants);
    EXPECT_TRUE(
        simulation.Run(OperationGenerator()(rc::Random(seed), 400).value()))
        << seed;
    accepted_grants += simulation.AcceptedGrants();
  }
  EXPECT_GT(accepted_grants, 200U);
}

int CountFailures(Rule rule) {
  int failures = 0;
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    EjectionSimulation simulation(rule);
    failures +=
        simulation.Run(OperationGenerator()(rc::Random(seed), 400).value()) ? 0
                                                                            : 1;
  }
  return failures;
}

TEST(EjectionRaceTest, OnlyCountingInstancesBreaksTheFloor) {
  EXPECT_GT(CountFailures(Rule::kCountOnly), 0);
}

constexpr uint8_t kDelivered = 3;
constexpr uint8_t kDeliveredTwice = 2;
constexpr uint8_t kAllWorking = 0xff;

// Builds a sequence of operations after every node has read a floor of 7.
class Scenario {
 public:
  Scenario() {
    constexpr uint8_t kFloorSeven = 5;
    m_operations = {{OperationKind::kSetFloor, 0, 0, kFloorSeven, kAllWorking}};
    ReadAllBut(kNodes);
  }

  Scenario& Execute(OperationKind kind,
                    uint8_t node,
                    uint8_t target,
                    uint8_t argument) {
    m_operations.push_back({kind, node, target, argument, kAllWorking});
    return *this;
  }

  Scenario& ReadAllBut(uint8_t lagging_node) {
    for (uint8_t node = 0; node < kNodes; ++node) {
      if (node != lagging_node) {
        Execute(OperationKind::kRead, node, 0, 5);
      }
    }
    return *this;
  }

  const std::vector<Operation>& Operations() const { return m_operations; }

 private:
  std::vector<Operation> m_operations;
};

// Node 0 reads the ejection of its instance only after the instance was
// readmitted and listed as remaining in the ejection of another one.
Scenario LaggingNodeScenario() {
  return Scenario()
      .Execute(OperationKind::kEject, 1, 0, kDelivered)
      .ReadAllBut(0)
      .Execute(OperationKind::kReadmit, 1, 0, kDelivered)
      .ReadAllBut(0)
      .Execute(OperationKind::kEject, 1, 1, kDelivered)
      .ReadAllBut(0)
      .Execute(OperationKind::kRead, 0, 0, 1);
}

TEST(EjectionRaceTest, ListingInstancesOfLaggingNodesBreaksTheFloor) {
  EXPECT_TRUE(EjectionSimulation(Rule::kGrants)
                  .Run(LaggingNodeScenario().Operations()));
  EXPECT_FALSE(EjectionSimulation(Rule::kLaggingRemaining)
                   .Run(LaggingNodeScenario().Operations()));
}

// A duplicate of the first grant arrives when instance 1 is readmitted but its
// node has not read the readmission yet.
TEST(EjectionRaceTest, ALateDuplicateOfAGrantIsVoid) {
  EjectionSimulation simulation(Rule::kGrants);
  EXPECT_TRUE(
      simulation.Run(Scenario()
                         .Execute(OperationKind::kEject, 1, 0, kDeliveredTwice)
                         .ReadAllBut(kNodes)
                         .Execute(OperationKind::kReadmit, 1, 0, kDelivered)
                         .ReadAllBut(kNodes)
                         .Execute(OperationKind::kEject, 2, 1, kDelivered)
                         .ReadAllBut(kNodes)
                         .Execute(OperationKind::kReadmit, 2, 1, kDelivered)
                         .ReadAllBut(1)
                         .Execute(OperationKind::kDeliver, 0, 0, 0)
                         .ReadAllBut(1)
                         .Operations()));
  EXPECT_EQ(simulation.AcceptedGrants(), 2U);
}

TEST(EjectionRaceTest, LocalEjectionBreaksTheFloor) {
  EXPECT_GT(CountFailures(Rule::kLocal), 0);
}

}  // namespace
}  // namespace sequoiastage::ejection_simulation
