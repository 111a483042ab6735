// Who is served when capacity is short, with several entries.
#include <gtest/gtest.h>

#include <array>
#include <iostream>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "tests/direct/shortage_fleet.h"

namespace radishrudder::direct {
namespace {

// Bounds of docs/design/limited-capacity.md, part 6.
constexpr double kUrgentInTarget = 0.95;
constexpr double kGoodput = 0.95;
constexpr double kFloor = 0.25;
constexpr std::uint64_t kSeeds = 3;
// Difference between ranks that counts as noise.
constexpr double kOrderMargin = 0.02;

// The four tests of a load share its runs.
const Result& ResultOf(const ShortageCase& load) {
  static std::map<std::pair<std::string, std::size_t>, Result> results;
  const auto key = std::pair(load.name, load.entries);
  const auto found = results.find(key);
  if (found != results.end()) {
    return found->second;
  }
  Result& result = results[key];
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    result += ShortageFleet(load, seed).Run();
  }
  std::cout << load.name << ", entries " << load.entries << ": "
            << result.Describe() << "\n";
  return result;
}

class RankedShortageTest : public testing::TestWithParam<ShortageCase> {};

// Guards against calls that are answered twice or never.
TEST_P(RankedShortageTest, EachCallIsAnsweredOnce) {
  const Result& result = ResultOf(GetParam());
  EXPECT_EQ(result.unanswered, 0U);
  EXPECT_EQ(result.answered_twice, 0U);
}

// Guards against urgent calls that are late or refused while others are served.
TEST_P(RankedShortageTest, LowerRanksLoseFirst) {
  const Result& result = ResultOf(GetParam());
  if (GetParam().urgent_fits) {
    EXPECT_GE(result.ranks[0].Good(), kUrgentInTarget) << result.Describe();
  }
  EXPECT_GE(result.ranks[0].Good() + kOrderMargin, result.ranks[1].Good())
      << result.Describe();
  EXPECT_GE(result.ranks[1].Good() + kOrderMargin, result.ranks[2].Good())
      << result.Describe();
}

// Guards against a rank, a size or a workspace that is not served at all.
TEST_P(RankedShortageTest, NothingStarves) {
  const Result& result = ResultOf(GetParam());
  const double floor = kFloor * result.all.Served();
  for (const Share& rank : result.ranks) {
    EXPECT_GE(rank.Served(), floor) << result.Describe();
  }
  for (const Share& workspace : result.workspaces) {
    EXPECT_GE(workspace.Served(), floor) << result.Describe();
  }
  EXPECT_GE(result.largest.Served(), floor) << result.Describe();
}

// Guards against work that is done for calls which are late nevertheless.
TEST_P(RankedShortageTest, GoodputIsKept) {
  ShortageCase at_capacity{.name = "AtCapacity"};
  at_capacity.entries = GetParam().entries;
  const double left = GetParam().endpoints_lost ? 2.0 / 3 : 1;
  const Result& result = ResultOf(GetParam());
  // Callers who leave take work with them.
  EXPECT_GE(result.goodput, kGoodput * left * (1 - GetParam().leaving_share) *
                                ResultOf(at_capacity).goodput)
      << result.Describe();
}

std::vector<ShortageCase> Cases() {
  std::vector<ShortageCase> cases;
  for (const std::size_t entries : {4, 16}) {
    const std::array loads{
        ShortageCase{.name = "LeastUrgentBurst", .load = {0.3, 0.3, 0.9}},
        ShortageCase{.name = "MostUrgentBurst",
                     .load = {1.0, 0.2, 0.3},
                     .urgent_fits = false},
        ShortageCase{.name = "OneDataCentre",
                     .load = {0.4, 0.4, 0.7},
                     .one_data_centre = true},
        ShortageCase{.name = "ThirdOfEndpointsLost", .endpoints_lost = true},
        ShortageCase{.name = "RefusedCallersReturn",
                     .load = {0.3, 0.3, 0.9},
                     .callers_return = true},
        ShortageCase{.name = "LargeAmongSmall",
                     .load = {0.3, 0.3, 0.9},
                     .large_share = 0.1},
        ShortageCase{.name = "OneWorkspaceSendsMost",
                     .load = {0.3, 0.3, 0.9},
                     .first_workspace_share = 0.7},
        ShortageCase{.name = "CallersLeaveEarly",
                     .load = {0.3, 0.3, 0.9},
                     .leaving_share = 0.3}};
    for (ShortageCase load : loads) {
      load.entries = entries;
      cases.push_back(load);
    }
  }
  return cases;
}

INSTANTIATE_TEST_SUITE_P(All,
                         RankedShortageTest,
                         testing::ValuesIn(Cases()),
                         [](const auto& test) {
                           return test.param.name + "Entries" +
                                  std::to_string(test.param.entries);
                         });

}  // namespace
}  // namespace radishrudder::direct
