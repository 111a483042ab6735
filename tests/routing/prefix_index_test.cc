#include "radishrudder/routing/prefix_index.h"

#include <gtest/gtest.h>

#include "tests/routing/routing_fixtures.h"

namespace radishrudder::routing {
namespace {

constexpr std::uint64_t kPrefix = 77;

class PrefixIndexTest : public testing::Test {
 protected:
  PrefixIndexTest() : m_index({.maximum_prefixes = 4, .maximum_holders = 2}) {
    for (Slot slot = 0; slot < 4; ++slot) {
      m_index.Add(slot);
    }
  }

  void ApplyEvent(std::int64_t now_ms,
                  std::uint64_t sequence,
                  CacheChange change,
                  std::uint64_t prefix = kPrefix) {
    const CacheEvent event{change, prefix};
    m_index.OnEvents(At(now_ms), 0,
                     {.first_sequence = sequence, .events = {&event, 1}});
  }

  double Likelihood(std::int64_t now_ms, Slot slot = 0) {
    return m_index.Likelihood(At(now_ms), slot, kPrefix);
  }

  PrefixIndex m_index;
};

TEST_F(PrefixIndexTest, LearnsPrefixesFromLocalCallsAndEvents) {
  EXPECT_EQ(Likelihood(0), 0);
  m_index.OnCallSent(At(0), 1, kPrefix);
  EXPECT_NEAR(Likelihood(0, 1), 0.9, 0.01);
  ApplyEvent(0, 1, CacheChange::kStored);
  EXPECT_NEAR(Likelihood(0), 1, 0.01);
}

TEST_F(PrefixIndexTest, RemovalEventClearsTheLikelihood) {
  ApplyEvent(0, 1, CacheChange::kStored);
  ApplyEvent(5'000, 2, CacheChange::kRemoved);
  EXPECT_EQ(Likelihood(5'000), 0);
}

TEST_F(PrefixIndexTest, HalvesLikelihoodOnRemovalThatMayPredateTheLastCall) {
  m_index.OnCallSent(At(0), 0, kPrefix);
  ApplyEvent(100, 1, CacheChange::kRemoved);
  EXPECT_NEAR(Likelihood(100), 0.5, 0.01);
}

TEST_F(PrefixIndexTest, GapLowersLikelihoodsOfThatEndpointOnly) {
  m_index.OnCallSent(At(0), 1, kPrefix);
  ApplyEvent(0, 1, CacheChange::kStored);
  ApplyEvent(0, 5, CacheChange::kStored, kPrefix + 1);
  EXPECT_LT(Likelihood(0), 0.5);
  EXPECT_NEAR(Likelihood(0, 1), 0.9, 0.01);
  EXPECT_EQ(m_index.GapCount(0), 1U);
}

TEST_F(PrefixIndexTest, ShortGapsKeepMostOfALargeCache) {
  PrefixIndex index({});
  index.Add(0);
  std::vector<CacheEvent> events;
  for (std::uint64_t prefix = 1; prefix <= 50; ++prefix) {
    events.push_back({CacheChange::kStored, prefix});
  }
  index.OnEvents(At(0), 0, {.first_sequence = 1, .events = events});
  for (std::uint64_t gap = 1; gap <= 5; ++gap) {
    index.OnEvents(
        At(0), 0,
        {.first_sequence = 50 + 3 * gap, .events = {events.data(), 1}});
  }
  EXPECT_EQ(index.GapCount(0), 5U);
  EXPECT_GT(index.Likelihood(At(0), 0, 50), 0.8);
}

TEST_F(PrefixIndexTest, SkipsEventsAppliedBefore) {
  ApplyEvent(0, 1, CacheChange::kStored);
  ApplyEvent(2'000, 2, CacheChange::kRemoved);
  ApplyEvent(3'000, 1, CacheChange::kStored);
  EXPECT_EQ(Likelihood(3'000), 0);
  EXPECT_EQ(m_index.GapCount(0), 0U);
}

TEST_F(PrefixIndexTest, CompleteListReplacesEarlierEvents) {
  ApplyEvent(0, 1, CacheChange::kStored);
  ApplyEvent(0, 9, CacheChange::kStored);
  const CacheEvent other{CacheChange::kStored, kPrefix + 1};
  m_index.OnEvents(
      At(0), 0, {.first_sequence = 3, .complete = true, .events = {&other, 1}});
  EXPECT_EQ(Likelihood(0), 0);
  EXPECT_NEAR(m_index.Likelihood(At(0), 0, kPrefix + 1), 1, 0.01);
}

TEST_F(PrefixIndexTest, LikelihoodDecaysWithoutUpdates) {
  ApplyEvent(0, 1, CacheChange::kStored);
  EXPECT_NEAR(Likelihood(120'000), 0.5, 0.01);
}

TEST_F(PrefixIndexTest, DiscardsPrefixesOfARemovedEndpoint) {
  ApplyEvent(0, 1, CacheChange::kStored);
  m_index.Remove(0);
  m_index.Add(0);
  EXPECT_EQ(Likelihood(0), 0);
}

TEST_F(PrefixIndexTest, EvictsTheLeastRecentlyUsedPrefixes) {
  m_index.OnCallSent(At(0), 0, kPrefix);
  for (std::uint64_t prefix = 1; prefix <= 4; ++prefix) {
    m_index.OnCallSent(At(0), 0, prefix);
  }
  EXPECT_EQ(m_index.PrefixCount(), 4U);
  EXPECT_EQ(Likelihood(0), 0);
}

TEST_F(PrefixIndexTest, EvictsTheLeastLikelyHolder) {
  m_index.OnCallSent(At(0), 1, kPrefix);
  m_index.OnCallSent(At(60'000), 2, kPrefix);
  m_index.OnCallSent(At(120'000), 3, kPrefix);
  EXPECT_EQ(Likelihood(120'000, 1), 0);
  EXPECT_GT(Likelihood(120'000, 2), 0);
  EXPECT_GT(Likelihood(120'000, 3), 0);
}

}  // namespace
}  // namespace radishrudder::routing
