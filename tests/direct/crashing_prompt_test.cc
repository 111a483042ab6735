#include <gtest/gtest.h>

#include "tests/direct/prompt_fleet.h"

namespace radishrudder::direct {
namespace {

using std::chrono::milliseconds;

// Limits of the users' rules for prompt parts that crash endpoints.
constexpr milliseconds kSettlingTime{3000};
constexpr std::size_t kCrashesOfParts = 5;
constexpr std::uint64_t kMaximumLateArrivals = 3;
constexpr double kMinimumServedShare = 0.5;

struct FleetCase {
  const char* name;
  PromptLoad load;
};

class CrashingPromptTest : public testing::TestWithParam<FleetCase> {};

// Guards against endpoints crashing one after the other (BUDGET on adunni-fit,
// 94 of them): requests with one part in their prompts crash each endpoint that
// begins to answer them, and every entry kept sending them.
TEST_P(CrashingPromptTest, PartIsBlockedAfterFewCrashes) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    PromptFleet fleet(GetParam().load, seed);
    fleet.Run();
    EXPECT_LE(fleet.LateCrashingArrivals(kCrashesOfParts, kSettlingTime),
              kMaximumLateArrivals * GetParam().load.crashing_parts)
        << "seed " << seed << ", " << fleet.Crashes() << " crashes";
    const PromptCounts before =
        fleet.Sound(milliseconds(2000), milliseconds(9000));
    const PromptCounts after =
        fleet.Sound(milliseconds(24000), milliseconds(38000));
    const auto share = [](const PromptCounts& counts) {
      return static_cast<double>(counts.answered) /
             static_cast<double>(counts.offered);
    };
    EXPECT_GE(share(after), kMinimumServedShare * share(before))
        << "seed " << seed;
  }
}

INSTANTIATE_TEST_SUITE_P(
    All,
    CrashingPromptTest,
    testing::Values(
        FleetCase{"FourEntries", {}},
        FleetCase{"OneEntry", {.entries = 1}},
        FleetCase{"ManyEntries",
                  {.entries = 16,
                   .endpoints = 60,
                   .sound_per_second = 250,
                   .crashing_per_second = 6}},
        FleetCase{"FewRequests", {.crashing_per_second = 1}},
        FleetCase{"LongerThanTheFirstBlock",
                  {.crashing_per_second = 1, .duration = milliseconds(90000)}},
        FleetCase{"FasterAndLongerThanTheFirstBlock",
                  {.crashing_per_second = 5, .duration = milliseconds(90000)}},
        FleetCase{"TwoParts", {.crashing_per_second = 4, .crashing_parts = 2}},
        FleetCase{"EndpointsAlsoEndTogether",
                  {.all_endpoints_end = milliseconds(9500)}}),
    [](const auto& test) { return test.param.name; });

}  // namespace
}  // namespace radishrudder::direct
