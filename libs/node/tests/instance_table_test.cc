#include "../src/instance_table_p.h"

#include <gtest/gtest.h>

#include <string>

namespace sequoiastage {
namespace {

std::string MakeAnnouncementText(const std::string& health_path) {
  return R"({"service": "approvals", "endpoint": "127.0.1.1:9001",
             "incarnation": 1, "slots": 3, "health_path": ")" +
         health_path + "\"}";
}

Config ConfigWithSlots(uint32_t slots) {
  Config config;
  config.m_services = SharedList<Service>({{.m_name = "plans",
                                            .m_id = MakeServiceId("plans"),
                                            .m_limits = {.m_slots = slots}}});
  return config;
}

Announcement ParseWithSlots(const std::string& slots) {
  Findings findings;
  const auto parsed = ParseAnnouncement(
      R"({"service": "plans", "endpoint": "127.0.0.1:9001", "incarnation": 1)" +
          slots + "}",
      findings);
  EXPECT_TRUE(parsed.has_value()) << findings.ToText();
  return parsed.value_or(Announcement{});
}

TEST(InstanceTableTest, ConfiguredSlotsApplyWhereNoneAreAnnounced) {
  const Config config = ConfigWithSlots(5);
  EXPECT_EQ(ResolveSlots(ParseWithSlots(""), &config), 5);
  EXPECT_EQ(ResolveSlots(ParseWithSlots(R"(, "slots": 2)"), &config), 2);
  EXPECT_EQ(ResolveSlots(ParseWithSlots(""), nullptr), 1);
}

TEST(InstanceTableTest, ChangedSlotsAreInTheMemberEntryAtOnce) {
  InstanceTable table;
  table.Announce(ParseWithSlots(""), TimePoint());
  const Config before = ConfigWithSlots(3);
  const Config after = ConfigWithSlots(4);
  EXPECT_EQ(table.ToMemberEntries(TimePoint(), &before).front().m_slots, 3);
  EXPECT_EQ(table.ToMemberEntries(TimePoint(), &after).front().m_slots, 4);
}

TEST(InstanceTableTest, ReadsTheHealthPathOfAnAnnouncement) {
  Findings findings;
  const auto announcement =
      ParseAnnouncement(MakeAnnouncementText("/health?deep=1"), findings);
  ASSERT_TRUE(announcement.has_value()) << findings.ToText();
  EXPECT_EQ(announcement->m_health_path, "/health?deep=1");
}

// The path is appended to the address of the instance; any other text could
// change the address that the health check connects to.
TEST(InstanceTableTest, RejectsAHealthPathWithoutALeadingSlash) {
  for (const char* path : {"health", "@192.0.2.1/", ":80/"}) {
    Findings findings;
    EXPECT_FALSE(
        ParseAnnouncement(MakeAnnouncementText(path), findings).has_value())
        << path;
  }
}

// Guards against an instance that has left and is used again because one of its
// announcements comes late.
TEST(InstanceTableTest, LateAnnouncementRestoresNoInstanceThatLeft) {
  using LeaveResult = InstanceTable::LeaveResult;
  InstanceTable table;
  Announcement announcement = ParseWithSlots("");
  const Announcement late = announcement;
  ASSERT_TRUE(table.Announce(announcement, TimePoint()));
  EXPECT_EQ(table.Leave(announcement), LeaveResult::kLeft);
  EXPECT_FALSE(table.Announce(late, TimePoint()));
  EXPECT_TRUE(table.Entries().empty());
  // Started again.
  announcement.m_incarnation = Incarnation(2);
  EXPECT_TRUE(table.Announce(announcement, TimePoint()));
  EXPECT_EQ(table.Leave(late), LeaveResult::kOldIncarnation);
  EXPECT_EQ(table.Entries().size(), 1U);
}

// The node has been restarted and has not heard of the instance.
TEST(InstanceTableTest, DepartureOfAnUnknownInstanceIsRemembered) {
  using LeaveResult = InstanceTable::LeaveResult;
  InstanceTable table;
  Announcement announcement = ParseWithSlots("");
  EXPECT_EQ(table.Leave(announcement), LeaveResult::kUnknown);
  EXPECT_FALSE(table.Announce(announcement, TimePoint()));
  announcement.m_incarnation = Incarnation(2);
  EXPECT_TRUE(table.Announce(announcement, TimePoint()));
}

}  // namespace
}  // namespace sequoiastage
