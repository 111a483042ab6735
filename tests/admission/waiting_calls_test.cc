#include "radishrudder/admission/waiting_calls.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

namespace radishrudder::admission {
namespace {

using std::chrono::milliseconds;

constexpr kernel::Time kNow{std::chrono::hours(1)};

struct Arrival {
  std::uint32_t rank;
  double cost;
  const char* workspace;
};

struct OrderCase {
  const char* name;
  std::vector<Arrival> arrivals;       // Ids are 1, 2, ...
  std::vector<std::uint64_t> removed;  // After all have arrived.
  std::vector<std::uint64_t> order;    // In which the others are sent.
};

WaitingCall MakeCall(std::uint64_t id, const Arrival& arrival) {
  return {.id = id,
          .rank = arrival.rank,
          .cost = arrival.cost,
          .workspace = arrival.workspace,
          .give_up = kNow + milliseconds(100)};
}

std::vector<std::uint64_t> SendAll(WaitingCalls& calls) {
  std::vector<std::uint64_t> sent;
  while (!calls.IsEmpty()) {
    sent.push_back(calls.InOrder().front());
    calls.OnSent(sent.back());
  }
  return sent;
}

class OrderTest : public testing::TestWithParam<OrderCase> {};

// Guards against an urgent call that waits behind less urgent ones, and against
// a workspace that delays others by sending much.
TEST_P(OrderTest, SendsInOrder) {
  WaitingCalls calls;
  std::uint64_t id = 0;
  for (const Arrival& arrival : GetParam().arrivals) {
    calls.Add(MakeCall(++id, arrival));
  }
  for (const std::uint64_t removed : GetParam().removed) {
    EXPECT_TRUE(calls.Remove(removed));
  }
  EXPECT_EQ(calls.Size(), GetParam().order.size());
  EXPECT_EQ(SendAll(calls), GetParam().order);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    OrderTest,
    testing::Values(
        OrderCase{"ArrivalAmongEqualWork",
                  {{0, 1, "a"}, {0, 1, "b"}, {0, 1, "c"}},
                  {},
                  {1, 2, 3}},
        OrderCase{"RankBeforeArrival",
                  {{2, 1, "a"}, {1, 1, "b"}, {0, 1, "c"}},
                  {},
                  {3, 2, 1}},
        OrderCase{"RankBeforeWork",
                  {{1, 1, "a"}, {0, 9, "b"}, {0, 9, "b"}},
                  {},
                  {2, 3, 1}},
        OrderCase{"ManyCallsDelayOnlyTheirWorkspace",
                  {{0, 1, "a"},
                   {0, 1, "a"},
                   {0, 1, "a"},
                   {0, 1, "a"},
                   {0, 1, "b"},
                   {0, 1, "b"}},
                  {},
                  {1, 5, 2, 6, 3, 4}},
        OrderCase{
            "WorkCountsByCost",
            {{0, 3, "a"}, {0, 3, "a"}, {0, 1, "b"}, {0, 1, "b"}, {0, 1, "b"}},
            {},
            {1, 3, 4, 5, 2}},
        OrderCase{"RanksCountWorkSeparately",
                  {{0, 9, "a"}, {1, 1, "a"}, {1, 1, "b"}},
                  {},
                  {1, 2, 3}},
        OrderCase{"NegativeCostIsNoAdvantage",
                  {{0, -5, "a"}, {0, -5, "a"}, {0, 1, "b"}},
                  {},
                  {1, 3, 2}},
        OrderCase{"RemovedCallsOfOthers",
                  {{0, 1, "a"}, {0, 1, "b"}, {0, 1, "a"}},
                  {2},
                  {1, 3}},
        OrderCase{"RemovedCallsOfTheSameWorkspace",
                  {{0, 1, "a"},
                   {0, 1, "a"},
                   {0, 1, "a"},
                   {0, 1, "a"},
                   {0, 1, "b"},
                   {0, 1, "b"}},
                  {1, 2, 3},
                  {4, 5, 6}}),
    [](const auto& test) { return std::string(test.param.name); });

// Guards against a workspace that pays for calls of which the callers left.
TEST(WaitingCallsTest, RemovedCallsCostNothing) {
  WaitingCalls calls;
  std::uint64_t id = 0;
  for (int i = 0; i < 10; ++i) {
    calls.Add(MakeCall(++id, {0, 1, "a"}));
    EXPECT_TRUE(calls.Remove(id));
  }
  calls.Add(MakeCall(100, {0, 1, "a"}));
  calls.Add(MakeCall(101, {0, 1, "b"}));
  EXPECT_EQ(SendAll(calls), (std::vector<std::uint64_t>{100, 101}));
}

// Guards against a workspace that overtakes others by withdrawing calls: a
// removal must not refund work that other calls have had.
TEST(WaitingCallsTest, RemovalRefundsNoWorkThatWasDone) {
  WaitingCalls calls;
  calls.Add(MakeCall(1, {0, 4, "a"}));
  calls.Add(MakeCall(2, {0, 4, "a"}));
  calls.OnSent(1);
  EXPECT_TRUE(calls.Remove(2));
  calls.Add(MakeCall(3, {0, 4, "a"}));
  calls.Add(MakeCall(4, {0, 4, "b"}));
  EXPECT_EQ(SendAll(calls), (std::vector<std::uint64_t>{4, 3}));
}

// Guards against a workspace that saves up a claim while it sends nothing.
TEST(WaitingCallsTest, IdleTimeEarnsNothing) {
  WaitingCalls calls;
  std::uint64_t id = 0;
  for (int i = 0; i < 20; ++i) {
    calls.Add(MakeCall(++id, {0, 1, "a"}));
  }
  for (int i = 0; i < 20; ++i) {
    calls.OnSent(calls.InOrder().front());
  }
  for (int i = 0; i < 3; ++i) {
    calls.Add(MakeCall(++id, {0, 1, "a"}));
    calls.Add(MakeCall(++id, {0, 1, "b"}));
  }
  const std::vector<std::uint64_t> sent = SendAll(calls);
  const auto from_a = [&sent](std::size_t count) {
    std::size_t found = 0;
    for (std::size_t i = 0; i < count; ++i) {
      found += sent[i] % 2;  // 21, 23 and 25.
    }
    return found;
  };
  EXPECT_GE(from_a(4), 1U);
}

TEST(WaitingCallsTest, ExpiresOnTimeAndChargesNothing) {
  WaitingCalls calls;
  for (std::uint64_t id = 1; id <= 3; ++id) {
    WaitingCall call = MakeCall(id, {0, 5, "a"});
    call.give_up = kNow + milliseconds(100 * id);
    calls.Add(call);
  }
  EXPECT_TRUE(calls.TakeExpired(kNow + milliseconds(99)).empty());
  const auto expired = calls.TakeExpired(kNow + milliseconds(200));
  ASSERT_EQ(expired.size(), 2U);
  EXPECT_EQ(expired[0].id, 1U);
  EXPECT_EQ(expired[1].id, 2U);
  EXPECT_TRUE(calls.TakeExpired(kNow + milliseconds(200)).empty());
  EXPECT_EQ(calls.InOrder(), std::vector<std::uint64_t>{3});
}

TEST(WaitingCallsTest, UnknownCallsAreIgnored) {
  WaitingCalls calls;
  calls.Add(MakeCall(1, {0, 1, "a"}));
  calls.OnSent(2);
  EXPECT_FALSE(calls.Remove(2));
  EXPECT_EQ(calls.Size(), 1U);
}

TEST(WaitingCallsTest, CountsRanksUpTo) {
  WaitingCalls calls;
  calls.Add(MakeCall(1, {0, 1, "a"}));
  calls.Add(MakeCall(2, {2, 1, "a"}));
  calls.Add(MakeCall(3, {2, 1, "b"}));
  EXPECT_EQ(calls.CountUpTo(0), 1U);
  EXPECT_EQ(calls.CountUpTo(1), 1U);
  EXPECT_EQ(calls.CountUpTo(2), 3U);
}

// Guards against state for each workspace ever seen. Its size shows in no
// accessor, but a workspace that is forgotten too early, while its calls wait,
// is one that can be served out of turn.
TEST(WaitingCallsTest, ManyWorkspacesDoNotReplaceThoseThatWait) {
  WaitingCalls calls;
  calls.Add(MakeCall(1, {0, 1, "a"}));
  calls.Add(MakeCall(2, {0, 1, "a"}));
  for (std::uint64_t id = 10; id < 2010; ++id) {
    const std::string workspace = "w" + std::to_string(id);
    calls.Add(MakeCall(id, {0, 1, workspace.c_str()}));
    EXPECT_TRUE(calls.Remove(id));
  }
  calls.Add(MakeCall(3, {0, 1, "a"}));
  calls.Add(MakeCall(4, {0, 1, "b"}));
  EXPECT_EQ(SendAll(calls), (std::vector<std::uint64_t>{1, 4, 2, 3}));
}

}  // namespace
}  // namespace radishrudder::admission
