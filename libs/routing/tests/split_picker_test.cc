#include "sequoiastage/routing/split_picker.h"

#include <gtest/gtest.h>

#include <cmath>

namespace sequoiastage {
namespace {

TEST(SplitPickerTest, MatchesWeights) {
  std::mt19937_64 random(1);
  SplitPicker picker({90, 10}, random);
  size_t second = 0;
  for (int i = 0; i < 1000; ++i) {
    second += picker.Pick();
  }
  EXPECT_NEAR(static_cast<double>(second), 100, 2);
}

TEST(SplitPickerTest, ManyNodesWithFewRequestsMatchWeightsInTotal) {
  std::mt19937_64 random(1);
  size_t second = 0;
  constexpr int kNodes = 480;
  for (int node = 0; node < kNodes; ++node) {
    SplitPicker picker({70, 30}, random);
    second += picker.Pick();
    second += picker.Pick();
  }
  EXPECT_NEAR(static_cast<double>(second) / (2 * kNodes), 0.3, 0.05);
}

TEST(SplitPickerTest, NeverPicksAVariantWithoutWeight) {
  std::mt19937_64 random(1);
  SplitPicker picker({0, 1}, random);
  for (int i = 0; i < 100; ++i) {
    EXPECT_EQ(picker.Pick(), 1U);
  }
}

}  // namespace
}  // namespace sequoiastage
