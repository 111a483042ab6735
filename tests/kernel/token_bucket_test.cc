#include "radishrudder/kernel/token_bucket.h"

#include <gtest/gtest.h>

namespace radishrudder::kernel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(TokenBucketTest, StartsFullAndRefillsAtRate) {
  const Time start{};
  TokenBucket bucket(10, 5, start);
  EXPECT_TRUE(bucket.TryTake(start, 5));
  EXPECT_FALSE(bucket.TryTake(start, 1));
  EXPECT_EQ(bucket.TimeUntil(start, 1), milliseconds(100));
  EXPECT_TRUE(bucket.TryTake(start + milliseconds(100), 1));
}

TEST(TokenBucketTest, BalanceIsLimitedToBurst) {
  const Time start{};
  TokenBucket bucket(10, 5, start);
  EXPECT_DOUBLE_EQ(bucket.Available(start + seconds(60)), 5);
}

TEST(TokenBucketTest, DeficitDelaysLaterCallers) {
  const Time start{};
  TokenBucket bucket(10, 5, start);
  bucket.Take(start, 15);
  EXPECT_FALSE(bucket.TryTake(start + milliseconds(900), 0));
  EXPECT_TRUE(bucket.TryTake(start + milliseconds(1000), 0));
}

TEST(TokenBucketTest, EarlierTimeAddsNoTokens) {
  const Time start{seconds(10)};
  TokenBucket bucket(10, 5, start);
  EXPECT_TRUE(bucket.TryTake(start, 5));
  EXPECT_DOUBLE_EQ(bucket.Available(start - seconds(5)), 0);
}

}  // namespace
}  // namespace radishrudder::kernel
