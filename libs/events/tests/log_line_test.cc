#include "sequoiastage/events/log_line.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "sequoiastage/events/event_table.h"

namespace sequoiastage {
namespace {

TEST(LogLineTest, ReadsPairsAndQuotedValues) {
  const auto line = ParseLogLine(
      R"(time=2026-12-04T03:12:08.123 level=INFO event=request_failed request=1f cause="no \"one\"\x09" took_ms=12)",
      "node-1");
  ASSERT_TRUE(line);
  EXPECT_EQ(line->m_source, "node-1");
  EXPECT_EQ(line->m_event, "request_failed");
  EXPECT_EQ(line->Get("cause"), "no \"one\"\t");
  EXPECT_EQ(line->Number("took_ms"), 12);
  EXPECT_EQ(line->Number("cause"), std::nullopt);
  EXPECT_FALSE(line->Has("level"));
}

TEST(LogLineTest, ReadsSourceWrittenByCollector) {
  EXPECT_EQ(ParseLogLine("  -7.9 host-a-2 time=t level=INFO event=e", "file")
                ->m_source,
            "host-a-2");
  EXPECT_EQ(ParseLogLine("7.9 time=t level=INFO event=e", "file")->m_source,
            "file");
}

TEST(LogLineTest, RejectsMalformedLines) {
  for (const char* text :
       {"", "time=", "time=t", "hello", "time=t event=e x", "time=t event=e =1",
        R"(time=t event=e a="open)", R"(time=t event=e a="\x1)",
        R"(time=t event=e a="b"c)"}) {
    EXPECT_FALSE(ParseLogLine(text)) << text;
  }
}

RC_GTEST_PROP(LogLineProperty,
              HandlesArbitraryBytes,
              (const std::string& text)) {
  ParseLogLine("time=t event=e " + text);
  ParseLogLine(text);
}

TEST(EventTableTest, ReportsMismatchWithTable) {
  const auto check = [](const char* text) {
    return CheckLogLine(*ParseLogLine(text), MeshEvents()).value_or("");
  };
  EXPECT_EQ(check("time=t level=DEBUG event=caller_left request=1"), "");
  EXPECT_EQ(check("time=t level=INFO event=nothing"), "unknown event nothing");
  EXPECT_EQ(check("time=t level=INFO event=caller_left request=1"),
            "caller_left at level INFO instead of DEBUG");
  EXPECT_EQ(check("time=t level=DEBUG event=caller_left"),
            "caller_left lacks request");
  EXPECT_EQ(check("time=t level=DEBUG event=caller_left request=1 x=2"),
            "caller_left has no field x");
}

}  // namespace
}  // namespace sequoiastage
