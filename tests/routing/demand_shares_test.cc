#include "radishrudder/routing/demand_shares.h"

#include <gtest/gtest.h>

namespace radishrudder::routing {
namespace {

using std::chrono::milliseconds;

class DemandSharesTest : public testing::Test {
 protected:
  // Callers bring this many calls in each of some seconds.
  void Offer(DemandShares& shares, int calls_per_second, int seconds = 8) {
    for (int second = 0; second < seconds; ++second) {
      for (int i = 0; i < calls_per_second; ++i) {
        shares.OnOffered("service");
      }
      m_now += milliseconds(1000);
      shares.OnTick(m_now);
    }
  }
  double Share(const DemandShares& shares) const {
    return shares.Share(m_now, "service");
  }

  kernel::Time m_now{std::chrono::hours(1)};
  DemandShares m_one{"entry-1"};
  DemandShares m_two{"entry-2"};
};

// Guards against an entry that hears from nobody taking its demand for all
// there is, and filling endpoints that others use.
TEST_F(DemandSharesTest, IsZeroWhileNoOtherEntryIsKnown) {
  Offer(m_one, 20);
  EXPECT_EQ(Share(m_one), 0);
}

TEST_F(DemandSharesTest, FollowsTheDemandOfBoth) {
  m_one.OnTick(m_now);
  m_two.OnTick(m_now);
  Offer(m_one, 10);
  Offer(m_two, 30);
  m_one.Merge(m_now, m_two.Demands(m_now));
  m_two.Merge(m_now, m_one.Demands(m_now));
  EXPECT_NEAR(Share(m_one), 0.25, 0.01);
  // One entry's share is limited, since others may not be known yet.
  EXPECT_EQ(Share(m_two), 0.5);
  EXPECT_EQ(m_one.Share(m_now, "another"), 0);
}

TEST_F(DemandSharesTest, LearnsOfOthersFromOthers) {
  DemandShares three("entry-3");
  Offer(three, 20);
  Offer(m_one, 20);
  m_two.Merge(m_now, three.Demands(m_now));
  m_one.Merge(m_now, m_two.Demands(m_now));
  EXPECT_GT(Share(m_one), 0.4);
}

// Guards against entries that left keeping their share.
TEST_F(DemandSharesTest, ForgetsEntriesThatAreNotHeardOf) {
  Offer(m_two, 20);
  Offer(m_one, 20);
  m_one.Merge(m_now, m_two.Demands(m_now));
  EXPECT_GT(Share(m_one), 0);
  Offer(m_one, 20, 16);
  EXPECT_EQ(Share(m_one), 0);
  EXPECT_EQ(m_one.Demands(m_now).size(), 1U);
}

TEST_F(DemandSharesTest, KeepsTheLatestOfTwoReports) {
  Offer(m_one, 20);
  const std::vector<Demand> reports = {
      {"entry-2", "service", 60, m_now - milliseconds(100)},
      {"entry-2", "service", 20, m_now - milliseconds(5000)},
      {"entry-1", "service", 900, m_now}};
  m_one.Merge(m_now, reports);
  EXPECT_NEAR(Share(m_one), 0.25, 0.02);
}

// Guards against memory that grows with what arrives at the port for peers.
TEST_F(DemandSharesTest, RemembersABoundedNumberOfOthers) {
  for (int i = 0; i < 3000; ++i) {
    const std::vector<Demand> reports = {
        {"x-" + std::to_string(i), "service", 1, m_now},
        {"x-0", "service-" + std::to_string(i), 1, m_now}};
    m_one.Merge(m_now, reports);
  }
  EXPECT_LE(m_one.Demands(m_now).size(), 256U + 64U);
}

}  // namespace
}  // namespace radishrudder::routing
