#include "sequoiastage/config/ejections.h"

#include <gtest/gtest.h>

#include "replay_harness.h"

namespace sequoiastage {
namespace {

InstanceRun MakeRun(uint32_t instance, uint64_t incarnation = 1) {
  return {.m_instance = InstanceId({.m_ip = instance, .m_port = 80}),
          .m_incarnation = Incarnation(incarnation)};
}

EjectionGrant MakeGrant(const ServiceEjections& seen,
                        const InstanceRun& target,
                        std::vector<InstanceRun> remaining) {
  return {.m_header = MakeHeader("g"),
          .m_service = "s",
          .m_from = seen.m_version,
          .m_target = target,
          .m_remaining = std::move(remaining)};
}

TEST(EjectionsTest, AGrantIsValidOnlyWithEnoughRemainingInstances) {
  ServiceEjections ejections;
  const auto apply = [&ejections](const EjectionGrant& grant) {
    return ApplyGrant(grant, LogOffset(9), 2, ejections).value_or("accepted");
  };
  const ServiceEjections none;
  EXPECT_EQ(apply(MakeGrant(none, MakeRun(1), {MakeRun(2), MakeRun(2, 2)})),
            "1 remaining instances are below the floor of 2");
  EXPECT_EQ(apply(MakeGrant(none, MakeRun(1),
                            {MakeRun(1, 2), MakeRun(2), MakeRun(3)})),
            "the instance is named as remaining itself");
  EXPECT_EQ(apply(MakeGrant(none, MakeRun(1), {MakeRun(2), MakeRun(3)})),
            "accepted");
  EXPECT_EQ(apply(MakeGrant(none, MakeRun(2), {MakeRun(3), MakeRun(4)})),
            "made from version none of the ejections, in force is 9");
  EXPECT_EQ(apply(MakeGrant(ejections, MakeRun(2),
                            {MakeRun(1), MakeRun(3), MakeRun(4)})),
            "remaining instance 0.0.0.1:80 is ejected");
  EXPECT_EQ(apply(MakeGrant(ejections, MakeRun(1), {MakeRun(3), MakeRun(4)})),
            "the instance is ejected already");
}

TEST(EjectionsTest, ANewIncarnationIsInService) {
  ServiceEjections ejections;
  ASSERT_FALSE(
      ApplyGrant(MakeGrant(ejections, MakeRun(1, 5), {MakeRun(2), MakeRun(3)}),
                 LogOffset(1), 2, ejections));
  EXPECT_TRUE(ejections.IsEjected(MakeRun(1, 4)));
  EXPECT_TRUE(ejections.IsEjected(MakeRun(1, 5)));
  EXPECT_FALSE(ejections.IsEjected(MakeRun(1, 6)));
  EXPECT_FALSE(
      ApplyGrant(MakeGrant(ejections, MakeRun(2), {MakeRun(1, 6), MakeRun(3)}),
                 LogOffset(2), 2, ejections));
}

TEST(EjectionsTest, AReadmissionEndsOnlyTheEjectionItRefersTo) {
  ServiceEjections ejections;
  ApplyGrant(MakeGrant(ejections, MakeRun(1), {MakeRun(2), MakeRun(3)}),
             LogOffset(1), 2, ejections);
  const Readmission first{.m_header = MakeHeader("r"),
                          .m_service = "s",
                          .m_target = MakeRun(1),
                          .m_grant = LogOffset(1)};
  EXPECT_FALSE(ApplyReadmission(first, LogOffset(2), ejections));
  EXPECT_FALSE(ejections.IsEjected(MakeRun(1)));
  ApplyGrant(MakeGrant(ejections, MakeRun(1), {MakeRun(2), MakeRun(3)}),
             LogOffset(3), 2, ejections);
  EXPECT_TRUE(ApplyReadmission(first, LogOffset(4), ejections));
  EXPECT_TRUE(ejections.IsEjected(MakeRun(1)));
  EXPECT_EQ(ejections.m_version, LogOffset(3));
}

TEST(EjectionsTest, AHigherFloorUndoesEjections) {
  ServiceEjections ejections;
  ApplyGrant(MakeGrant(ejections, MakeRun(1), {MakeRun(2), MakeRun(3)}),
             LogOffset(1), 2, ejections);
  EXPECT_FALSE(EnforceFloor(2, LogOffset(2), ejections));
  EXPECT_TRUE(EnforceFloor(3, LogOffset(3), ejections));
  EXPECT_FALSE(ejections.IsEjected(MakeRun(1)));
}

TEST(EjectionsTest, EjectionsAreNotEnforcedWhenTooFewInstancesAreLive) {
  ServiceEjections ejections;
  ApplyGrant(MakeGrant(ejections, MakeRun(1), {MakeRun(2), MakeRun(3)}),
             LogOffset(1), 2, ejections);
  EXPECT_EQ(SelectEnforcedEjections(ejections,
                                    {MakeRun(1), MakeRun(2), MakeRun(3)}, 2),
            std::vector<InstanceRun>{MakeRun(1)});
  EXPECT_TRUE(
      SelectEnforcedEjections(ejections, {MakeRun(1), MakeRun(3)}, 2).empty());
}

TEST(EjectionsTest, AProposalListsOnlyWorkingInstancesOfUpToDateNodes) {
  ServiceEjections ejections{.m_service = "s", .m_version = LogOffset(7)};
  const std::vector<InstanceStatus> instances = {{.m_run = MakeRun(1),
                                                  .m_next_offset = LogOffset(8),
                                                  .m_is_working = false},
                                                 {.m_run = MakeRun(2),
                                                  .m_next_offset = LogOffset(8),
                                                  .m_is_working = true},
                                                 {.m_run = MakeRun(3),
                                                  .m_next_offset = LogOffset(7),
                                                  .m_is_working = true},
                                                 {.m_run = MakeRun(4),
                                                  .m_next_offset = LogOffset(9),
                                                  .m_is_working = true},
                                                 {.m_run = MakeRun(5),
                                                  .m_next_offset = LogOffset(9),
                                                  .m_is_working = false}};
  std::string reason;
  const auto grant = ProposeEjection(MakeHeader("g"), "s", MakeRun(1),
                                     instances, 2, ejections, &reason);
  ASSERT_TRUE(grant.has_value()) << reason;
  EXPECT_EQ(grant->m_remaining,
            (std::vector<InstanceRun>{MakeRun(2), MakeRun(4)}));
  EXPECT_FALSE(ProposeEjection(MakeHeader("g"), "s", MakeRun(1), instances, 3,
                               ejections, &reason));
  EXPECT_EQ(reason, "2 remaining instances are below the floor of 3");
}

}  // namespace
}  // namespace sequoiastage
