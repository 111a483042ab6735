#include "radishrudder/routing/policy.h"

#include <algorithm>
#include <numeric>
#include <set>

#include <gtest/gtest.h>

#include "radishrudder/routing/built_in_policies.h"

namespace radishrudder::routing {
namespace {

constexpr std::uint64_t kSeed = 11;
constexpr int kDraws = 4'000;

// Returns how often the policy `name` chooses each candidate in `kDraws` calls.
std::vector<int> CountChoices(std::string_view name,
                              std::span<const Candidate> candidates) {
  RegisterBuiltInPolicies();
  const std::unique_ptr<Policy> policy =
      PolicyRegistry::Instance().Find(name)();
  kernel::Random random(kSeed);
  std::vector<int> counts(candidates.size());
  for (int i = 0; i < kDraws; ++i) {
    ++counts[policy->Choose(CallView{}, candidates, random)];
  }
  return counts;
}

std::vector<Candidate> CandidatesWithLoads(std::span<const double> loads) {
  std::vector<Candidate> candidates;
  for (const double load : loads) {
    Candidate candidate;
    candidate.instance = "runner-" + std::to_string(candidates.size());
    candidate.estimated_calls = load;
    candidate.capacity = 8;
    candidates.push_back(candidate);
  }
  return candidates;
}

class EveryPolicyTest : public testing::TestWithParam<const char*> {};

TEST_P(EveryPolicyTest, IsRegistered) {
  RegisterBuiltInPolicies();
  EXPECT_TRUE(PolicyRegistry::Instance().Find(GetParam()));
}

TEST_P(EveryPolicyTest, ChoosesTheOnlyCandidate) {
  const std::vector<double> loads = {100};
  EXPECT_EQ(CountChoices(GetParam(), CandidatesWithLoads(loads)).front(),
            kDraws);
}

TEST_P(EveryPolicyTest, DistributesCallsOverEqualCandidates) {
  const std::vector<double> loads(8, 3.0);
  for (const int count : CountChoices(GetParam(), CandidatesWithLoads(loads))) {
    EXPECT_GT(count, kDraws / 8 / 2);
    EXPECT_LT(count, kDraws / 8 * 2);
  }
}

INSTANTIATE_TEST_SUITE_P(BuiltIn,
                         EveryPolicyTest,
                         testing::Values("random",
                                         "round-robin",
                                         "least-loaded-of-two",
                                         "least-expected-latency",
                                         "least-predicted-wait",
                                         "prefix-affinity"));

class LoadAwarePolicyTest : public testing::TestWithParam<const char*> {};

TEST_P(LoadAwarePolicyTest, NeverChoosesTheBusyCandidate) {
  const std::vector<double> loads = {2, 2, 2, 40};
  EXPECT_EQ(CountChoices(GetParam(), CandidatesWithLoads(loads)).back(), 0);
}

TEST_P(LoadAwarePolicyTest, ComparesLoadRelativeToCapacity) {
  const std::vector<double> loads = {6, 6};
  std::vector<Candidate> candidates = CandidatesWithLoads(loads);
  candidates[1].capacity = 32;
  EXPECT_EQ(CountChoices(GetParam(), candidates).front(), 0);
}

INSTANTIATE_TEST_SUITE_P(BuiltIn,
                         LoadAwarePolicyTest,
                         testing::Values("least-loaded-of-two",
                                         "least-predicted-wait",
                                         "least-expected-latency",
                                         "prefix-affinity"));

// Guards against herding: if every entry sends all calls to the endpoint that
// appears idle in a shared stale report, that endpoint becomes overloaded.
class HerdingPolicyTest : public testing::TestWithParam<const char*> {};

TEST_P(HerdingPolicyTest, ChoosesTheIdleCandidateForLessThanHalfOfTheCalls) {
  const std::vector<double> loads = {0, 4, 4, 4, 4, 4, 4, 4};
  EXPECT_LT(CountChoices(GetParam(), CandidatesWithLoads(loads)).front(),
            kDraws / 2);
}

INSTANTIATE_TEST_SUITE_P(BuiltIn,
                         HerdingPolicyTest,
                         testing::Values("least-loaded-of-two",
                                         "least-predicted-wait",
                                         "least-expected-latency",
                                         "prefix-affinity"));

TEST(RoundRobinPolicyTest, ChoosesEachCandidateEquallyOften) {
  const std::vector<double> loads(8, 0.0);
  const std::vector<int> counts =
      CountChoices("round-robin", CandidatesWithLoads(loads));
  EXPECT_EQ(std::count(counts.begin(), counts.end(), kDraws / 8), 8);
}

TEST(LeastExpectedLatencyPolicyTest,
     PrefersTheFasterOfEquallyLoadedCandidates) {
  const std::vector<double> loads = {2, 2};
  std::vector<Candidate> candidates = CandidatesWithLoads(loads);
  candidates[0].latency_seconds = 0.4;
  candidates[1].latency_seconds = 0.1;
  EXPECT_EQ(CountChoices("least-expected-latency", candidates)[1], kDraws);
}

TEST(LeastExpectedLatencyPolicyTest, ChoosesCandidatesWithUnknownLatency) {
  const std::vector<double> loads = {2, 2};
  std::vector<Candidate> candidates = CandidatesWithLoads(loads);
  candidates[0].latency_seconds = 0.4;
  EXPECT_GT(CountChoices("least-expected-latency", candidates)[1], 0);
}

TEST(PrefixAffinityPolicyTest, PrefersTheCandidateWithTheCachedPrefix) {
  const std::vector<double> loads(8, 2.0);
  std::vector<Candidate> candidates = CandidatesWithLoads(loads);
  candidates[5].cached_prefix_share = 0.9;
  EXPECT_EQ(CountChoices("prefix-affinity", candidates)[5], kDraws);
}

// Returns the candidates, one per element of `loads`, that are chosen for calls
// with the prefix.
std::set<std::size_t> PreferredFor(std::uint64_t prefix,
                                   std::uint64_t seed,
                                   std::span<const double> loads) {
  RegisterBuiltInPolicies();
  const std::unique_ptr<Policy> policy =
      PolicyRegistry::Instance().Find("prefix-affinity")();
  kernel::Random random(seed);
  std::set<std::size_t> preferred;
  for (int i = 0; i < 100; ++i) {
    preferred.insert(policy->Choose({.prefix_hash = prefix},
                                    CandidatesWithLoads(loads), random));
  }
  return preferred;
}

TEST(PrefixAffinityPolicyTest,
     EntriesPreferTheSameCandidatesForAnUnknownPrefix) {
  const std::vector<double> loads(8, 2.0);
  const std::set<std::size_t> preferred = PreferredFor(7, 1, loads);
  EXPECT_LE(preferred.size(), 2U);
  EXPECT_EQ(PreferredFor(7, 2, loads), preferred);
}

TEST(PrefixAffinityPolicyTest, DistributesPrefixesOverAllCandidates) {
  const std::vector<double> loads(8, 2.0);
  std::set<std::size_t> used;
  for (std::uint64_t prefix = 1; prefix <= 100; ++prefix) {
    used.merge(PreferredFor(prefix, 1, loads));
  }
  EXPECT_EQ(used.size(), 8U);
}

TEST(PrefixAffinityPolicyTest, ReplacesAnOverloadedPreferredCandidate) {
  std::vector<double> loads(8, 2.0);
  for (const std::size_t preferred_candidate : PreferredFor(7, 1, loads)) {
    loads[preferred_candidate] = 16;
    EXPECT_FALSE(PreferredFor(7, 1, loads).contains(preferred_candidate));
  }
}

TEST(PrefixAffinityPolicyTest, IgnoresThePrefixOfAnOverloadedCandidate) {
  const std::vector<double> loads = {2, 2, 2, 2, 2, 14};
  std::vector<Candidate> candidates = CandidatesWithLoads(loads);
  candidates[5].cached_prefix_share = 1;
  EXPECT_EQ(CountChoices("prefix-affinity", candidates)[5], 0);
}

}  // namespace
}  // namespace radishrudder::routing
