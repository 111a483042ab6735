#include "radishrudder/routing/latency_estimate.h"

#include <gtest/gtest.h>

#include "tests/routing/routing_fixtures.h"

namespace radishrudder::routing {
namespace {

constexpr double kTypicalSeconds = 0.5;

TEST(LatencyEstimateTest, ReturnsTypicalLatencyWithoutSamples) {
  EXPECT_EQ(LatencyEstimate().Seconds(At(0), kTypicalSeconds), kTypicalSeconds);
}

TEST(LatencyEstimateTest, SmoothsSamples) {
  LatencyEstimate estimate;
  estimate.OnSample(At(0), std::chrono::milliseconds(100));
  estimate.OnSample(At(0), std::chrono::milliseconds(600));
  EXPECT_NEAR(estimate.Seconds(At(0), kTypicalSeconds), 0.2, 0.001);
}

TEST(LatencyEstimateTest, DecaysToTypicalLatencyWithoutNewSamples) {
  LatencyEstimate slow;
  slow.OnSample(At(0), std::chrono::seconds(30));
  EXPECT_NEAR(slow.Seconds(At(60'000), kTypicalSeconds), 0.5, 0.01);
  LatencyEstimate fast;
  fast.OnSample(At(0), std::chrono::milliseconds(1));
  EXPECT_NEAR(fast.Seconds(At(60'000), kTypicalSeconds), 0.5, 0.01);
}

}  // namespace
}  // namespace radishrudder::routing
