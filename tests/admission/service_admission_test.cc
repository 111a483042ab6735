#include "radishrudder/admission/service_admission.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>

namespace radishrudder::admission {
namespace {

using std::chrono::milliseconds;

constexpr kernel::Time kStart{std::chrono::hours(1)};
constexpr std::uint64_t kFirstWaiting = 1000000;

struct WaitCase {
  const char* name;
  int places_per_second;  // That calls found until now; 0: unknown.
  std::size_t waiting;    // Calls of rank 0 that wait already.
  std::uint32_t rank;     // Of the call.
  milliseconds age;       // Since it was received.
  milliseconds target;    // 0: none.
  milliseconds time;      // From its arrival to its deadline.
  bool waits;
};

kernel::Time FindPlaces(ServiceAdmission& admission, int per_second) {
  kernel::Time now = kStart;
  if (per_second == 0) {
    return now;
  }
  const milliseconds interval(1000 / per_second);
  for (; now < kStart + milliseconds(5000); now += interval) {
    admission.OnSent(now, 1);
  }
  return now;
}

class TryWaitTest : public testing::TestWithParam<WaitCase> {};

// Guards against calls that wait in vain, and against calls that are refused
// although a place comes in time.
TEST_P(TryWaitTest, WaitsOnlyIfPlaceIsExpectedInTime) {
  const WaitCase& test = GetParam();
  ServiceAdmission admission;
  const kernel::Time now = FindPlaces(admission, test.places_per_second);
  admission.OnFirstByte(milliseconds(100));
  for (std::size_t i = 0; i < test.waiting; ++i) {
    ASSERT_TRUE(
        admission.TryWait(now, {.id = kFirstWaiting + i,
                                .received = now,
                                .deadline = now + milliseconds(60000),
                                .latency_target = milliseconds(60000)}));
  }
  const UnplacedCall call{.id = 2,
                          .rank = test.rank,
                          .received = now - test.age,
                          .deadline = now - test.age + test.time,
                          .latency_target = test.target};
  EXPECT_EQ(admission.TryWait(now, call), test.waits);
  EXPECT_EQ(admission.Waiting().Size(), test.waiting + (test.waits ? 1 : 0));
}

constexpr milliseconds kNone{0};
constexpr milliseconds kLong{6000};

INSTANTIATE_TEST_SUITE_P(
    All,
    TryWaitTest,
    testing::Values(WaitCase{"PlaceInTime", 50, 0, 0, kNone, milliseconds(400),
                             kLong, true},
                    WaitCase{"TooManyAhead", 50, 20, 0, kNone,
                             milliseconds(400), kLong, false},
                    WaitCase{"LongerTargetBehindTheSame", 50, 20, 0, kNone,
                             milliseconds(1000), kLong, true},
                    WaitCase{"PlacesTooRare", 2, 0, 0, kNone, milliseconds(400),
                             kLong, false},
                    WaitCase{"TargetPassed", 50, 0, 0, milliseconds(350),
                             milliseconds(400), kLong, false},
                    WaitCase{"TargetBelowFirstByte", 50, 0, 0, kNone,
                             milliseconds(80), kLong, false},
                    WaitCase{"DeadlineBeforeTarget", 50, 4, 0, kNone,
                             milliseconds(400), milliseconds(50), false},
                    WaitCase{"DeadlinePassed", 50, 0, 0, milliseconds(100),
                             milliseconds(400), milliseconds(100), false},
                    WaitCase{"NoTarget", 50, 0, 0, kNone, kNone, kLong, true},
                    WaitCase{"NoTargetPartOfTimePassed", 50, 0, 0,
                             milliseconds(700), kNone, kLong, false},
                    WaitCase{"UnknownRateFirst", 0, 0, 0, kNone,
                             milliseconds(400), kLong, true},
                    WaitCase{"UnknownRateThird", 0, 2, 0, kNone,
                             milliseconds(400), kLong, false}),
    [](const auto& test) { return std::string(test.param.name); });

// Guards against an urgent call that is refused because of less urgent ones.
TEST(ServiceAdmissionTest, LessUrgentCallsDelayNoUrgentOne) {
  ServiceAdmission admission;
  const kernel::Time now = FindPlaces(admission, 50);
  for (std::uint64_t id = 1; id <= 200; ++id) {
    ASSERT_TRUE(
        admission.TryWait(now, {.id = kFirstWaiting + id,
                                .rank = 2,
                                .received = now,
                                .deadline = now + milliseconds(60000),
                                .latency_target = milliseconds(60000)}));
  }
  EXPECT_TRUE(admission.TryWait(now, {.id = 2,
                                      .rank = 0,
                                      .received = now,
                                      .deadline = now + kLong,
                                      .latency_target = milliseconds(400)}));
}

// Guards against waiting calls without bound, and against urgent calls that are
// refused because less urgent ones take all the room.
TEST(ServiceAdmissionTest, BoundIsKeptAndLeavesRoomForUrgentCalls) {
  ServiceAdmission admission;
  const kernel::Time now = FindPlaces(admission, 500);
  UnplacedCall call{.rank = 2,
                    .received = now,
                    .deadline = now + milliseconds(60000),
                    .latency_target = milliseconds(60000)};
  for (std::uint64_t id = 1; id <= 5000; ++id) {
    call.id = kFirstWaiting + id;
    admission.TryWait(now, call);
  }
  EXPECT_LE(admission.Waiting().Size(), 256U);
  EXPECT_TRUE(admission.TryWait(now, {.id = 2,
                                      .rank = 0,
                                      .received = now,
                                      .deadline = now + kLong,
                                      .latency_target = milliseconds(400)}));
}

// Guards against calls that wait at a rate that ended long ago.
TEST(ServiceAdmissionTest, RateDecaysWhilePlacesDoNotComeFree) {
  ServiceAdmission admission;
  const kernel::Time now = FindPlaces(admission, 50) + milliseconds(5000);
  EXPECT_GT(admission.ExpectedWait(now, 0), milliseconds(300));
}

// Guards against a rate that is taken from a window which began with the clock:
// all calls are refused after the first one was sent.
TEST(ServiceAdmissionTest, RateIsUnknownAfterFirstPlace) {
  ServiceAdmission admission;
  admission.OnSent(kStart, 1);
  EXPECT_TRUE(admission.TryWait(kStart, {.id = 2,
                                         .received = kStart,
                                         .deadline = kStart + kLong,
                                         .latency_target = milliseconds(400)}));
}

TEST(ServiceAdmissionTest, ExpiresWhenTargetIsOutOfReach) {
  ServiceAdmission admission;
  const kernel::Time now = FindPlaces(admission, 50);
  admission.OnFirstByte(milliseconds(100));
  ASSERT_TRUE(admission.TryWait(now, {.id = 2,
                                      .received = now,
                                      .deadline = now + kLong,
                                      .latency_target = milliseconds(400)}));
  EXPECT_TRUE(admission.TakeExpired(now + milliseconds(299)).empty());
  EXPECT_EQ(admission.TakeExpired(now + milliseconds(300)).size(), 1U);
}

}  // namespace
}  // namespace radishrudder::admission
