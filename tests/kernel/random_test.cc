#include "radishrudder/kernel/random.h"

#include <gtest/gtest.h>

namespace radishrudder::kernel {
namespace {

TEST(RandomTest, SameSeedProducesSameSequence) {
  Random first(7);
  Random second(7);
  for (int i = 0; i < 100; ++i) {
    EXPECT_EQ(first.Next(), second.Next());
  }
}

TEST(RandomTest, BelowReturnsAllValuesUnderBound) {
  Random random(1);
  bool seen[5] = {};
  for (int i = 0; i < 1000; ++i) {
    const std::uint64_t value = random.Below(5);
    ASSERT_LT(value, 5U);
    seen[value] = true;
  }
  for (const bool reached : seen) {
    EXPECT_TRUE(reached);
  }
}

TEST(RandomTest, UniformIsInRangeWithMeanOneHalf) {
  Random random(2);
  double sum = 0;
  for (int i = 0; i < 10'000; ++i) {
    const double value = random.Uniform();
    ASSERT_GE(value, 0);
    ASSERT_LT(value, 1);
    sum += value;
  }
  EXPECT_NEAR(sum / 10'000, 0.5, 0.02);
}

}  // namespace
}  // namespace radishrudder::kernel
