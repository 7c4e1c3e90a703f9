#include "sequoiastage/logging/log_event.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace sequoiastage {
namespace {

TEST(QuoteLogValueTest, QuotesOnlyWhenNecessary) {
  EXPECT_EQ(QuoteLogValue("127.0.0.1:80"), "127.0.0.1:80");
  EXPECT_EQ(QuoteLogValue(""), "\"\"");
  EXPECT_EQ(QuoteLogValue("a b"), "\"a b\"");
  EXPECT_EQ(QuoteLogValue("say \"x\"\n"), "\"say \\\"x\\\"\\x0a\"");
}

RC_GTEST_PROP(QuoteLogValueTest, StaysOnOneLine, (const std::string& text)) {
  const std::string quoted = QuoteLogValue(text);
  RC_ASSERT(std::none_of(quoted.begin(), quoted.end(),
                         [](char c) { return c == '\n' || c == '\r'; }));
}

}  // namespace
}  // namespace sequoiastage
