#include "radishrudder/routing/engine_model.h"

#include <cmath>
#include <limits>
#include <string>

#include <gtest/gtest.h>

namespace radishrudder::routing {
namespace {

// The figures that the page docs/design/limited-capacity.md gives.
EngineFigures PublishedFigures() {
  return {.slots = 12,
          .step_ms = 8.87,
          .step_ms_per_call = 0.0388,
          .step_ms_per_1k_context = 0.0227,
          .prompt_tokens_per_s = 19'100,
          .prompt_ms_per_million_pairs = 1.47,
          .prompt_tokens_per_step = 2'048,
          .tokens_per_event = 5,
          .mean_prompt_tokens = 979,
          .mean_answer_tokens = 92};
}

// Guards against a pass that differs from the published formula.
struct PassCase {
  const char* name;
  double generating;
  double context_tokens;
  double prompt_tokens;
  double earlier_tokens;
  double expected_ms;
};

class PassSecondsTest : public testing::TestWithParam<PassCase> {};

TEST_P(PassSecondsTest, FollowsTheFormula) {
  const PassCase& test = GetParam();
  EXPECT_NEAR(
      PassSeconds(PublishedFigures(), test.generating, test.context_tokens,
                  test.prompt_tokens, test.earlier_tokens) *
          1'000,
      test.expected_ms, 1e-6);
}

INSTANTIATE_TEST_SUITE_P(
    Passes,
    PassSecondsTest,
    testing::Values(PassCase{"Idle", 0, 0, 0, 0, 0},
                    PassCase{"Generate", 1, 0, 0, 0, 5 * (8.87 + 0.0388)},
                    PassCase{"FullBatch", 12, 12'000, 0, 0,
                             5 * (8.87 + 12 * 0.0388 + 12 * 0.0227)},
                    PassCase{"Read", 0, 0, 2'000, 0, 2'000 / 19.1 + 2 * 1.47},
                    PassCase{"ReadAfterAChunk", 0, 0, 1'000, 2'048,
                             1'000 / 19.1 + 1'000 * (2'048 + 500) / 1e6 * 1.47},
                    PassCase{
                        "GenerateAndRead", 1, 0, 1'910, 0,
                        5 * (8.87 + 0.0388) + 100 + 1'910 * 955 / 1e6 * 1.47}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(PredictTest, IdleEndpointReadsThePromptAndGeneratesOnePass) {
  const EngineFigures figures = PublishedFigures();
  const Prediction prediction = Predict(figures, {}, {1'000, 50, 80});
  const double expected = PassSeconds(figures, 0, 0, 1'000, 0) +
                          PassSeconds(figures, 1, 1'000, 0, 0);
  EXPECT_NEAR(prediction.first_event_s, expected, 1e-9);
  EXPECT_GT(prediction.end_s, prediction.first_event_s + 9 * 0.0445);
  EXPECT_LT(prediction.end_s, prediction.first_event_s + 9 * 0.06);
}

// Guards against a prediction that does not rise with what it should rise with.
struct GrowthCase {
  const char* name;
  EndpointWork less;
  EndpointWork more;
  CallCost less_cost{1'000, 50, 80};
  CallCost more_cost{1'000, 50, 80};
};

class PredictGrowthTest : public testing::TestWithParam<GrowthCase> {};

TEST_P(PredictGrowthTest, TakesLonger) {
  const GrowthCase& test = GetParam();
  const EngineFigures figures = PublishedFigures();
  const Prediction less = Predict(figures, test.less, test.less_cost);
  const Prediction more = Predict(figures, test.more, test.more_cost);
  EXPECT_GT(more.first_event_s, less.first_event_s);
  EXPECT_GT(more.end_s, less.end_s);
}

INSTANTIATE_TEST_SUITE_P(
    Work,
    PredictGrowthTest,
    testing::Values(
        GrowthCase{"Running", {.running = 1}, {.running = 8}},
        GrowthCase{"FullBatch", {.running = 11}, {.running = 12}},
        GrowthCase{"Queue",
                   {.running = 12, .waiting = 1},
                   {.running = 12, .waiting = 4}},
        GrowthCase{"Pace",
                   {.running = 4, .pace = 1},
                   {.running = 4, .pace = 2.5}},
        GrowthCase{"OwnUnreadPrompt",
                   {.running = 4},
                   {.running = 4,
                    .own_calls = 1,
                    .own_unread_prompt_tokens = 5'000,
                    .own_remaining_answer_tokens = 92}},
        GrowthCase{
            "OwnLongAnswersInAFullBatch",
            {.running = 12, .own_calls = 6, .own_remaining_answer_tokens = 100},
            {.running = 12,
             .own_calls = 6,
             .own_remaining_answer_tokens = 5'000}},
        GrowthCase{"Prompt", {}, {}, {1'000, 50, 80}, {9'000, 50, 80}}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(PredictTest, ScalesWithThePace) {
  const EngineFigures figures = PublishedFigures();
  const CallCost cost{1'000, 50, 80};
  const Prediction usual =
      Predict(figures, {.running = 12, .waiting = 2}, cost);
  const Prediction slow =
      Predict(figures, {.running = 12, .waiting = 2, .pace = 2.5}, cost);
  EXPECT_NEAR(slow.first_event_s, 2.5 * usual.first_event_s, 1e-9);
  EXPECT_NEAR(slow.pause_s, 2.5 * usual.pause_s, 1e-9);
  EXPECT_NEAR(slow.end_s, 2.5 * usual.end_s, 1e-9);
}

// Guards against figures that make a prediction unusable in a comparison.
class PredictAbsurdTest : public testing::TestWithParam<double> {};

TEST_P(PredictAbsurdTest, StaysFinite) {
  const double absurd = GetParam();
  const EndpointWork work{absurd, absurd, absurd, absurd,
                          absurd, absurd, absurd, absurd};
  for (const EngineFigures& figures : {PublishedFigures(), EngineFigures()}) {
    const Prediction prediction =
        Predict(figures, work, {absurd, absurd, absurd});
    for (const double seconds :
         {prediction.first_event_s, prediction.pause_s, prediction.end_s}) {
      EXPECT_TRUE(std::isfinite(seconds));
      EXPECT_GE(seconds, 0);
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
    Values,
    PredictAbsurdTest,
    testing::Values(-1.0,
                    0.0,
                    1e300,
                    std::numeric_limits<double>::infinity(),
                    std::numeric_limits<double>::quiet_NaN()));

}  // namespace
}  // namespace radishrudder::routing
