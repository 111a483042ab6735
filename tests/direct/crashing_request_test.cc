#include <gtest/gtest.h>

#include "tests/direct/prompt_fleet.h"

namespace radishrudder::direct {
namespace {

using std::chrono::milliseconds;

// Limits of the users' rules for requests that crash endpoints.
constexpr std::size_t kCrashes = 3;
constexpr milliseconds kSettlingTime{3000};
constexpr std::uint64_t kMaximumLateArrivals = 3;
// Sound requests that are served once the crashing one is blocked.
constexpr double kMinimumServedShare = 0.9;

struct FleetCase {
  const char* name;
  PromptLoad load;
};

PromptLoad MakeLoad(const PromptLoad& load) {
  PromptLoad plain = load;
  plain.plain = true;
  plain.sound_per_second = 10 * static_cast<double>(load.endpoints);
  return plain;
}

class CrashingRequestTest : public testing::TestWithParam<FleetCase> {};

// Guards against BUDGET on adunni-fit: a request of a service without an engine
// crashes each endpoint that begins to run it and comes again, and every entry
// kept sending it, until all endpoints of the service were down.
TEST_P(CrashingRequestTest, RequestIsBlockedAfterFewCrashes) {
  const PromptLoad load = MakeLoad(GetParam().load);
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    PromptFleet fleet(load, seed);
    fleet.Run();
    EXPECT_GE(fleet.Crashes(), kCrashes);
    EXPECT_LE(fleet.LateCrashingArrivals(kCrashes * load.crashing_parts,
                                         kSettlingTime),
              kMaximumLateArrivals * load.crashing_parts)
        << "seed " << seed << ", " << fleet.Crashes() << " crashes";
    const PromptCounts after =
        fleet.Sound(milliseconds(26000), milliseconds(38000));
    EXPECT_GE(static_cast<double>(after.answered),
              kMinimumServedShare * static_cast<double>(after.offered))
        << "seed " << seed;
  }
}

INSTANTIATE_TEST_SUITE_P(
    All,
    CrashingRequestTest,
    testing::Values(
        FleetCase{"FourEntriesThreeEndpoints",
                  {.entries = 4, .endpoints = 3, .crashing_per_second = 1}},
        FleetCase{"OneEntry",
                  {.entries = 1, .endpoints = 3, .crashing_per_second = 1}},
        FleetCase{"Faster",
                  {.entries = 4, .endpoints = 3, .crashing_per_second = 3}},
        FleetCase{"Rarely",
                  {.entries = 4, .endpoints = 3, .crashing_per_second = 0.2}},
        FleetCase{"ManyEntries",
                  {.entries = 16, .endpoints = 24, .crashing_per_second = 4}},
        FleetCase{"NotRepeatable",
                  {.entries = 4,
                   .endpoints = 4,
                   .crashing_per_second = 2,
                   .repeatable = false}},
        FleetCase{"TwoRequests",
                  {.entries = 4,
                   .endpoints = 6,
                   .crashing_per_second = 2,
                   .crashing_parts = 2}},
        FleetCase{"LongerThanTheFirstBlock",
                  {.entries = 4,
                   .endpoints = 3,
                   .crashing_per_second = 2,
                   .duration = milliseconds(120000)}},
        FleetCase{"ManyEntriesLongerThanTheFirstBlock",
                  {.entries = 16,
                   .endpoints = 24,
                   .crashing_per_second = 4,
                   .duration = milliseconds(120000)}},
        FleetCase{
            "EntriesStartAnew",
            {.entries = 4,
             .endpoints = 4,
             .crashing_per_second = 2,
             .entry_restarts = {milliseconds(12000), milliseconds(16000),
                                milliseconds(20000), milliseconds(24000)}}},
        FleetCase{"RarelyAtAllEntriesAtOnce",
                  {.entries = 4,
                   .endpoints = 6,
                   .crashing_per_second = 0.2,
                   .crashing_at_all_entries = true}},
        FleetCase{"EndpointsAlsoEndTogether",
                  {.entries = 4,
                   .endpoints = 6,
                   .crashing_per_second = 2,
                   .all_endpoints_end = milliseconds(9500)}}),
    [](const auto& test) { return test.param.name; });

}  // namespace
}  // namespace radishrudder::direct
