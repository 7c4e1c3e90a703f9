#include "sequoiastage/mesh/local_instance.h"

#include <gtest/gtest.h>

namespace sequoiastage {
namespace {

using std::chrono::seconds;
using Change = LocalInstance::Change;

InstanceAnnouncement Announce(std::string name,
                              uint64_t start_time_ms,
                              uint64_t sequence) {
  return {.m_name = std::move(name),
          .m_service = "plans",
          .m_slots = 3,
          .m_sequence = sequence,
          .m_start_time_ms = start_time_ms};
}

class LocalInstanceTest : public testing::Test {
 protected:
  std::string ActiveName() const {
    return m_local.ActiveInstance() == nullptr
               ? ""
               : m_local.ActiveInstance()->m_name;
  }

  LocalInstance m_local;
  TimePoint m_now{seconds(100)};
};

TEST_F(LocalInstanceTest, RepeatedAnnouncementsChangeNothing) {
  EXPECT_EQ(m_local.OnAnnounce(Announce("a", 10, 1), m_now), Change::kChanged);
  EXPECT_EQ(m_local.OnAnnounce(Announce("a", 10, 2), m_now), Change::kNone);
  EXPECT_EQ(ActiveName(), "a");
}

TEST_F(LocalInstanceTest, LateAnnouncementDoesNotRevertLeaving) {
  m_local.OnAnnounce(Announce("a", 10, 1), m_now);
  InstanceAnnouncement leaving = Announce("a", 10, 3);
  leaving.m_is_leaving = true;
  EXPECT_EQ(m_local.OnAnnounce(leaving, m_now), Change::kChanged);
  EXPECT_EQ(m_local.OnAnnounce(Announce("a", 10, 2), m_now), Change::kStale);
  EXPECT_EQ(m_local.OnAnnounce(Announce("a", 10, 4), m_now), Change::kNone);
  EXPECT_EQ(ActiveName(), "");
}

// The instance states its departure in a response and announces itself as
// ready.
TEST_F(LocalInstanceTest, StatedDepartureOutlastsReadyAnnouncements) {
  m_local.OnAnnounce(Announce("a", 10, 1), m_now);
  EXPECT_EQ(m_local.OnLeaving("a", 9), Change::kNone);
  EXPECT_EQ(m_local.OnLeaving("a", 10), Change::kChanged);
  EXPECT_EQ(m_local.OnLeaving("a", 10), Change::kNone);
  EXPECT_EQ(m_local.OnAnnounce(Announce("a", 10, 2), m_now), Change::kNone);
  EXPECT_EQ(ActiveName(), "");
  ASSERT_NE(m_local.Departed(), nullptr);
  EXPECT_EQ(m_local.OnAnnounce(Announce("a", 20, 1), m_now), Change::kChanged);
  EXPECT_EQ(ActiveName(), "a");
}

TEST_F(LocalInstanceTest, AnnouncementOfAnEarlierIncarnationIsStale) {
  m_local.OnAnnounce(Announce("b", 20, 1), m_now);
  EXPECT_EQ(m_local.OnAnnounce(Announce("a", 10, 9), m_now), Change::kStale);
  EXPECT_EQ(ActiveName(), "b");
}

TEST_F(LocalInstanceTest, RestartUnderTheSameNameIsAccepted) {
  m_local.OnAnnounce(Announce("a", 10, 9), m_now);
  EXPECT_EQ(m_local.OnAnnounce(Announce("a", 20, 0), m_now), Change::kChanged);
  EXPECT_EQ(ActiveName(), "a");
}

TEST_F(LocalInstanceTest, LateAnnouncementDoesNotRestoreADeregisteredInstance) {
  m_local.OnAnnounce(Announce("a", 10, 1), m_now);
  EXPECT_EQ(m_local.OnDeregister("a"), Change::kChanged);
  EXPECT_EQ(m_local.OnAnnounce(Announce("a", 10, 2), m_now), Change::kStale);
  EXPECT_EQ(ActiveName(), "");
  EXPECT_EQ(m_local.OnAnnounce(Announce("b", 5, 1), m_now), Change::kChanged);
}

TEST_F(LocalInstanceTest, DeregistrationOfAnotherInstanceIsIgnored) {
  m_local.OnAnnounce(Announce("b", 20, 1), m_now);
  EXPECT_EQ(m_local.OnDeregister("a"), Change::kNone);
  EXPECT_EQ(ActiveName(), "b");
}

TEST_F(LocalInstanceTest, ClockSetBackOnlyDelaysTheNextIncarnation) {
  m_local.OnAnnounce(Announce("a", 5000, 1), m_now);
  EXPECT_EQ(m_local.OnAnnounce(Announce("b", 3000, 1), m_now), Change::kStale);
  m_now += seconds(5);
  EXPECT_EQ(m_local.OnAnnounce(Announce("b", 3000, 4), m_now),
            Change::kChanged);
  EXPECT_EQ(ActiveName(), "b");
}

// The node restarts between the departure and a late announcement.
TEST_F(LocalInstanceTest, RestoredDepartureOutlivesTheNodesProcess) {
  LocalInstance restarted;
  restarted.RestoreDeparture("i-1", 10);
  InstanceAnnouncement late{
      .m_name = "i-1", .m_sequence = 3, .m_start_time_ms = 10};
  EXPECT_EQ(restarted.OnAnnounce(late, TimePoint(std::chrono::seconds(1))),
            LocalInstance::Change::kStale);
  EXPECT_EQ(restarted.ActiveInstance(), nullptr);
  // Also when the announcement came first.
  LocalInstance other;
  other.OnAnnounce(late, TimePoint(std::chrono::seconds(1)));
  ASSERT_NE(other.ActiveInstance(), nullptr);
  EXPECT_EQ(other.RestoreDeparture("i-1", 10), LocalInstance::Change::kChanged);
  EXPECT_EQ(other.ActiveInstance(), nullptr);
  // The next incarnation is accepted.
  late.m_start_time_ms = 20;
  EXPECT_EQ(restarted.OnAnnounce(late, TimePoint(std::chrono::seconds(2))),
            LocalInstance::Change::kChanged);
  EXPECT_NE(restarted.ActiveInstance(), nullptr);
}

TEST_F(LocalInstanceTest, MismatchEndsTheIncarnation) {
  m_local.OnAnnounce(Announce("a", 10, 1), m_now);
  EXPECT_EQ(m_local.OnMismatch(), Change::kChanged);
  EXPECT_EQ(ActiveName(), "");
}

}  // namespace
}  // namespace sequoiastage
