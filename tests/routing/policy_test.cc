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

// Returns how often each candidate was chosen in `kDraws` calls.
std::vector<int> Shares(std::string_view name,
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

std::vector<Candidate> Candidates(std::span<const double> loads) {
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

TEST_P(EveryPolicyTest, TakesTheOnlyCandidate) {
  const std::vector<double> loads = {100};
  EXPECT_EQ(Shares(GetParam(), Candidates(loads)).front(), kDraws);
}

TEST_P(EveryPolicyTest, SpreadsOverEqualCandidates) {
  const std::vector<double> loads(8, 3.0);
  for (const int count : Shares(GetParam(), Candidates(loads))) {
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
                                         "prefix-affinity"));

class LoadAwarePolicyTest : public testing::TestWithParam<const char*> {};

TEST_P(LoadAwarePolicyTest, SparesTheBusyCandidate) {
  const std::vector<double> loads = {2, 2, 2, 40};
  EXPECT_EQ(Shares(GetParam(), Candidates(loads)).back(), 0);
}

TEST_P(LoadAwarePolicyTest, MeasuresLoadAgainstCapacity) {
  const std::vector<double> loads = {6, 6};
  std::vector<Candidate> candidates = Candidates(loads);
  candidates[1].capacity = 32;
  EXPECT_EQ(Shares(GetParam(), candidates).front(), 0);
}

INSTANTIATE_TEST_SUITE_P(BuiltIn,
                         LoadAwarePolicyTest,
                         testing::Values("least-loaded-of-two",
                                         "least-expected-latency",
                                         "prefix-affinity"));

// An entry that sends everything to the endpoint that seems idle is one of
// many that do so on the same stale report.
class HerdingPolicyTest : public testing::TestWithParam<const char*> {};

TEST_P(HerdingPolicyTest, LeavesShareForOthersBesideTheIdleCandidate) {
  const std::vector<double> loads = {0, 4, 4, 4, 4, 4, 4, 4};
  EXPECT_LT(Shares(GetParam(), Candidates(loads)).front(), kDraws / 2);
}

INSTANTIATE_TEST_SUITE_P(BuiltIn,
                         HerdingPolicyTest,
                         testing::Values("least-loaded-of-two",
                                         "least-expected-latency",
                                         "prefix-affinity"));

TEST(RoundRobinPolicyTest, GivesEachCandidateTheSameNumberOfCalls) {
  const std::vector<double> loads(8, 0.0);
  const std::vector<int> counts = Shares("round-robin", Candidates(loads));
  EXPECT_EQ(std::count(counts.begin(), counts.end(), kDraws / 8), 8);
}

TEST(LeastExpectedLatencyPolicyTest, PrefersTheFasterOfEquallyLoaded) {
  const std::vector<double> loads = {2, 2};
  std::vector<Candidate> candidates = Candidates(loads);
  candidates[0].latency_seconds = 0.4;
  candidates[1].latency_seconds = 0.1;
  EXPECT_EQ(Shares("least-expected-latency", candidates)[1], kDraws);
}

TEST(LeastExpectedLatencyPolicyTest, TriesCandidatesOfUnknownLatency) {
  const std::vector<double> loads = {2, 2};
  std::vector<Candidate> candidates = Candidates(loads);
  candidates[0].latency_seconds = 0.4;
  EXPECT_GT(Shares("least-expected-latency", candidates)[1], 0);
}

TEST(PrefixAffinityPolicyTest, PrefersTheCandidateWithThePrefix) {
  const std::vector<double> loads(8, 2.0);
  std::vector<Candidate> candidates = Candidates(loads);
  candidates[5].cached_prefix_share = 0.9;
  EXPECT_EQ(Shares("prefix-affinity", candidates)[5], kDraws);
}

// Returns which of 8 candidates of those loads get calls with that prefix.
std::set<std::size_t> HomesOf(std::uint64_t prefix,
                              std::uint64_t seed,
                              std::span<const double> loads) {
  RegisterBuiltInPolicies();
  const std::unique_ptr<Policy> policy =
      PolicyRegistry::Instance().Find("prefix-affinity")();
  kernel::Random random(seed);
  std::set<std::size_t> homes;
  for (int i = 0; i < 100; ++i) {
    homes.insert(
        policy->Choose({.prefix_hash = prefix}, Candidates(loads), random));
  }
  return homes;
}

TEST(PrefixAffinityPolicyTest, EntriesAgreeOnWhereAnUnknownPrefixGoes) {
  const std::vector<double> loads(8, 2.0);
  const std::set<std::size_t> homes = HomesOf(7, 1, loads);
  EXPECT_LE(homes.size(), 2U);
  EXPECT_EQ(HomesOf(7, 2, loads), homes);
}

TEST(PrefixAffinityPolicyTest, DifferentPrefixesUseAllCandidates) {
  const std::vector<double> loads(8, 2.0);
  std::set<std::size_t> used;
  for (std::uint64_t prefix = 1; prefix <= 100; ++prefix) {
    used.merge(HomesOf(prefix, 1, loads));
  }
  EXPECT_EQ(used.size(), 8U);
}

TEST(PrefixAffinityPolicyTest, AFullHomeIsReplaced) {
  std::vector<double> loads(8, 2.0);
  for (const std::size_t home : HomesOf(7, 1, loads)) {
    loads[home] = 16;
    EXPECT_FALSE(HomesOf(7, 1, loads).contains(home));
  }
}

TEST(PrefixAffinityPolicyTest, LeavesTheCandidateWithThePrefixWhenItIsFull) {
  const std::vector<double> loads = {2, 2, 2, 2, 2, 14};
  std::vector<Candidate> candidates = Candidates(loads);
  candidates[5].cached_prefix_share = 1;
  EXPECT_EQ(Shares("prefix-affinity", candidates)[5], 0);
}

}  // namespace
}  // namespace radishrudder::routing
