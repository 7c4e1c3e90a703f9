#include "sequoiastage/mesh/recent_set.h"

#include <gtest/gtest.h>

namespace sequoiastage {
namespace {

TEST(RecentSetTest, KeepsTheValuesAddedLast) {
  RecentSet<int, 2> values;
  values.Add(1);
  values.Add(2);
  values.Add(1);
  values.Add(3);
  EXPECT_TRUE(values.Contains(1));
  EXPECT_FALSE(values.Contains(2));
  EXPECT_TRUE(values.Contains(3));
}

}  // namespace
}  // namespace sequoiastage
