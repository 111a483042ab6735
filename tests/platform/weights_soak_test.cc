// Tests that agents, as separate processes, bring the declared weights to
// endpoints whose accesses take time and that fail.
#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>
#include <ostream>
#include <string>

#include "tests/platform/weights_fleet.h"

namespace radishrudder::platform {
namespace {

struct SoakCase {
  const char* name;
  AccessFaults accesses{};
  FaultIntervals intervals{};
};

std::ostream& operator<<(std::ostream& out, const SoakCase& soak_case) {
  return out << soak_case.name;
}

constexpr AccessFaults kAccesses{.slow = 0.1, .slow_orders = 0.5, .lost = 0.01};

constexpr SoakCase kCases[] = {
    {.name = "SlowAccesses", .accesses = kAccesses},
    {.name = "EndpointFaults",
     .accesses = kAccesses,
     .intervals =
         {.crash = 5, .power_loss = 12, .freeze = 15, .corruption = 8}},
    {.name = "AgentFaults",
     .accesses = kAccesses,
     .intervals = {.crash = 8,
                   .power_loss = 20,
                   .freeze = 20,
                   .corruption = 15,
                   .agent_pause = 10,
                   .agent_kill = 15}},
};

// Returns a number of the environment.
std::uint64_t EnvironmentNumber(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text != nullptr ? std::stoull(text) : fallback;
}

class WeightsSoakTest : public testing::TestWithParam<SoakCase> {};

// Guards against an order that an endpoint accepts while a staged piece is
// missing, corrupted or of another version, and against agents that do not
// recover: late accesses overtake each other, processes of agents and endpoints
// end, pause and start again while accesses are on their way. docs/CONTRIBUTING
// describes longer runs.
TEST_P(WeightsSoakTest, LoadsOnlyCompleteVersionsAndReachesTheNewest) {
  const std::uint64_t first = EnvironmentNumber("RADISHRUDDER_SOAK_SEED", 3);
  const std::uint64_t seeds = EnvironmentNumber("RADISHRUDDER_SOAK_SEEDS", 1);
  const char* logs = std::getenv("RADISHRUDDER_SOAK_LOGS");
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    WeightsFleet fleet(
        {.agents = EnvironmentNumber("RADISHRUDDER_SOAK_AGENTS", 24),
         .seed = seed,
         .fault_time = std::chrono::seconds(
             EnvironmentNumber("RADISHRUDDER_SOAK_SECONDS", 8)),
         .accesses = GetParam().accesses,
         .intervals = GetParam().intervals,
         .log_directory = logs != nullptr ? logs : ""});
    const WeightsFleetResult result = fleet.Run();
    std::cout << "seed " << seed << ": " << result.versions << " versions, "
              << result.faults << " faults, " << result.loads << " loads, "
              << result.wrong_loads.size() << " wrong loads, "
              << result.other_findings.size() << " other findings" << std::endl;
    EXPECT_GT(result.loads, 0U) << "seed " << seed;
    for (const std::string& wrong : result.wrong_loads) {
      ADD_FAILURE() << "seed " << seed << ", " << wrong;
    }
    for (const std::string& finding : result.other_findings) {
      ADD_FAILURE() << "seed " << seed << ", " << finding;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Platform,
                         WeightsSoakTest,
                         testing::ValuesIn(kCases),
                         [](const testing::TestParamInfo<SoakCase>& info) {
                           return std::string(info.param.name);
                         });

}  // namespace
}  // namespace radishrudder::platform
