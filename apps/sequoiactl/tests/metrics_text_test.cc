#include "../metrics_text.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>

namespace sequoiastage {
namespace {

// Returns the reason why `text` is rejected, "" when it is accepted.
std::string ReasonFor(const std::string& text) {
  std::string reason;
  return ParseMetrics(text, &reason) ? "" : reason;
}

TEST(MetricsTextTest, ParsesSamplesInOrder) {
  std::string reason;
  const auto samples = ParseMetrics(
      "# HELP a_total Help with {braces} and \"quotes\".\n"
      "# TYPE a_total counter\n"
      "a_total{account=\"ferries\",region=\"r\"} 12\n"
      "\n"
      "b:c 0.25 1700000000000\n"
      "d{} 1e+16\n"
      "e { x = \"1\" , }\t-3\n",
      &reason);
  ASSERT_TRUE(samples) << reason;
  EXPECT_EQ(*samples,
            (std::vector<TextSample>{
                {.m_name = "a_total",
                 .m_labels = {{"account", "ferries"}, {"region", "r"}},
                 .m_value = 12},
                {.m_name = "b:c", .m_value = 0.25},
                {.m_name = "d", .m_value = 1e16},
                {.m_name = "e", .m_labels = {{"x", "1"}}, .m_value = -3}}));
  EXPECT_EQ(*FindLabel((*samples)[0], "region"), "r");
  EXPECT_EQ(FindLabel((*samples)[0], "x"), nullptr);
}

// An account's name may contain what ends a label or a line.
TEST(MetricsTextTest, ResolvesEscapes) {
  std::string reason;
  const auto samples = ParseMetrics("a{x=\"q\\\"}\\\\ \\n,{ #\"} 1\n", &reason);
  ASSERT_TRUE(samples) << reason;
  EXPECT_EQ((*samples)[0].m_labels[0].m_value, "q\"}\\ \n,{ #");
}

TEST(MetricsTextTest, AcceptsValuesThatAreNotFinite) {
  std::string reason;
  const auto samples = ParseMetrics("a +Inf\nb -Inf\nc NaN\n", &reason);
  ASSERT_TRUE(samples) << reason;
  EXPECT_TRUE(std::isinf((*samples)[0].m_value));
  EXPECT_LT((*samples)[1].m_value, 0);
  EXPECT_TRUE(std::isnan((*samples)[2].m_value));
}

// A damaged value must not be counted as another number.
TEST(MetricsTextTest, RejectsMalformedLines) {
  for (const std::string line : {"a",           "a ",
                                 "a x",         "a 1x",
                                 "a 1 2x",      "a 1 2 3",
                                 "a 0x10",      "a +-1",
                                 "a ++1",       "1a 1",
                                 "{x=\"1\"} 1", "a{x} 1",
                                 "a{x=1} 1",    "a{x=\"1} 1",
                                 "a{x=\"1\" 1", "a{x=\"1\"y=\"2\"} 1",
                                 "a{=\"1\"} 1", "a{x=\"\\t\"} 1",
                                 "a{,} 1",      "a{x=\"1\",,} 1",
                                 " a 1",        "<html>"}) {
    EXPECT_EQ(ReasonFor("b 1\n" + line + "\nc 1\n"), "line 2 is malformed")
        << line;
  }
}

// The last digits of a truncated value would be missing.
TEST(MetricsTextTest, RejectsTruncatedText) {
  EXPECT_EQ(ReasonFor("a 1\nb 1"), "line 2 has no end");
  EXPECT_EQ(ReasonFor("a 1\n# HEL"), "line 2 has no end");
}

// A sample that occurs twice would be counted twice.
TEST(MetricsTextTest, RejectsRepeatedSamples) {
  EXPECT_EQ(ReasonFor("a{x=\"1\",y=\"2\"} 1\n"
                      "a{x=\"1\"} 1\n"
                      "a{y=\"2\",x=\"1\"} 3\n"),
            "line 3 repeats a sample");
}

// The parser reads what the nodes write.
RC_GTEST_PROP(MetricsTextTest, ReadsRenderedMetrics, ()) {
  const auto value = *rc::gen::arbitrary<double>();
  const auto label = *rc::gen::arbitrary<std::string>();
  std::string reason;
  const auto samples = ParseMetrics(
      RenderMetrics(
          {{.m_name = "x_total",
            .m_help = *rc::gen::arbitrary<std::string>(),
            .m_samples = {{.m_labels = {{"a", label}}, .m_value = value}}}}),
      &reason);
  RC_ASSERT(samples.has_value());
  RC_ASSERT(samples->size() == 1U);
  RC_ASSERT(samples->front().m_value == value);
  RC_ASSERT(*FindLabel(samples->front(), "a") == label);
}

RC_GTEST_PROP(MetricsTextTest, DamagedTextDoesNotCrashTheParser, ()) {
  std::string text =
      "# TYPE a counter\na{x=\"1\",y=\"\\\\\"} 12 3\nb +Inf\nc{} -0.5\n";
  for (int i = *rc::gen::inRange(0, 6); i > 0; --i) {
    text[*rc::gen::inRange<size_t>(0, text.size())] =
        *rc::gen::arbitrary<char>();
  }
  text.resize(*rc::gen::inRange<size_t>(0, text.size() + 1));
  std::string reason;
  const auto samples = ParseMetrics(text, &reason);
  RC_ASSERT(samples.has_value() == reason.empty());
}

}  // namespace
}  // namespace sequoiastage
