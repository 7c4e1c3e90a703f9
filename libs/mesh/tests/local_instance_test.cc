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

  Change Deregister(const std::string& name, uint64_t start_time_ms) {
    return m_local.OnDeregister(name, start_time_ms, m_wall);
  }

  LocalInstance m_local;
  TimePoint m_now{seconds(100)};
  WallTime m_wall{seconds(1)};
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
  EXPECT_EQ(m_local.OnLeaving({"a", 9}), Change::kStale);
  EXPECT_EQ(m_local.OnLeaving({"a", 10}), Change::kChanged);
  EXPECT_EQ(m_local.OnLeaving({"a", 10}), Change::kNone);
  EXPECT_EQ(m_local.OnAnnounce(Announce("a", 10, 2), m_now), Change::kNone);
  EXPECT_EQ(ActiveName(), "");
  ASSERT_NE(m_local.LatestDeparture(), nullptr);
  EXPECT_EQ(m_local.LatestDeparture()->m_start_time_ms, 10U);
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
  EXPECT_EQ(Deregister("a", 10), Change::kChanged);
  EXPECT_EQ(m_local.OnAnnounce(Announce("a", 10, 2), m_now), Change::kStale);
  EXPECT_EQ(ActiveName(), "");
  EXPECT_EQ(m_local.OnAnnounce(Announce("b", 5, 1), m_now), Change::kChanged);
}

TEST_F(LocalInstanceTest, DeregistrationOfAnotherInstanceIsIgnored) {
  m_local.OnAnnounce(Announce("b", 20, 1), m_now);
  Deregister("a", 10);
  EXPECT_EQ(ActiveName(), "b");
}

// Load pattern: a node restarts, and the first that it hears of its instance is
// the deregistration. Announcements that were sent before arrive afterwards.
TEST_F(LocalInstanceTest, UnknownInstanceThatLeftIsNotRestored) {
  EXPECT_EQ(Deregister("a", 10), Change::kChanged);
  ASSERT_NE(m_local.LatestDeparture(), nullptr);
  EXPECT_EQ(m_local.OnAnnounce(Announce("a", 10, 3), m_now), Change::kStale);
  m_now += seconds(60);
  EXPECT_EQ(m_local.OnAnnounce(Announce("a", 10, 4), m_now), Change::kStale);
  EXPECT_EQ(m_local.OnAnnounce(Announce("a", 20, 0), m_now), Change::kChanged);
  EXPECT_EQ(ActiveName(), "a");
}

TEST_F(LocalInstanceTest, DepartureOfAnUnstatedStartCoversThePast) {
  EXPECT_EQ(Deregister("a", 0), Change::kChanged);
  for (uint64_t sequence = 1; sequence < 10; ++sequence) {
    EXPECT_EQ(m_local.OnAnnounce(Announce("a", 999, sequence), m_now),
              Change::kStale);
    m_now += seconds(1);
  }
  EXPECT_EQ(m_local.OnAnnounce(Announce("a", 1001, 0), m_now),
            Change::kChanged);
}

// The clock of the host was set back after the instance had started.
TEST_F(LocalInstanceTest, DepartureOfAnUnstatedStartEndsTheCurrentInstance) {
  m_local.OnAnnounce(Announce("a", 5000, 1), m_now);
  EXPECT_EQ(Deregister("a", 0), Change::kChanged);
  EXPECT_EQ(m_local.OnAnnounce(Announce("a", 5000, 2), m_now), Change::kStale);
  EXPECT_EQ(ActiveName(), "");
}

// The clock was set back after the departure: the next incarnation starts
// before it, and after the one that left.
TEST_F(LocalInstanceTest, DepartureOfAnUnstatedStartIsThatOfTheKnownInstance) {
  m_local.OnAnnounce(Announce("a", 10, 1), m_now);
  EXPECT_EQ(Deregister("a", 0), Change::kChanged);
  EXPECT_EQ(Deregister("a", 0), Change::kNone);
  EXPECT_EQ(m_local.OnAnnounce(Announce("a", 10, 2), m_now), Change::kStale);
  EXPECT_EQ(m_local.OnAnnounce(Announce("a", 20, 0), m_now), Change::kChanged);
  EXPECT_EQ(ActiveName(), "a");
}

TEST_F(LocalInstanceTest, LateAnnouncementTellsTheStartThatWasNotStated) {
  EXPECT_EQ(Deregister("a", 0), Change::kChanged);
  EXPECT_EQ(m_local.OnAnnounce(Announce("a", 10, 3), m_now), Change::kStale);
  EXPECT_EQ(m_local.OnAnnounce(Announce("a", 20, 0), m_now), Change::kStale);
  m_now += seconds(5);
  EXPECT_EQ(m_local.OnAnnounce(Announce("a", 20, 3), m_now), Change::kChanged);
  EXPECT_EQ(m_local.OnAnnounce(Announce("a", 10, 4), m_now), Change::kStale);
  EXPECT_EQ(ActiveName(), "a");
}

// Another instance has taken its place and has left as well.
TEST_F(LocalInstanceTest, EarlierDepartureIsNotForgotten) {
  m_local.OnAnnounce(Announce("a", 10, 1), m_now);
  Deregister("a", 10);
  m_local.OnAnnounce(Announce("b", 20, 1), m_now);
  Deregister("b", 20);
  m_now += seconds(60);
  EXPECT_EQ(m_local.OnAnnounce(Announce("a", 10, 2), m_now), Change::kStale);
  InstanceAnnouncement leaving = Announce("c", 30, 1);
  leaving.m_is_leaving = true;
  m_local.OnAnnounce(leaving, m_now);
  m_local.OnAnnounce(Announce("d", 40, 1), m_now);
  m_now += seconds(60);
  EXPECT_EQ(m_local.OnAnnounce(Announce("c", 30, 1), m_now), Change::kStale);
  EXPECT_EQ(ActiveName(), "d");
}

TEST_F(LocalInstanceTest, LateDeregistrationEndsNoLaterIncarnation) {
  m_local.OnAnnounce(Announce("a", 20, 1), m_now);
  EXPECT_NE(Deregister("a", 10), Change::kStale);
  EXPECT_EQ(ActiveName(), "a");
  EXPECT_EQ(m_local.OnAnnounce(Announce("a", 20, 2), m_now), Change::kNone);
}

// The deregistration overtakes the first announcement of its incarnation.
TEST_F(LocalInstanceTest, DeregistrationOfALaterIncarnationEndsTheEarlierOne) {
  m_local.OnAnnounce(Announce("a", 10, 1), m_now);
  EXPECT_EQ(Deregister("a", 20), Change::kChanged);
  EXPECT_EQ(ActiveName(), "");
  EXPECT_EQ(m_local.OnAnnounce(Announce("a", 20, 1), m_now), Change::kStale);
}

// An instance that starts again under its old name serves again, also when the
// clock was set back meanwhile; a few late announcements don't look like it.
TEST_F(LocalInstanceTest, ClockSetBackOnlyDelaysAReturnUnderTheSameName) {
  Deregister("a", 5000);
  EXPECT_EQ(m_local.OnAnnounce(Announce("a", 4000, 7), m_now), Change::kStale);
  m_now += seconds(5);
  EXPECT_EQ(m_local.OnAnnounce(Announce("a", 4000, 7), m_now), Change::kStale);
  EXPECT_EQ(m_local.OnAnnounce(Announce("a", 3000, 1), m_now), Change::kStale);
  m_now += seconds(5);
  EXPECT_EQ(m_local.OnAnnounce(Announce("a", 3000, 4), m_now),
            Change::kChanged);
  EXPECT_EQ(ActiveName(), "a");
  EXPECT_EQ(m_local.OnAnnounce(Announce("a", 3000, 5), m_now), Change::kNone);
  // It can leave again.
  EXPECT_EQ(Deregister("a", 3000), Change::kChanged);
  EXPECT_EQ(m_local.OnAnnounce(Announce("a", 3000, 6), m_now), Change::kStale);
}

TEST_F(LocalInstanceTest, RemembersABoundedNumberOfDepartures) {
  for (int i = 0; i < 1000; ++i) {
    Deregister("i" + std::to_string(i), 10);
  }
  EXPECT_EQ(m_local.OnAnnounce(Announce("i999", 10, 2), m_now), Change::kStale);
  EXPECT_EQ(m_local.OnAnnounce(Announce("i0", 10, 2), m_now), Change::kChanged);
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
  restarted.RestoreDeparture({"i-1", 10});
  InstanceAnnouncement late{
      .m_name = "i-1", .m_sequence = 3, .m_start_time_ms = 10};
  EXPECT_EQ(restarted.OnAnnounce(late, TimePoint(std::chrono::seconds(1))),
            LocalInstance::Change::kStale);
  EXPECT_EQ(restarted.ActiveInstance(), nullptr);
  // Also when the announcement came first.
  LocalInstance other;
  other.OnAnnounce(late, TimePoint(std::chrono::seconds(1)));
  ASSERT_NE(other.ActiveInstance(), nullptr);
  EXPECT_EQ(other.RestoreDeparture({"i-1", 10}),
            LocalInstance::Change::kChanged);
  EXPECT_EQ(other.ActiveInstance(), nullptr);
  // The next incarnation is accepted.
  late.m_start_time_ms = 20;
  EXPECT_EQ(restarted.OnAnnounce(late, TimePoint(std::chrono::seconds(2))),
            LocalInstance::Change::kChanged);
  EXPECT_NE(restarted.ActiveInstance(), nullptr);
}

TEST_F(LocalInstanceTest, MismatchEndsTheIncarnation) {
  m_local.OnAnnounce(Announce("a", 10, 1), m_now);
  EXPECT_EQ(m_local.OnMismatch({"a", 10}), Change::kChanged);
  EXPECT_EQ(ActiveName(), "");
}

// It was seen before the next incarnation registered, and is reported after.
TEST_F(LocalInstanceTest, LateMismatchEndsNoOtherIncarnation) {
  m_local.OnAnnounce(Announce("a", 10, 1), m_now);
  m_local.OnAnnounce(Announce("b", 20, 1), m_now);
  EXPECT_EQ(m_local.OnMismatch({"a", 10}), Change::kStale);
  EXPECT_EQ(m_local.OnMismatch({"b", 10}), Change::kStale);
  EXPECT_EQ(ActiveName(), "b");
  EXPECT_EQ(m_local.OnAnnounce(Announce("b", 20, 2), m_now), Change::kNone);
}

}  // namespace
}  // namespace sequoiastage
