#include <ostream>

#include <gtest/gtest.h>

#include "fleet.h"

namespace radishrudder::rollout {
namespace {

constexpr std::uint64_t kSeedCount = 1000;
constexpr int kStartSteps = 60;
constexpr int kMaximumSteps = 4000;
constexpr std::size_t kAgents = 8;

// Loads a first version, then publishes two more, a rollback to the first one,
// and another version in quick succession.
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

TEST_P(RolloutHistoryTest, KeepsTheReadyFloorWithStaleViews) {
  for (std::uint64_t seed = 1; seed <= kSeedCount; ++seed) {
    FleetSettings settings = GetParam().settings;
    settings.seed = seed;
    Fleet fleet(settings);
    RunChanges(fleet);
    ASSERT_EQ(fleet.ViolationCount(), 0)
        << "seed " << seed << ": " << fleet.Violations().front();
  }
}

TEST_P(RolloutHistoryTest, EveryInstanceReachesTheLatestRevision) {
  for (std::uint64_t seed = 1; seed <= kSeedCount / 50; ++seed) {
    FleetSettings settings = GetParam().settings;
    settings.seed = seed;
    Fleet fleet(settings);
    RunChanges(fleet);
    int steps = 0;
    while (fleet.ReadyWithLatest() < settings.agents && steps < kMaximumSteps) {
      fleet.Run(1);
      ++steps;
    }
    ASSERT_EQ(fleet.ReadyWithLatest(), settings.agents)
        << "seed " << seed << ": " << fleet.Explain(0);
  }
}

INSTANTIATE_TEST_SUITE_P(
    All,
    RolloutHistoryTest,
    testing::Values(HistoryCase{"RandomDelivery", {.update_chance = 0.3}},
                    HistoryCase{"SlowDelivery", {.update_chance = 0.02}},
                    HistoryCase{"Pauses", {.pause_chance = 0.02}},
                    HistoryCase{"Partitions", {.partition_chance = 0.02}},
                    HistoryCase{"AgentRestarts", {.restart_chance = 0.005}},
                    HistoryCase{"AgentRestartsEnginesIgnoreFences",
                                {.restart_chance = 0.005,
                                 .engines_refuse_old_fences = false}},
                    HistoryCase{"All",
                                {.pause_chance = 0.01,
                                 .restart_chance = 0.002,
                                 .partition_chance = 0.01}}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(RolloutVariantTest, IgnoringAcceptedRevisionsViolatesTheFloor) {
  int violating_runs = 0;
  for (std::uint64_t seed = 1; seed <= kSeedCount; ++seed) {
    Fleet fleet({.seed = seed, .ignore_accepted = true});
    RunChanges(fleet);
    violating_runs += fleet.ViolationCount() != 0 ? 1 : 0;
  }
  EXPECT_GT(violating_runs, 0);
}

// Runs a fleet until it serves "v1", then publishes "v2".
void StartChange(Fleet& fleet) {
  fleet.Publish("v1");
  fleet.Run(kStartSteps);
  fleet.Publish("v2");
}

TEST(RolloutFaultTest, OneDeadInstanceDoesNotBlockTheOthers) {
  Fleet fleet({.seed = 3});
  StartChange(fleet);
  fleet.Stop(2);
  fleet.Run(kMaximumSteps);
  EXPECT_EQ(fleet.ReadyWithLatest(), kAgents - 1);
  EXPECT_EQ(fleet.ViolationCount(), 0);
}

TEST(RolloutFaultTest, DeadInstancesAtTheFloorBlockUntilRemovedFromTheList) {
  Fleet fleet({.seed = 4});
  StartChange(fleet);
  fleet.Stop(2);
  fleet.Stop(5);
  fleet.Run(kMaximumSteps);
  EXPECT_EQ(fleet.ReadyWithLatest(), 0U);
  EXPECT_NE(fleet.Explain(0).find("a2 (dead but still listed)"),
            std::string::npos)
      << fleet.Explain(0);
  fleet.RemoveFromList(2);
  fleet.RemoveFromList(5);
  fleet.Run(kMaximumSteps);
  EXPECT_EQ(fleet.ReadyWithLatest(), kAgents - 2);
}

TEST(RolloutFaultTest, PartitionedHalvesKeepTheFloorAndFinishAfterwards) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    Fleet fleet({.seed = seed});
    StartChange(fleet);
    fleet.Partition(kAgents / 2);
    fleet.Run(400);
    ASSERT_EQ(fleet.ViolationCount(), 0) << seed;
    fleet.Partition(0);
    fleet.Run(kMaximumSteps);
    ASSERT_EQ(fleet.ReadyWithLatest(), kAgents) << seed;
    ASSERT_EQ(fleet.ViolationCount(), 0) << seed;
  }
}

TEST(RolloutFaultTest, ReloadsARestartedEngineWithoutATurn) {
  Fleet fleet({.seed = 5, .engine_restart_chance = 0.01});
  StartChange(fleet);
  fleet.Run(400);
  EXPECT_GT(fleet.OrderCount(), 2 * kAgents);
}

}  // namespace
}  // namespace radishrudder::rollout
