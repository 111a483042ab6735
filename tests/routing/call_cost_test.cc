#include "radishrudder/routing/call_cost.h"

#include <cmath>
#include <limits>
#include <string>

#include <gtest/gtest.h>

namespace radishrudder::routing {
namespace {

// Learns `count` complete answers of the same length.
void Learn(CallCosts& costs,
           const CallFeatures& features,
           double answer_tokens,
           int count) {
  for (int i = 0; i < count; ++i) {
    costs.OnEnded(features, answer_tokens, true);
  }
}

// Guards against a basis other than the most exact one that the call states.
struct BasisCase {
  const char* name;
  CallFeatures learned;
  double actual;
  CallFeatures estimated;
  double expected;
};

class CallCostsBasisTest : public testing::TestWithParam<BasisCase> {};

TEST_P(CallCostsBasisTest, ScalesWhatItLearned) {
  const BasisCase& test = GetParam();
  CallCosts costs;
  Learn(costs, test.learned, test.actual, 1'000);
  const CallCost cost = costs.Estimate(test.estimated);
  EXPECT_NEAR(cost.answer_tokens, test.expected, test.expected * 0.15);
  EXPECT_GE(cost.answer_tokens_high, cost.answer_tokens);
}

INSTANTIATE_TEST_SUITE_P(
    Bases,
    CallCostsBasisTest,
    testing::Values(BasisCase{"Estimate",
                              {"r", "w", 10, 1'000, 100},
                              200,
                              {"r", "w", 10, 1'000, 50},
                              100},
                    BasisCase{"Maximum",
                              {"r", "w", 10, 1'000},
                              250,
                              {"r", "w", 10, 400},
                              100},
                    BasisCase{"Nothing", {"r", "w"}, 300, {"r", "w"}, 300},
                    BasisCase{"OtherWorkspaceOfTheRoute",
                              {"r", "w", 10, 0, 100},
                              200,
                              {"r", "new", 10, 0, 50},
                              100},
                    BasisCase{"OtherRoute",
                              {"r", "w", 10, 0, 100},
                              200,
                              {"new", "new", 10, 0, 50},
                              100}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(CallCostsTest, EstimateIsCorrectAtTheMedianBeforeAnyCall) {
  const CallCost cost = CallCosts().Estimate({"r", "w", 700, 0, 100});
  EXPECT_EQ(cost.prompt_tokens, 700);
  EXPECT_GT(cost.answer_tokens, 90);
  EXPECT_LT(cost.answer_tokens, 150);
}

// Guards against one distribution for workspaces that differ.
TEST(CallCostsTest, KeepsWorkspacesApart) {
  CallCosts costs;
  Learn(costs, {"r", "short", 0, 0, 100}, 50, 300);
  Learn(costs, {"r", "long", 0, 0, 100}, 400, 300);
  EXPECT_LT(costs.Estimate({"r", "short", 0, 0, 100}).answer_tokens, 65);
  EXPECT_GT(costs.Estimate({"r", "long", 0, 0, 100}).answer_tokens, 340);
}

TEST(CallCostsTest, ForgetsOldAnswers) {
  CallCosts costs;
  Learn(costs, {"r", "w", 0, 0, 100}, 1'000, 1'000);
  Learn(costs, {"r", "w", 0, 0, 100}, 100, 1'500);
  EXPECT_NEAR(costs.Estimate({"r", "w", 0, 0, 100}).answer_tokens, 100, 20);
}

// Guards against figures from a caller that make an estimate unusable.
class CallCostsAbsurdTest : public testing::TestWithParam<double> {};

TEST_P(CallCostsAbsurdTest, CountsAsNotStated) {
  const double absurd = GetParam();
  CallCosts costs;
  const CallFeatures features{"r", "w", absurd, absurd, absurd};
  costs.OnEnded(features, absurd, true);
  costs.OnEnded(features, absurd, false);
  EXPECT_EQ(costs.Size(), 0U);
  const CallCost cost = costs.Estimate(features);
  const CallCost unstated = costs.Estimate({"r", "w"});
  EXPECT_EQ(cost.answer_tokens, unstated.answer_tokens);
  EXPECT_EQ(cost.prompt_tokens, unstated.prompt_tokens);
  EXPECT_TRUE(std::isfinite(cost.answer_tokens_high));
}

INSTANTIATE_TEST_SUITE_P(
    Values,
    CallCostsAbsurdTest,
    testing::Values(0.0,
                    -5.0,
                    1e12,
                    std::numeric_limits<double>::infinity(),
                    std::numeric_limits<double>::quiet_NaN()));

TEST(CallCostsTest, NeverExceedsTheStatedMaximum) {
  CallCosts costs;
  const CallFeatures features{"r", "w", 10, 50, 1'000'000};
  EXPECT_LE(costs.Estimate(features).answer_tokens_high, 50);
  Learn(costs, features, 50, 100);
  EXPECT_LE(costs.Estimate(features).answer_tokens_high, 50);
}

// Guards against a caller with false estimates who changes those of others.
TEST(CallCostsTest, FalseEstimatesOfOneWorkspaceDoNotChangeAnother) {
  CallCosts costs;
  Learn(costs, {"r", "honest", 0, 0, 100}, 100, 300);
  Learn(costs, {"r", "false", 0, 0, 1}, 5'000, 3'000);
  EXPECT_LT(costs.Estimate({"r", "honest", 0, 0, 100}).answer_tokens, 500);
}

TEST(CallCostsTest, AnswersThatWereCutOffCountOnlyAboveTheEstimate) {
  CallCosts costs;
  const CallFeatures features{"r", "w", 0, 0, 100};
  Learn(costs, features, 100, 100);
  const double before = costs.Estimate(features).answer_tokens;
  costs.OnEnded(features, 5, false);
  EXPECT_EQ(costs.Estimate(features).answer_tokens, before);
  costs.OnEnded(features, 900, false);
  EXPECT_GT(costs.Estimate(features).answer_tokens, before);
}

TEST(CallCostsTest, BoundsItsMemory) {
  CallCosts costs;
  for (int i = 0; i < 5'000; ++i) {
    const std::string workspace = std::to_string(i);
    costs.OnEnded({"r", workspace, 0, 0, 100}, 100, true);
    costs.OnEnded({"r", workspace}, 100, true);
  }
  EXPECT_LE(costs.Size(), 1'024U);
}

TEST(CallCostsTest, ReportsItsError) {
  CallCosts costs;
  EXPECT_EQ(costs.MedianError(), 0);
  const CallFeatures features{"r", "w", 0, 0, 100};
  for (int i = 0; i < 600; ++i) {
    costs.OnEnded(features, i % 5 == 0 ? 20 : 100, true);
  }
  EXPECT_LT(costs.MedianError(), 0.3);
  EXPECT_GT(costs.HighError(), 2);
}

TEST(CallTimesTest, LearnsByRoute) {
  CallTimes times;
  for (int i = 0; i < 100; ++i) {
    times.OnEnded("fast", 0.05);
    times.OnEnded("slow", i % 4 == 0 ? 4 : 2);
  }
  times.OnEnded("fast", -1);
  times.OnEnded("fast", std::numeric_limits<double>::quiet_NaN());
  EXPECT_NEAR(times.Estimate("fast").seconds, 0.05, 0.01);
  EXPECT_NEAR(times.Estimate("slow").seconds, 2.5, 0.4);
  EXPECT_NEAR(times.Estimate("slow").seconds_high, 4, 0.8);
  EXPECT_EQ(times.Estimate("unknown").seconds, 0);
}

}  // namespace
}  // namespace radishrudder::routing
