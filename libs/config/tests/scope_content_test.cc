#include "sequoiastage/config/scope_content.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sequoiastage {
namespace {

JsonDocument ParseDocument(const std::string& text) {
  Findings findings;
  return JsonDocument::Parse("test", text, findings).value();
}

// Returns the text of an object of at most `depth` + 1 levels, with keys that
// need escaping.
std::string GenerateObjectText(int depth) {
  std::string text = "{";
  for (const char* key : {"a", "b/~", R"(\"\n\u0001)", "\xc3\xa9"}) {
    const int kind = *rc::gen::inRange(0, depth == 0 ? 6 : 9);
    if (kind == 0) {
      continue;
    }
    const char* const values[] = {"null", "1", "2.0", "[1,null,{}]",
                                  R"("\"\\x")"};
    text.append(text.size() > 1 ? ",\"" : "\"").append(key).append("\":");
    text.append(kind < 6 ? values[kind - 1] : GenerateObjectText(depth - 1));
  }
  return text + "}";
}

RC_GTEST_PROP(ScopeContentTest, MatchesAJsonDocument, ()) {
  JsonDocument document = ParseDocument(GenerateObjectText(3));
  ScopeContent content(document);
  const int patches = *rc::gen::inRange(0, 6);
  for (int i = 0; i < patches; ++i) {
    const JsonDocument patch = ParseDocument(GenerateObjectText(3));
    document.Merge(patch);
    content.Merge(patch);
  }
  RC_ASSERT(content.ToText() == document.ToText());
  RC_ASSERT(content.TextBytes() == document.ToText().size());
  RC_ASSERT(content.ToDocument("test").ToText() == document.ToText());
  RC_ASSERT(content.IsEmptyObject() == document.IsEmptyObject());
  RC_ASSERT(content == ScopeContent(document));
}

TEST(ScopeContentTest, SelectsMembersBySection) {
  const ScopeContent content(ParseDocument(
      R"({"a": {"x": 1, "y": {"z": 2}}, "b": null, "c": {"x": 1}})"));
  const MemberNames names = {{"a", {"w", "y"}}, {"b", {"x"}}, {"d", {"x"}}};
  EXPECT_EQ(content.Select("test", names).ToText(),
            R"({"a":{"y":{"z":2}},"b":null})");
  EXPECT_FALSE(content.AreObjects(names));
  EXPECT_TRUE(content.AreObjects({{"a", {}}, {"c", {}}, {"d", {}}}));
}

}  // namespace
}  // namespace sequoiastage
