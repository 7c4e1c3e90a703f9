#include "sequoiastage/base/findings.h"

#include <gtest/gtest.h>

namespace sequoiastage {
namespace {

TEST(FindingsTest, PrintsEachFindingWithItsLocation) {
  Findings findings;
  findings.Add("a.json", "/listen/port", "is not a number");
  findings.Add("a.json", "", "is empty");
  EXPECT_EQ(findings.ToText(),
            "a.json: /listen/port: is not a number\na.json: is empty\n");
}

}  // namespace
}  // namespace sequoiastage
