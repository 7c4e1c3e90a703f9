#include "sequoiastage/limits/response_sizes.h"

#include <gtest/gtest.h>

namespace sequoiastage {
namespace {

// Guards against a route of small responses that counts as heavy because room
// for a large one is reserved until its size is known.
TEST(ResponseSizesTest, UsualSizeIsTheAverage) {
  ResponseSizes sizes;
  EXPECT_FALSE(sizes.Usual("reads"));
  sizes.Observe("reads", 1500);
  EXPECT_NEAR(static_cast<double>(*sizes.Usual("reads")), 1500, 16);
  EXPECT_GT(sizes.Expected("reads"), ResponseSizes::kInitialBytes / 2);
  for (int i = 0; i < 200; ++i) {
    sizes.Observe("downloads", i % 2 == 0 ? 540'000 : 10'000);
  }
  EXPECT_NEAR(static_cast<double>(*sizes.Usual("downloads")), 275'000, 30'000);
}

// Guards against a single error text after which downloads count as light.
TEST(ResponseSizesTest, OneSmallResponseChangesTheUsualSizeLittle) {
  ResponseSizes sizes;
  sizes.Observe("downloads", 90'000);
  sizes.Observe("downloads", 10);
  EXPECT_GT(*sizes.Usual("downloads"), 80'000U);
}

}  // namespace
}  // namespace sequoiastage
