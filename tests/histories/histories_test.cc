#include <gtest/gtest.h>

#include "radishrudder/kernel/hash.h"
#include "variants.h"
#include "world.h"

namespace radishrudder::histories {
namespace {

document::ServiceDocument Document() {
  document::ServiceDocument document;
  document.service = "shop-api";
  document.kind = document::ServiceKind::kPlain;
  document.calls.timeout = seconds(2);
  document.calls.endpoint_concurrency = 3;
  document.calls.maximum_queue = 16;
  return document;
}

template <typename Entry = calls::EntryCore, typename Gate = calls::AgentGate>
std::vector<Violation> RunAndCheck(
    const Faults& faults,
    const document::ServiceDocument& document = Document()) {
  return Check(World<Entry, Gate>(faults, document).Run());
}

void ExpectNone(const std::vector<Violation>& violations, std::uint64_t seed) {
  for (const Violation& violation : violations) {
    ADD_FAILURE() << "seed " << seed << ": " << Name(violation.rule) << ": "
                  << violation.detail;
  }
}

// Seeds in shards, so that they run beside each other.
constexpr std::uint64_t kShards = 8;

class HistoriesTest : public testing::TestWithParam<std::uint64_t> {};

TEST_P(HistoriesTest, HoldUnderEveryFault) {
  constexpr std::uint64_t kSeeds = 2400;
  for (std::uint64_t seed = GetParam(); seed < kSeeds; seed += kShards) {
    ExpectNone(RunAndCheck(DrawFaults(seed)), seed);
  }
}

TEST_P(HistoriesTest, PlannedStopsInterruptNothing) {
  constexpr std::uint64_t kSeeds = 800;
  for (std::uint64_t seed = GetParam(); seed < kSeeds; seed += kShards) {
    ExpectNone(RunAndCheck(DrawPlannedStops(seed)), seed);
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         HistoriesTest,
                         testing::Range<std::uint64_t>(0, kShards));

// A broken variant, the rule that must catch it, and how to run it.
struct Variant {
  std::string name;
  Rule rule;
  std::function<std::vector<Violation>(std::uint64_t)> run;
};

template <typename Entry, typename Gate>
std::function<std::vector<Violation>(std::uint64_t)> WithFaults() {
  return [](std::uint64_t seed) {
    return RunAndCheck<Entry, Gate>(DrawFaults(seed));
  };
}

document::ServiceDocument EverythingIdempotent(double retry_budget) {
  document::ServiceDocument document = Document();
  document.calls.routes = {{.method = "*", .prefix = "/", .idempotent = true}};
  document.calls.retry_budget = retry_budget;
  return document;
}

std::vector<Violation> ForgettingOnRestart(std::uint64_t seed) {
  Faults faults = DrawFaults(seed);
  faults.same_incarnation_after_restart = true;
  return RunAndCheck(faults);
}

std::vector<Violation> RetryingAfterTimeOut(std::uint64_t seed) {
  return RunAndCheck(DrawFaults(seed), EverythingIdempotent(1));
}

std::vector<Violation> KeysThatNameNoAgent(std::uint64_t seed) {
  return RunAndCheck<EntryCore, GateForAnyKey>(DrawFaults(seed),
                                               EverythingIdempotent(0));
}

std::vector<Violation> CuttingOnDrain(std::uint64_t seed) {
  return RunAndCheck<EntryCore, GateThatCutsOnDrain>(DrawPlannedStops(seed));
}

// Attempts whose copies come before and after a restart of their agent.
Faults AgentRestarts(std::uint64_t seed) {
  return {.seed = seed, .duplication = 0.5, .very_late = 0.3, .restarts = 10};
}

// Answers that come late to an entry that has restarted.
Faults EntryRestarts(std::uint64_t seed) {
  return {.seed = seed, .slow = 1, .entry_restarts = 20};
}

TEST_P(HistoriesTest, HoldUnderManyRestarts) {
  constexpr std::uint64_t kSeeds = 200;
  for (std::uint64_t seed = GetParam(); seed < kSeeds; seed += kShards) {
    ExpectNone(RunAndCheck(AgentRestarts(seed)), seed);
    ExpectNone(RunAndCheck(EntryRestarts(seed)), seed);
  }
}

std::vector<Violation> TakingAnyRun(std::uint64_t seed) {
  return RunAndCheck<EntryCore, GateForAnyRun>(AgentRestarts(seed));
}

std::vector<Violation> TakingAnswersOfAnyRun(std::uint64_t seed) {
  return RunAndCheck<EntryForAnyRun, AgentGate>(EntryRestarts(seed));
}

std::ostream& operator<<(std::ostream& stream, const Variant& variant) {
  return stream << variant.name;
}

class VariantTest : public testing::TestWithParam<Variant> {};

TEST_P(VariantTest, IsCaught) {
  constexpr std::uint64_t kSeeds = 400;
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    for (const Violation& violation : GetParam().run(seed)) {
      if (violation.rule == GetParam().rule) {
        RecordProperty("seed", std::to_string(seed));
        return;
      }
    }
  }
  FAIL() << "no seed below " << kSeeds << " broke \"" << Name(GetParam().rule)
         << "\"";
}

INSTANTIATE_TEST_SUITE_P(
    Broken,
    VariantTest,
    testing::Values(
        Variant{"ForgettingOnRestart", Rule::kAtMostOnce, ForgettingOnRestart},
        Variant{"RetryingAfterTimeOut", Rule::kAtMostOnce,
                RetryingAfterTimeOut},
        Variant{"KeysThatNameNoAgent", Rule::kAtMostOnce, KeysThatNameNoAgent},
        Variant{"WithoutLedger", Rule::kAtMostOnce,
                WithFaults<EntryCore, GateWithoutLedger>()},
        Variant{"ReopeningKeys", Rule::kAtMostOnce,
                WithFaults<EntryCore, GateThatReopensKeys>()},
        Variant{"ForgettingAttempts", Rule::kTrueNotRun,
                WithFaults<EntryCore, GateThatForgetsAttempts>()},
        Variant{"TakingAnyRun", Rule::kAtMostOnce, TakingAnyRun},
        Variant{"TrustingBrokenStreams", Rule::kTrueNotRun,
                WithFaults<EntryThatTrustsBrokenStreams, AgentGate>()},
        Variant{"EndingCutAnswers", Rule::kWholeAndOwn,
                WithFaults<EntryCore, GateThatEndsCutAnswers>()},
        Variant{"WithoutPartCount", Rule::kWholeAndOwn,
                WithFaults<EntryWithoutPartCount, AgentGate>()},
        Variant{"TakingAnswersOfAnyRun", Rule::kWholeAndOwn,
                TakingAnswersOfAnyRun},
        Variant{"IgnoringReloads", Rule::kOneDigest,
                WithFaults<EntryCore, GateThatIgnoresReloads>()},
        Variant{"IgnoringDrain", Rule::kNoNewWorkAfterLeaving,
                WithFaults<EntryCore, GateThatIgnoresDrain>()},
        Variant{"WithoutPauses", Rule::kNoNewWorkAfterLeaving,
                WithFaults<EntryCore, GateWithoutPauses>()},
        Variant{"CuttingOnDrain", Rule::kPlannedStopInterruptsNothing,
                CuttingOnDrain}),
    [](const auto& variant) { return variant.param.name; });

}  // namespace
}  // namespace radishrudder::histories
