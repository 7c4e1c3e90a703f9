#include <gtest/gtest.h>

#include "fleet.h"

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;

// All instances are beside node 1. Node 0 reaches node 1 but receives nothing
// from it, or the reverse. The link between nodes 2 and 1 is intact.
class OneWayCutTest : public testing::TestWithParam<bool> {
 protected:
  void SetUp() override { ASSERT_EQ(m_fleet.Start(), ""); }

  void CutBetween0And1() {
    if (GetParam()) {
      m_fleet.Links().Cut(0, 1);
    } else {
      m_fleet.Links().Cut(1, 0);
    }
  }

  Fleet m_fleet{{.m_only_instances_at = 1, .m_has_relay = true}};
};

TEST_P(OneWayCutTest, TakesNothingOutOfServiceForOthers) {
  CutBetween0And1();
  // Long enough for every suspicion of node 0 to spread.
  const auto end = std::chrono::steady_clock::now() + milliseconds(8000);
  int answered = 0;
  while (std::chrono::steady_clock::now() < end) {
    const CallerResponse cut =
        Call({.m_to = m_fleet.Caller(0),
              .m_target = "/jobs/cut",
              .m_fields = {{"Host", "move.example"},
                           {"Sequoiastage-Deadline-Ms", "300"}}});
    EXPECT_TRUE(cut.IsComplete()) << "no complete answer: " << cut.m_error;
    EXPECT_NE(cut.Outcome(), "answered") << "the link is not cut";
    for (int i = 0; i < 10; ++i) {
      ASSERT_TRUE(m_fleet.IsServing(2)) << "after " << answered << " answers";
      ++answered;
    }
  }
  m_fleet.Links().HealAll();
  EXPECT_TRUE(
      WaitUntil(milliseconds(10'000), [this] { return m_fleet.IsServing(0); }));
}

INSTANTIATE_TEST_SUITE_P(BothWays, OneWayCutTest, testing::Bool());

}  // namespace
}  // namespace sequoiastage
