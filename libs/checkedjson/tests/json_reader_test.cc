#include "sequoiastage/checkedjson/json_reader.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sequoiastage {
namespace {

JsonDocument ParseValid(const std::string& source, std::string_view text) {
  Findings findings;
  auto document = JsonDocument::Parse(source, text, findings);
  EXPECT_TRUE(document.has_value()) << findings.ToText();
  return *document;
}

struct Sample {
  std::string m_name = "default";
  uint16_t m_port = 1;
  Duration m_timeout{};
  uint64_t m_bytes = 0;
  Endpoint m_listen;
  double m_share = 0.5;
  bool m_is_on = false;
};

Sample ReadSample(const JsonDocument& document, Findings& findings) {
  Sample sample;
  JsonObject root = JsonObject::Root(document, findings);
  root.ReadString("name", sample.m_name, Presence::kRequired);
  root.ReadInteger<uint16_t>("port", sample.m_port, {.m_min = 1});
  root.ReadDuration("timeout", sample.m_timeout,
                    {.m_min = std::chrono::milliseconds(1),
                     .m_max = std::chrono::seconds(60)});
  root.ReadBytes("bytes", sample.m_bytes);
  root.ReadEndpoint("listen", sample.m_listen);
  root.ReadNumber("share", sample.m_share, {.m_min = 0, .m_max = 1});
  root.ReadBool("is_on", sample.m_is_on);
  root.ReportUnknownKeys();
  return sample;
}

TEST(JsonReaderTest, ReadsTypedFields) {
  const auto document = ParseValid("a.json", R"({
      "name": "x", "port": 80, "timeout": "250ms", "bytes": "64KiB",
      "listen": "127.0.0.1:81", "share": 1, "is_on": true})");
  Findings findings;
  const Sample sample = ReadSample(document, findings);
  EXPECT_TRUE(findings.IsEmpty()) << findings.ToText();
  EXPECT_EQ(sample.m_name, "x");
  EXPECT_EQ(sample.m_port, 80);
  EXPECT_EQ(sample.m_timeout, std::chrono::milliseconds(250));
  EXPECT_EQ(sample.m_bytes, 65536U);
  EXPECT_EQ(ToString(sample.m_listen), "127.0.0.1:81");
  EXPECT_EQ(sample.m_share, 1.0);
  EXPECT_TRUE(sample.m_is_on);
}

TEST(JsonReaderTest, ReportsAllFaultsAndKeepsDefaults) {
  const auto document = ParseValid("a.json", R"({
      "port": 70000, "timeout": "2h", "bytes": "64 apples",
      "listen": "localhost:80", "share": "all", "is_on": 1, "a/b": 1})");
  Findings findings;
  const Sample sample = ReadSample(document, findings);
  EXPECT_EQ(sample.m_port, 1);
  EXPECT_EQ(
      findings.ToText(),
      "a.json: /name: is missing\n"
      "a.json: /port: is 70000, above the maximum of 65535\n"
      "a.json: /timeout: is 2h, above the maximum of 1min\n"
      "a.json: /bytes: is no size such as \"64KiB\" (B, KiB, MiB)\n"
      "a.json: /listen: is no address and port such as \"127.0.0.1:8080\"\n"
      "a.json: /share: is no number but string\n"
      "a.json: /is_on: is no boolean but number\n"
      "a.json: /a~1b: is an unknown key\n");
}

TEST(JsonReaderTest, ReportsNonObjectRootOnce) {
  const auto document = ParseValid("a.json", "[1]");
  Findings findings;
  ReadSample(document, findings);
  EXPECT_EQ(findings.ToText(), "a.json: is no object but array\n");
}

TEST(JsonReaderTest, ReportsElementsByIndex) {
  const auto document = ParseValid("a.json", R"({"names": ["x", 2, ""]})");
  Findings findings;
  JsonObject root = JsonObject::Root(document, findings);
  EXPECT_EQ(root.ReadStrings("names"), std::vector<std::string>{"x"});
  EXPECT_EQ(findings.ToText(),
            "a.json: /names/1: is no string but number\n"
            "a.json: /names/2: is empty\n");
}

TEST(JsonDocumentTest, ReportsDuplicateKeysWithPointers) {
  Findings findings;
  EXPECT_FALSE(JsonDocument::Parse(
      "a.json", R"({"a": [{"b": 1}, {"b": 1, "c": 2, "b": 3}], "a": 1})",
      findings));
  EXPECT_EQ(findings.ToText(),
            "a.json: /a/1/b: is a duplicate key\n"
            "a.json: /a: is a duplicate key\n");
}

TEST(JsonDocumentTest, ReportsInvalidTextWithPosition) {
  Findings findings;
  EXPECT_FALSE(JsonDocument::Parse("a.json", "{\n \"a\": }", findings));
  EXPECT_FALSE(JsonDocument::Parse("b.json", "{\"a\": 1e999}", findings));
  EXPECT_FALSE(JsonDocument::Parse("c.json", std::string(70, '['), findings));
  EXPECT_FALSE(JsonDocument::Parse(
      "d.json", std::string(70, '[') + std::string(70, ']'), findings));
  const std::string text = findings.ToText();
  EXPECT_NE(text.find("a.json: is no valid JSON at line 2, column 7"),
            std::string::npos)
      << text;
  EXPECT_NE(text.find("b.json: holds a number that is out of range"),
            std::string::npos)
      << text;
  EXPECT_NE(text.find("c.json: "), std::string::npos) << text;
  EXPECT_NE(text.find("is nested too deeply"), std::string::npos) << text;
}

TEST(JsonDocumentTest, MergedValuesKeepThePatchSource) {
  const auto base =
      ParseValid("base.json", R"({"a": {"b": 1, "c": 2, "d": 3}, "e": 4})");
  const auto patch =
      ParseValid("site.json", R"({"a": {"b": null, "c": 5}, "f": {"g": 6}})");
  const JsonDocument merged = base.MergedWith(patch);
  EXPECT_EQ(merged.ToText(), R"({"a":{"c":5,"d":3},"e":4,"f":{"g":6}})");
  EXPECT_EQ(merged.FindSource("/a/c"), "site.json");
  EXPECT_EQ(merged.FindSource("/a/d"), "base.json");
  EXPECT_EQ(merged.FindSource("/f/g"), "site.json");
}

// Finishes within the test timeout only if parsing time is linear, not
// quadratic, in the number of members.
TEST(JsonDocumentTest, ParsesManyMembers) {
  constexpr int kMembers = 190'000;
  std::string text = "{";
  for (int i = 0; i < kMembers; ++i) {
    text += (i == 0 ? "\"" : ",\"") + std::to_string(i) + "\": {\"share\": 1}";
  }
  Findings findings;
  EXPECT_TRUE(JsonDocument::Parse("a.json", text + "}", findings));
}

RC_GTEST_PROP(JsonDocumentTest, AnyTextIsParsedOrReported, ()) {
  const auto pieces = *rc::gen::container<std::vector<std::string>>(
      rc::gen::element<std::string>("{", "}", "[", "]", "\"a\"", ":", ",", "1",
                                    "null", "\xff", "1e999", "\\"));
  std::string text;
  for (const std::string& piece : pieces) {
    text += piece;
  }
  Findings findings;
  const auto document = JsonDocument::Parse("a.json", text, findings);
  RC_ASSERT(document.has_value() == findings.IsEmpty());
}

std::string PatchText(const std::string& before, const std::string& after) {
  const auto patch =
      MakeMergePatch(ParseValid("a", before), ParseValid("a", after));
  return patch ? patch->ToText() : "none";
}

TEST(JsonDocumentTest, MergePatchHoldsOnlyDifferences) {
  EXPECT_EQ(PatchText(R"({"a": 1, "b": {"c": 2, "d": 3}})",
                      R"({"b": {"c": 2, "d": 4}, "e": [1]})"),
            R"({"a":null,"b":{"d":4},"e":[1]})");
  EXPECT_EQ(PatchText(R"({"a": [1, 2]})", R"({"a": [1, 3]})"),
            R"({"a":[1,3]})");
  EXPECT_EQ(PatchText(R"({"a": 1})", R"({"a": 1.0})"), R"({"a":1.0})");
  EXPECT_EQ(PatchText(R"({"a": {"b": 1}})", R"({"a": {}})"),
            R"({"a":{"b":null}})");
  EXPECT_EQ(PatchText(R"({"a": 1})", R"({"a": {}})"), R"({"a":{}})");
  EXPECT_EQ(PatchText(R"({"a": null})", R"({"a": null, "b": 1})"),
            R"({"b":1})");
}

TEST(JsonDocumentTest, NoPatchWhenMergePatchCannotExpressIt) {
  EXPECT_EQ(PatchText(R"({})", R"({"a": null})"), "none");
  EXPECT_EQ(PatchText(R"({"a": {"b": 1}})", R"({"a": {"b": null}})"), "none");
  EXPECT_EQ(PatchText(R"({"a": 1})", R"({"a": {"b": {"c": null}}})"), "none");
  EXPECT_EQ(PatchText(R"({})", R"({"a": [null]})"), R"({"a":[null]})");
  EXPECT_EQ(PatchText(R"([1])", R"({"a": 1})"), "none");
  EXPECT_EQ(PatchText(R"({"a": 1})", R"([1])"), "none");
}

// A random JSON value whose keys come from a small set, so that documents share
// members.
std::string RandomValue(int depth, double null_share) {
  const int kind = *rc::gen::inRange(0, depth == 0 ? 5 : 8);
  if (kind == 0) {
    return *rc::gen::inRange(0, 100) < 100 * null_share ? "null" : "true";
  }
  if (kind < 5) {
    const char* const scalars[] = {"1", "1.0", "\"x\"", "[1,null]"};
    return scalars[kind - 1];
  }
  std::string text = "{";
  for (const char* key : {"a", "b", "c/d~"}) {
    if (*rc::gen::inRange(0, 3) > 0) {
      text.append(text.size() > 1 ? ",\"" : "\"").append(key);
      text.append("\":").append(RandomValue(depth - 1, null_share));
    }
  }
  return text + "}";
}

JsonDocument RandomObject(double null_share) {
  return ParseValid("a", "{\"r\":" + RandomValue(3, null_share) + "}");
}

RC_GTEST_PROP(JsonDocumentPropertyTest, PatchProducesTheTargetDocument, ()) {
  const JsonDocument before = RandomObject(0.5);
  const JsonDocument after = RandomObject(0);
  const auto patch = MakeMergePatch(before, after);
  RC_ASSERT(patch.has_value());
  RC_ASSERT(before.MergedWith(*patch).ToText() == after.ToText());
}

RC_GTEST_PROP(JsonDocumentPropertyTest, PatchIsCorrectOrAbsent, ()) {
  const JsonDocument before = RandomObject(0.5);
  const JsonDocument after = RandomObject(0.5);
  const auto patch = MakeMergePatch(before, after);
  RC_PRE(patch.has_value());
  RC_ASSERT(before.MergedWith(*patch).ToText() == after.ToText());
}

TEST(JsonReaderTest, ReadsIntegerArraysAndReportsOtherElements) {
  Findings findings;
  const auto document = JsonDocument::Parse(
      "test", R"({"a":[7620,-1],"b":[1,"2",1.5]})", findings);
  ASSERT_TRUE(document);
  JsonObject root = JsonObject::Root(*document, findings);
  EXPECT_EQ(root.ReadIntegers("a"), (std::vector<int64_t>{7620, -1}));
  EXPECT_TRUE(findings.IsEmpty());
  EXPECT_EQ(root.ReadIntegers("b"), std::vector<int64_t>{1});
  EXPECT_EQ(findings.Items().size(), 2U);
}

}  // namespace
}  // namespace sequoiastage
