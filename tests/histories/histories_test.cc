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
  return Check(Simulation<Entry, Gate>(faults, document).Run());
}

void ExpectNoViolations(const std::vector<Violation>& violations,
                        std::uint64_t seed) {
  for (const Violation& violation : violations) {
    ADD_FAILURE() << "seed " << seed << ": " << Name(violation.rule) << ": "
                  << violation.detail;
  }
}

// The seeds are split into shards so that the test runner can run them in
// parallel.
constexpr std::uint64_t kShards = 8;

class HistoriesTest : public testing::TestWithParam<std::uint64_t> {};

TEST_P(HistoriesTest, HasNoViolationsUnderFaults) {
  constexpr std::uint64_t kSeeds = 2400;
  for (std::uint64_t seed = GetParam(); seed < kSeeds; seed += kShards) {
    ExpectNoViolations(RunAndCheck(DrawFaults(seed)), seed);
  }
}

TEST_P(HistoriesTest, PlannedStopsInterruptNoCall) {
  constexpr std::uint64_t kSeeds = 800;
  for (std::uint64_t seed = GetParam(); seed < kSeeds; seed += kShards) {
    ExpectNoViolations(RunAndCheck(DrawPlannedStops(seed)), seed);
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         HistoriesTest,
                         testing::Range<std::uint64_t>(0, kShards));

// A broken variant, the rule it must violate, and a function that runs it with
// a seed and returns the violations.
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

document::ServiceDocument DocumentWithIdempotentRoutes(double retry_budget) {
  document::ServiceDocument document = Document();
  document.calls.routes = {{.method = "*", .prefix = "/", .idempotent = true}};
  document.calls.retry_budget = retry_budget;
  return document;
}

std::vector<Violation> ReusingIncarnationAfterRestart(std::uint64_t seed) {
  Faults faults = DrawFaults(seed);
  faults.same_incarnation_after_restart = true;
  return RunAndCheck(faults);
}

std::vector<Violation> RetryingAfterTimeout(std::uint64_t seed) {
  return RunAndCheck(DrawFaults(seed), DocumentWithIdempotentRoutes(1));
}

std::vector<Violation> AcceptingCallerKeys(std::uint64_t seed) {
  return RunAndCheck<EntryCore, GateThatAcceptsCallerKeys>(
      DrawFaults(seed), DocumentWithIdempotentRoutes(0));
}

std::vector<Violation> CancellingOnDrain(std::uint64_t seed) {
  return RunAndCheck<EntryCore, GateThatCancelsOnDrain>(DrawPlannedStops(seed));
}

// Duplicated and delayed attempts arrive before and after restarts of their
// agent.
Faults AgentRestarts(std::uint64_t seed) {
  return {.seed = seed, .duplication = 0.5, .long_delay = 0.3, .restarts = 10};
}

// Answers to attempts of an earlier run arrive at a restarted entry.
Faults EntryRestarts(std::uint64_t seed) {
  return {.seed = seed, .moderate_delay = 1, .entry_restarts = 20};
}

TEST_P(HistoriesTest, HasNoViolationsUnderManyRestarts) {
  constexpr std::uint64_t kSeeds = 200;
  for (std::uint64_t seed = GetParam(); seed < kSeeds; seed += kShards) {
    ExpectNoViolations(RunAndCheck(AgentRestarts(seed)), seed);
    ExpectNoViolations(RunAndCheck(EntryRestarts(seed)), seed);
  }
}

std::vector<Violation> AcceptingAttemptsOfAnyRun(std::uint64_t seed) {
  return RunAndCheck<EntryCore, GateThatAcceptsAnyRun>(AgentRestarts(seed));
}

std::vector<Violation> AcceptingAnswersOfAnyRun(std::uint64_t seed) {
  return RunAndCheck<EntryThatAcceptsAnyRun, AgentGate>(EntryRestarts(seed));
}

std::ostream& operator<<(std::ostream& stream, const Variant& variant) {
  return stream << variant.name;
}

class VariantTest : public testing::TestWithParam<Variant> {};

TEST_P(VariantTest, ViolatesItsRule) {
  constexpr std::uint64_t kSeeds = 400;
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    for (const Violation& violation : GetParam().run(seed)) {
      if (violation.rule == GetParam().rule) {
        RecordProperty("seed", std::to_string(seed));
        return;
      }
    }
  }
  FAIL() << "no seed below " << kSeeds << " violated \""
         << Name(GetParam().rule) << "\"";
}

INSTANTIATE_TEST_SUITE_P(
    Broken,
    VariantTest,
    testing::Values(
        Variant{"ReusingIncarnationAfterRestart", Rule::kAtMostOnce,
                ReusingIncarnationAfterRestart},
        Variant{"RetryingAfterTimeout", Rule::kAtMostOnce,
                RetryingAfterTimeout},
        Variant{"AcceptingCallerKeys", Rule::kAtMostOnce, AcceptingCallerKeys},
        Variant{"IgnoringKeys", Rule::kAtMostOnce,
                WithFaults<EntryCore, GateThatIgnoresKeys>()},
        Variant{"AcceptingRefusedKeys", Rule::kAtMostOnce,
                WithFaults<EntryCore, GateThatAcceptsRefusedKeys>()},
        Variant{"WithoutAttemptMemory", Rule::kNotRunOutcomeIsCorrect,
                WithFaults<EntryCore, GateWithoutAttemptMemory>()},
        Variant{"AcceptingAttemptsOfAnyRun", Rule::kAtMostOnce,
                AcceptingAttemptsOfAnyRun},
        Variant{
            "TreatingLostConnectionAsRefusal", Rule::kNotRunOutcomeIsCorrect,
            WithFaults<EntryThatTreatsLostConnectionAsRefusal, AgentGate>()},
        Variant{"CompletingInterruptedAnswers",
                Rule::kCompleteAnswerOfSameOperation,
                WithFaults<EntryCore, GateThatCompletesInterruptedAnswers>()},
        Variant{"IgnoringPartCount", Rule::kCompleteAnswerOfSameOperation,
                WithFaults<EntryThatIgnoresPartCount, AgentGate>()},
        Variant{"AcceptingAnswersOfAnyRun",
                Rule::kCompleteAnswerOfSameOperation, AcceptingAnswersOfAnyRun},
        Variant{"IgnoringDigestChanges", Rule::kSingleDigest,
                WithFaults<EntryCore, GateThatIgnoresDigestChanges>()},
        Variant{"IgnoringDrain", Rule::kNoNewCallsAfterDeparture,
                WithFaults<EntryCore, GateThatIgnoresDrain>()},
        Variant{"WithoutPauseDetection", Rule::kNoNewCallsAfterDeparture,
                WithFaults<EntryCore, GateWithoutPauseDetection>()},
        Variant{"CancellingOnDrain", Rule::kPlannedStopInterruptsNoCall,
                CancellingOnDrain}),
    [](const auto& variant) { return variant.param.name; });

}  // namespace
}  // namespace radishrudder::histories
