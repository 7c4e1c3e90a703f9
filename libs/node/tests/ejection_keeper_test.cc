#include "../src/ejection_keeper_p.h"

#include <gtest/gtest.h>

namespace sequoiastage {
namespace {

Sibling SiblingWith(uint16_t outcomes, uint16_t failures) {
  return {.m_run = RunTagOf(Incarnation(7)),
          .m_summary = {.m_summary = {.m_recent_outcomes = outcomes,
                                      .m_recent_failures = failures}}};
}

TEST(EjectionKeeperTest, RecentWorkWithFewFailuresProvesThatAnInstanceWorks) {
  EXPECT_TRUE(IsWorking(SiblingWith(20, 2), Incarnation(7)));
  EXPECT_FALSE(IsWorking(SiblingWith(20, 3), Incarnation(7)));
  EXPECT_FALSE(IsWorking(SiblingWith(0, 0), Incarnation(7)));
}

// A grant that counts on an instance which has just started and may fail would
// take the service below its floor.
TEST(EjectionKeeperTest, WorkOfAnEarlierRunProvesNothingAboutTheNext) {
  EXPECT_FALSE(IsWorking(SiblingWith(20, 0), Incarnation(8)));
}

TEST(EjectionKeeperTest, ReportOfAnOlderBuildCountsForAnyRun) {
  Sibling sibling = SiblingWith(20, 0);
  sibling.m_run = RunTag(0);
  EXPECT_TRUE(IsWorking(sibling, Incarnation(8)));
}

}  // namespace
}  // namespace sequoiastage
