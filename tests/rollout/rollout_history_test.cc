#include <ostream>

#include <gtest/gtest.h>

#include "fleet.h"

namespace radishrudder::rollout {
namespace {

constexpr std::uint64_t kSeeds = 1000;
constexpr int kStartSteps = 60;
constexpr int kEnoughSteps = 4000;
constexpr std::size_t kAgents = 8;

// Runs a first load, then several versions in quick succession, the last but
// one a rollback.
void RunChanges(Fleet& fleet) {
  fleet.Publish("v1");
  fleet.Run(kStartSteps);
  fleet.Publish("v2");
  fleet.Run(25);
  fleet.Publish("v3");
  fleet.Run(15);
  fleet.Publish("v1");
  fleet.Run(25);
  fleet.Publish("v4");
  fleet.Run(60);
}

struct HistoryCase {
  const char* name;
  FleetSettings settings;
};

void PrintTo(const HistoryCase& history, std::ostream* out) {
  *out << history.name;
}

class RolloutHistoryTest : public testing::TestWithParam<HistoryCase> {};

TEST_P(RolloutHistoryTest, FloorHoldsUnderAnyOldView) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    FleetSettings settings = GetParam().settings;
    settings.seed = seed;
    Fleet fleet(settings);
    RunChanges(fleet);
    ASSERT_EQ(fleet.Broken(), 0)
        << "seed " << seed << ": " << fleet.BrokenRules().front();
  }
}

TEST_P(RolloutHistoryTest, EveryInstanceReachesTheLastRevision) {
  for (std::uint64_t seed = 1; seed <= kSeeds / 50; ++seed) {
    FleetSettings settings = GetParam().settings;
    settings.seed = seed;
    Fleet fleet(settings);
    RunChanges(fleet);
    int steps = 0;
    while (fleet.ReadyWithLast() < settings.agents && steps < kEnoughSteps) {
      fleet.Run(1);
      ++steps;
    }
    ASSERT_EQ(fleet.ReadyWithLast(), settings.agents)
        << "seed " << seed << ": " << fleet.Explain(0);
  }
}

INSTANTIATE_TEST_SUITE_P(
    All,
    RolloutHistoryTest,
    testing::Values(
        HistoryCase{"RandomDelivery", {.hear = 0.3}},
        HistoryCase{"SlowDelivery", {.hear = 0.02}},
        HistoryCase{"Pauses", {.pause = 0.02}},
        HistoryCase{"Partitions", {.partition = 0.02}},
        HistoryCase{"AgentRestarts", {.restart = 0.005}},
        HistoryCase{"AgentRestartsEnginesIgnoreFences",
                    {.restart = 0.005, .engines_refuse_old_fences = false}},
        HistoryCase{"All",
                    {.pause = 0.01, .restart = 0.002, .partition = 0.01}}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(RolloutVariantTest, WithoutAcceptedRevisionsTheFloorBreaks) {
  int broken = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Fleet fleet({.seed = seed, .ignore_accepted = true});
    RunChanges(fleet);
    broken += fleet.Broken() != 0 ? 1 : 0;
  }
  EXPECT_GT(broken, 0);
}

// Brings a fleet to "v1" and publishes "v2".
void StartChange(Fleet& fleet) {
  fleet.Publish("v1");
  fleet.Run(kStartSteps);
  fleet.Publish("v2");
}

TEST(RolloutFaultTest, OneDeadInstanceDoesNotStopTheOthers) {
  Fleet fleet({.seed = 3});
  StartChange(fleet);
  fleet.Kill(2);
  fleet.Run(kEnoughSteps);
  EXPECT_EQ(fleet.ReadyWithLast(), kAgents - 1);
  EXPECT_EQ(fleet.Broken(), 0);
}

TEST(RolloutFaultTest, DeadInstancesAtTheFloorWaitForTheList) {
  Fleet fleet({.seed = 4});
  StartChange(fleet);
  fleet.Kill(2);
  fleet.Kill(5);
  fleet.Run(kEnoughSteps);
  EXPECT_EQ(fleet.ReadyWithLast(), 0U);
  EXPECT_NE(fleet.Explain(0).find("a2 (dead but still listed)"),
            std::string::npos)
      << fleet.Explain(0);
  fleet.Delist(2);
  fleet.Delist(5);
  fleet.Run(kEnoughSteps);
  EXPECT_EQ(fleet.ReadyWithLast(), kAgents - 2);
}

TEST(RolloutFaultTest, PartitionedHalvesKeepTheCommonFloorAndFinishAfter) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    Fleet fleet({.seed = seed});
    StartChange(fleet);
    fleet.Cut(kAgents / 2);
    fleet.Run(400);
    ASSERT_EQ(fleet.Broken(), 0) << seed;
    fleet.Cut(0);
    fleet.Run(kEnoughSteps);
    ASSERT_EQ(fleet.ReadyWithLast(), kAgents) << seed;
    ASSERT_EQ(fleet.Broken(), 0) << seed;
  }
}

TEST(RolloutFaultTest, RestartedEngineIsLoadedAgainWithoutATurn) {
  Fleet fleet({.seed = 5, .engine_restart = 0.01});
  StartChange(fleet);
  fleet.Run(400);
  EXPECT_GT(fleet.Orders(), 2 * kAgents);
}

}  // namespace
}  // namespace radishrudder::rollout
