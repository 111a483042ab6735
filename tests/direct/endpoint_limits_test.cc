// Which limit of an endpoint holds, as entries tell each other of them.
#include "radishrudder/direct/endpoint_limits.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <initializer_list>
#include <string>
#include <vector>

namespace radishrudder::direct {
namespace {

using std::chrono::milliseconds;

constexpr kernel::Time kStart{std::chrono::hours(1)};
constexpr routing::EndpointRun kRun{"i-1", 7};

EndpointLimit Told(std::optional<double> limit, kernel::Time named_at) {
  return {"i-1", 7, limit, named_at};
}

TEST(EndpointLimitsTest, EndsWhenAnAnswerNamesNone) {
  EndpointLimits limits("entry-1");
  EXPECT_FALSE(limits.OnNamed(kStart, kRun, std::nullopt));
  EXPECT_TRUE(limits.OnNamed(kStart, kRun, 2));
  EXPECT_FALSE(limits.OnNamed(kStart + milliseconds(5), kRun, 2));
  EXPECT_TRUE(limits.OnNamed(kStart + milliseconds(9), kRun, std::nullopt));
  EXPECT_EQ(limits.Revision(), 2U);
}

struct MergeCase {
  const char* name;
  std::optional<double> known;
  std::optional<double> told;
  milliseconds told_later_by;
  std::optional<double> expected;
};

class MergeTest : public testing::TestWithParam<MergeCase> {};

// Guards against an older report replacing what a later answer said.
TEST_P(MergeTest, LatestAnswerHolds) {
  EndpointLimits limits("entry-1");
  limits.OnNamed(kStart - milliseconds(1000), kRun, 9);
  limits.OnNamed(kStart, kRun, GetParam().known);
  const std::initializer_list<EndpointLimit> told{
      Told(GetParam().told, kStart + GetParam().told_later_by)};
  limits.Merge(kStart + milliseconds(2000), told);
  EXPECT_EQ(limits.Known().front().requests_per_second, GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    MergeTest,
    testing::Values(
        MergeCase{"Lower", 4, 1, milliseconds(50), 1},
        MergeCase{"Older", 4, 1, milliseconds(-50), 4},
        MergeCase{"Ended", 4, std::nullopt, milliseconds(50), std::nullopt},
        MergeCase{"OlderThanItsEnd", std::nullopt, 4, milliseconds(-50),
                  std::nullopt},
        MergeCase{"NamedAgain", std::nullopt, 4, milliseconds(50), 4}),
    [](const auto& test) { return std::string(test.param.name); });

// Guards against the date of a limit creeping forward while entries tell each
// other of it: it would outlive the answer that ended it.
TEST(EndpointLimitsTest, RepeatedReportsDoNotRenewALimit) {
  EndpointLimits first("entry-1");
  EndpointLimits second("entry-2");
  first.OnNamed(kStart, kRun, 1);
  kernel::Time now = kStart;
  for (int i = 0; i < 1000; ++i) {
    now += milliseconds(5);
    // Each report is dated by the clock of its receiver, 5 ms later.
    std::vector<EndpointLimit> told = first.Known();
    told.front().named_at += milliseconds(5);
    second.Merge(now, told);
    told = second.Known();
    told.front().named_at += milliseconds(5);
    first.Merge(now, told);
  }
  EXPECT_LE(first.Known().front().named_at, kStart + milliseconds(100));
  EXPECT_EQ(first.Revision(), 1U);
}

// Guards against all entries sending a request to an endpoint in need at the
// moment at which they learn of its limit, and then none for seconds, in which
// nobody would notice that the limit has ended.
TEST(EndpointLimitsTest, RequestsOfEntriesAlternate) {
  constexpr std::size_t kEntries = 4;
  std::vector<EndpointLimits> entries;
  for (std::size_t i = 0; i < kEntries; ++i) {
    entries.emplace_back("entry-" + std::to_string(i));
    for (std::size_t other = 0; other < kEntries; ++other) {
      entries.back().OnEntry(kStart, "entry-" + std::to_string(other));
    }
  }
  std::vector<kernel::Time> available;
  for (EndpointLimits& limits : entries) {
    const std::initializer_list<EndpointLimit> told{Told(1, kStart)};
    limits.Merge(kStart, told);
    available.push_back(limits.AvailableAt(kStart, kRun));
  }
  std::ranges::sort(available);
  for (std::size_t i = 1; i < kEntries; ++i) {
    EXPECT_GE(available[i] - available[i - 1], milliseconds(900));
    EXPECT_LE(available[i] - available[i - 1], milliseconds(1300));
  }
}

TEST(EndpointLimitsTest, ForgetsWhatNobodyNamesAnyMore) {
  EndpointLimits limits("entry-1");
  limits.OnNamed(kStart, kRun, 1);
  limits.OnTick(kStart + std::chrono::minutes(9));
  EXPECT_FALSE(limits.IsEmpty());
  limits.OnTick(kStart + std::chrono::minutes(10));
  EXPECT_TRUE(limits.IsEmpty());
}

}  // namespace
}  // namespace radishrudder::direct
