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
