#include "radishrudder/routing/load_view.h"

#include <gtest/gtest.h>

#include "tests/routing/routing_fixtures.h"

namespace radishrudder::routing {
namespace {

LoadReport Report(std::uint32_t calls, std::int64_t measured_ms) {
  return {.running = calls, .capacity = 8, .measured_at = At(measured_ms)};
}

class LoadViewTest : public testing::Test {
 protected:
  LoadViewTest() : m_view(Settings()) {
    m_view.Add(0);
    m_view.Add(1);
  }

  // The half-life is so long that reports keep their weight in these tests.
  static LoadSettings Settings() {
    return {.report_half_life = std::chrono::hours(1'000)};
  }

  double EstimateCalls(std::int64_t now_ms, Slot slot = 0) {
    m_view.Refresh(At(now_ms));
    return m_view.EstimatedCalls(At(now_ms), slot);
  }

  LoadView m_view;
};

TEST_F(LoadViewTest, AddsLocalCallsSentAfterTheReport) {
  m_view.OnReport(At(100), 0, Report(3, 0));
  m_view.OnStarted(At(50), 0);
  m_view.OnStarted(At(110), 0);
  EXPECT_NEAR(EstimateCalls(120), 5, 0.01);
}

TEST_F(LoadViewTest, CountsLocalCallsIncludedInALateReportOnce) {
  m_view.OnStarted(At(10), 0);
  m_view.OnStarted(At(60), 0);
  // The report was measured at 50 and includes only the first call.
  m_view.OnReport(At(100), 0, Report(3, 50));
  EXPECT_NEAR(EstimateCalls(100), 4, 0.01);
}

TEST_F(LoadViewTest, SubtractsLocalCallsEndedAfterTheReport) {
  m_view.OnStarted(At(10), 0);
  m_view.OnEnded(At(60), 0);
  m_view.OnReport(At(100), 0, Report(3, 50));
  EXPECT_NEAR(EstimateCalls(100), 2, 0.01);
}

TEST_F(LoadViewTest, UsesTheNewerOfResponseLoadAndReport) {
  m_view.OnResponseLoad(At(100), 0, Report(6, 0), std::chrono::milliseconds(2));
  m_view.OnReport(At(110), 0, Report(1, 20));
  EXPECT_NEAR(EstimateCalls(110), 6, 0.01);
}

TEST_F(LoadViewTest, IgnoresARepeatedReportWithoutMeasurementTime) {
  const LoadReport report{.running = 3, .capacity = 8};
  m_view.OnReport(At(300), 0, report);
  m_view.OnStarted(At(310), 0);
  m_view.OnReport(At(900), 0, report);
  EXPECT_NEAR(EstimateCalls(900), 4, 0.01);
}

TEST_F(LoadViewTest, IgnoresTheEndOfACallThatNeverStarted) {
  m_view.OnEnded(At(10), 0);
  EXPECT_EQ(m_view.LocalCalls(0), 0U);
}

TEST_F(LoadViewTest, NewRunStartsWithoutCalls) {
  m_view.OnStarted(At(10), 0);
  m_view.OnReport(At(30), 0, Report(7, 20));
  m_view.Add(0);
  EXPECT_EQ(EstimateCalls(40), 0);
}

TEST_F(LoadViewTest, UsesDefaultCapacityWhenNoneIsReported) {
  m_view.SetDefaultCapacity(6);
  m_view.OnReport(At(0), 0, Report(1, 0));
  m_view.OnReport(At(0), 1, {.running = 1});
  EXPECT_EQ(m_view.Capacity(0), 8);
  EXPECT_EQ(m_view.Capacity(1), 6);
}

TEST(LoadViewDecayTest, OldReportDecaysToTheMeanLoad) {
  LoadView view({.report_half_life = std::chrono::seconds(1)});
  view.Add(0);
  view.Add(1);
  view.OnReport(At(0), 0, Report(0, 0));
  view.OnReport(At(20'000), 1, Report(6, 20'000));
  view.Refresh(At(20'000));
  EXPECT_NEAR(view.EstimatedCalls(At(20'000), 0), 6, 0.1);
}

TEST(LoadViewDecayTest, EndpointWithoutReportHasTheMeanLoad) {
  LoadView view({});
  view.Add(0);
  view.Add(1);
  view.OnReport(At(0), 1, Report(4, 0));
  view.Refresh(At(0));
  // The default capacity is 1.
  EXPECT_NEAR(view.EstimatedCalls(At(0), 0), 0.5, 0.01);
}

}  // namespace
}  // namespace radishrudder::routing
