#include <gtest/gtest.h>

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
  constexpr std::uint64_t kSeeds = 3000;
  for (std::uint64_t seed = GetParam(); seed < kSeeds; seed += kShards) {
    ExpectNone(RunAndCheck(DrawFaults(seed)), seed);
  }
}

TEST_P(HistoriesTest, PlannedStopsInterruptNothing) {
  constexpr std::uint64_t kSeeds = 1000;
  for (std::uint64_t seed = GetParam(); seed < kSeeds; seed += kShards) {
    ExpectNone(RunAndCheck(DrawPlannedStops(seed)), seed);
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         HistoriesTest,
                         testing::Range<std::uint64_t>(0, kShards));

}  // namespace
}  // namespace radishrudder::histories
