#include "../src/instance_table_p.h"

#include <gtest/gtest.h>

#include <string>

namespace sequoiastage {
namespace {

std::string Text(const std::string& health_path) {
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

Announcement Parsed(const std::string& slots) {
  Findings findings;
  const auto parsed = ParseAnnouncement(
      R"({"service": "plans", "endpoint": "127.0.0.1:9001", "incarnation": 1)" +
          slots + "}",
      findings);
  EXPECT_TRUE(parsed.has_value()) << findings.ToText();
  return parsed.value_or(Announcement{});
}

TEST(InstanceTableTest, ConfiguredSlotsHoldWhereNoneAreAnnounced) {
  const Config config = ConfigWithSlots(5);
  EXPECT_EQ(SlotsOf(Parsed(""), &config), 5);
  EXPECT_EQ(SlotsOf(Parsed(R"(, "slots": 2)"), &config), 2);
  EXPECT_EQ(SlotsOf(Parsed(""), nullptr), 1);
}

TEST(InstanceTableTest, ChangedSlotsAreInTheMemberEntryAtOnce) {
  InstanceTable table;
  table.Announce(Parsed(""), TimePoint());
  const Config before = ConfigWithSlots(3);
  const Config after = ConfigWithSlots(4);
  EXPECT_EQ(table.ToMemberEntries(TimePoint(), &before).front().m_slots, 3);
  EXPECT_EQ(table.ToMemberEntries(TimePoint(), &after).front().m_slots, 4);
}

TEST(InstanceTableTest, ReadsTheHealthPathOfAnAnnouncement) {
  Findings findings;
  const auto announcement = ParseAnnouncement(Text("/health?deep=1"), findings);
  ASSERT_TRUE(announcement.has_value()) << findings.ToText();
  EXPECT_EQ(announcement->m_health_path, "/health?deep=1");
}

// It is put behind the address of the instance, so it must not change that.
TEST(InstanceTableTest, RefusesAHealthPathThatIsNoPath) {
  for (const char* path : {"health", "@192.0.2.1/", ":80/"}) {
    Findings findings;
    EXPECT_FALSE(ParseAnnouncement(Text(path), findings).has_value()) << path;
  }
}

}  // namespace
}  // namespace sequoiastage
