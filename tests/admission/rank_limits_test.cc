#include "radishrudder/admission/rank_limits.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

namespace radishrudder::admission {
namespace {

using std::chrono::milliseconds;

constexpr kernel::Time kStart{std::chrono::hours(1)};

// Calls in each 10 ms, by rank.
kernel::Time Feed(RankLimits& limits,
                  kernel::Time now,
                  milliseconds duration,
                  const std::vector<int>& calls) {
  const kernel::Time end = now + duration;
  for (; now < end; now += milliseconds(10)) {
    for (std::uint32_t rank = 0; rank < calls.size(); ++rank) {
      for (int i = 0; i < calls[rank]; ++i) {
        limits.OnArrived(now, rank);
      }
    }
  }
  return now;
}

struct LimitCase {
  const char* name;
  std::vector<int> calls;  // In each 10 ms, by rank.
  std::vector<double> least;
  std::vector<double> most;
};

class RankLimitsTest : public testing::TestWithParam<LimitCase> {};

// Guards against urgent calls that find endpoints full of others, and against
// places that stay free although no urgent call comes.
TEST_P(RankLimitsTest, LeavesPlacesToMoreUrgentRanks) {
  RankLimits limits;
  Feed(limits, kStart, milliseconds(3000), GetParam().calls);
  for (std::uint32_t rank = 0; rank < GetParam().least.size(); ++rank) {
    EXPECT_GE(limits.PlacesShare(rank), GetParam().least[rank]) << rank;
    EXPECT_LE(limits.PlacesShare(rank), GetParam().most[rank]) << rank;
  }
}

INSTANTIATE_TEST_SUITE_P(
    All,
    RankLimitsTest,
    testing::Values(
        LimitCase{"OnlyMostUrgent", {3}, {1}, {1}},
        LimitCase{"OnlyLeastUrgent", {0, 0, 3}, {1, 1, 1}, {1, 1, 1}},
        LimitCase{"ThreeRanks", {2, 2, 2}, {1.2, 0.95, 0.7}, {1.3, 1, 0.8}},
        LimitCase{"FewUrgent", {1, 0, 99}, {1.2, 0.9, 0.98}, {1.3, 1, 1}},
        LimitCase{"UrgentBurst", {99, 1, 1}, {1.2, 0.95, 0.7}, {1.3, 1, 0.8}}),
    [](const auto& test) { return std::string(test.param.name); });

// Guards against places that stay reserved after the urgent calls have ended.
TEST(RankLimitsPauseTest, ReserveEndsWithUrgentCalls) {
  RankLimits limits;
  const kernel::Time now = Feed(limits, kStart, milliseconds(3000), {2, 0, 2});
  EXPECT_LT(limits.PlacesShare(2), 0.95);
  Feed(limits, now, milliseconds(5000), {0, 0, 2});
  EXPECT_GT(limits.PlacesShare(2), 0.98);
}

// Guards against rates from before a pause that still count after it.
TEST(RankLimitsPauseTest, PauseForgetsRates) {
  RankLimits limits;
  kernel::Time now = Feed(limits, kStart, milliseconds(3000), {2, 0, 2});
  now += milliseconds(60000);
  Feed(limits, now, milliseconds(1000), {0, 0, 2});
  EXPECT_GT(limits.PlacesShare(2), 0.98);
}

// Guards against a reserve by a rank that came once, in all later time.
TEST(RankLimitsPauseTest, OneUrgentCallReservesLittle) {
  RankLimits limits;
  limits.OnArrived(kStart, 0);
  Feed(limits, kStart, milliseconds(5000), {0, 0, 2});
  EXPECT_GT(limits.PlacesShare(2), 0.98);
}

// Guards against reserves for ranks of which no call comes any more.
TEST(RankLimitsPauseTest, EndedRanksReserveNothing) {
  RankLimits limits;
  const kernel::Time now =
      Feed(limits, kStart, milliseconds(3000), {2, 2, 2, 2, 2, 2, 2, 2});
  Feed(limits, now, milliseconds(10000), {0, 0, 0, 0, 0, 0, 2, 2});
  EXPECT_GE(limits.PlacesShare(6), 1);
  EXPECT_GE(limits.PlacesShare(7), 0.75);
}

// Guards against a last rank that is never served where a configuration has
// many.
TEST(RankLimitsPauseTest, LastOfManyRanksKeepsPlaces) {
  RankLimits limits;
  Feed(limits, kStart, milliseconds(3000), std::vector<int>(20, 1));
  EXPECT_GE(limits.PlacesShare(19), 0.25);
}

}  // namespace
}  // namespace radishrudder::admission
