#include "radishrudder/routing/work_view.h"

#include <gtest/gtest.h>

#include "tests/routing/routing_fixtures.h"

namespace radishrudder::routing {
namespace {

constexpr Slot kSlot = 0;
constexpr Slot kOther = 1;
constexpr double kTokensPerEvent = 5;

class WorkViewTest : public testing::Test {
 protected:
  WorkViewTest() {
    m_view.Add(kSlot);
    m_view.Add(kOther);
  }

  EndpointWork WorkAt(std::int64_t now_ms, Slot slot = kSlot) {
    m_view.Refresh(At(now_ms));
    return m_view.WorkAt(At(now_ms), slot, 3, 12);
  }

  void Report(std::int64_t measured_ms, Slot slot, double pace) {
    m_view.OnMeasured(At(measured_ms), slot, {.pace = pace});
  }

  WorkView m_view;
};

TEST_F(WorkViewTest, SplitsCallsIntoRunningAndWaiting) {
  const EndpointWork work = m_view.WorkAt(At(0), kSlot, 15, 12);
  EXPECT_EQ(work.running, 12);
  EXPECT_EQ(work.waiting, 3);
}

TEST_F(WorkViewTest, FollowsOwnCalls) {
  m_view.OnStarted(kSlot, 1, {1'000, 100, 200});
  m_view.OnStarted(kSlot, 2, {400, 50, 60});
  EXPECT_EQ(WorkAt(0).own_calls, 2);
  EXPECT_EQ(WorkAt(0).own_unread_prompt_tokens, 1'400);
  EXPECT_EQ(WorkAt(0).own_remaining_answer_tokens, 150);
  EXPECT_EQ(WorkAt(0).own_largest_tokens, 1'200);
  m_view.OnProgress(kSlot, 1, 4, kTokensPerEvent);
  EXPECT_EQ(WorkAt(0).own_unread_prompt_tokens, 400);
  EXPECT_EQ(WorkAt(0).own_remaining_answer_tokens, 140);
  m_view.OnEnded(kSlot, 1);
  EXPECT_EQ(WorkAt(0).own_calls, 1);
  EXPECT_EQ(WorkAt(0).own_largest_tokens, 460);
}

// Guards against a call that counts as finished because its answer is longer
// than expected.
TEST_F(WorkViewTest, CallsLongerThanExpectedStillHaveWork) {
  m_view.OnStarted(kSlot, 1, {1'000, 100, 200});
  m_view.OnProgress(kSlot, 1, 24, kTokensPerEvent);
  EXPECT_EQ(WorkAt(0).own_remaining_answer_tokens, 40);
  m_view.OnProgress(kSlot, 1, 100, kTokensPerEvent);
  EXPECT_GT(WorkAt(0).own_remaining_answer_tokens, 0);
}

TEST_F(WorkViewTest, IgnoresUnknownAndRepeatedCalls) {
  m_view.OnProgress(kSlot, 9, 4, kTokensPerEvent);
  m_view.OnEnded(kSlot, 9);
  m_view.OnStarted(kSlot, 1, {1'000, 100, 200});
  m_view.OnStarted(kSlot, 1, {1'000, 100, 200});
  EXPECT_EQ(WorkAt(0).own_calls, 1);
  EXPECT_EQ(WorkAt(0, kOther).own_calls, 0);
}

TEST_F(WorkViewTest, ANewRunHasNoWork) {
  m_view.OnStarted(kSlot, 1, {1'000, 100, 200});
  Report(0, kSlot, 2);
  m_view.Add(kSlot);
  EXPECT_EQ(WorkAt(0).own_calls, 0);
  EXPECT_EQ(WorkAt(0).pace, 1);
}

TEST_F(WorkViewTest, PaceIsUsualWithoutReports) {
  EXPECT_EQ(WorkAt(0).pace, 1);
  EXPECT_LT(WorkAt(0).report_age_s, 0);
}

TEST_F(WorkViewTest, OldAndUnknownPaceTendsToTheMeanOfFreshOnes) {
  Report(0, kSlot, 4);
  EXPECT_NEAR(WorkAt(0).pace, 4, 1e-9);
  EXPECT_NEAR(WorkAt(0, kOther).pace, 4, 1e-9);
  Report(3'000, kOther, 1);
  EXPECT_NEAR(WorkAt(3'000).pace, 1, 0.02);
  EXPECT_NEAR(WorkAt(3'000, kOther).pace, 1, 0.02);
  EXPECT_NEAR(WorkAt(3'000).report_age_s, 3, 1e-9);
}

TEST_F(WorkViewTest, ForgetsThePaceWhenAllReportsAreOld) {
  Report(0, kSlot, 4);
  Report(0, kOther, 4);
  EXPECT_NEAR(WorkAt(60'000).pace, 1, 1e-9);
}

TEST_F(WorkViewTest, IgnoresAnOlderReport) {
  Report(1'000, kSlot, 2);
  Report(500, kSlot, 8);
  EXPECT_NEAR(WorkAt(1'000).pace, 2, 1e-9);
}

// Guards against a repeated list entry that makes an old pace look fresh.
TEST_F(WorkViewTest, IgnoresRepetitionsOfAReportWithoutTime) {
  m_view.OnReport(At(1'000), kSlot, {.running = 2, .pace = 3});
  EXPECT_NEAR(WorkAt(1'000).report_age_s, 0.25, 1e-9);
  m_view.OnReport(At(2'000), kSlot, {.running = 2, .pace = 3});
  EXPECT_NEAR(WorkAt(2'000).report_age_s, 1.25, 1e-9);
  m_view.OnReport(At(2'000), kSlot, {.running = 3, .pace = 3});
  EXPECT_NEAR(WorkAt(2'000).report_age_s, 0.25, 1e-9);
}

TEST_F(WorkViewTest, IgnoresAbsentAndAbsurdPaces) {
  Report(0, kSlot, 2);
  m_view.OnReport(At(1), kSlot, {});
  Report(2, kSlot, 0);
  Report(3, kSlot, -1);
  Report(4, kSlot, 101);
  EXPECT_NEAR(WorkAt(4).pace, 2, 1e-9);
}

}  // namespace
}  // namespace radishrudder::routing
