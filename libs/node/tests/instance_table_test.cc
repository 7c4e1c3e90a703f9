#include "../src/instance_table_p.h"

#include <gtest/gtest.h>

namespace sequoiastage {
namespace {

Config ConfigWithSlots(uint32_t slots) {
  Config config;
  config.m_services = {{.m_name = "plans", .m_id = ServiceIdOf("plans")}};
  config.m_services.front().m_limits.m_slots = slots;
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

}  // namespace
}  // namespace sequoiastage
