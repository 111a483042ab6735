#include "radishrudder/routing/ejection.h"

#include <gtest/gtest.h>

#include "tests/routing/routing_fixtures.h"

namespace radishrudder::routing {
namespace {

class EjectionTest : public testing::Test {
 protected:
  EjectionTest() : m_ejection({}) {
    for (Slot slot = 0; slot < 4; ++slot) {
      m_ejection.Add(slot);
    }
  }

  void Fail(std::int64_t now_ms, Slot slot, int times) {
    for (int i = 0; i < times; ++i) {
      m_ejection.OnSent(At(now_ms), slot);
      m_ejection.OnFailed(At(now_ms), slot, m_random);
    }
  }

  // Returns the time from `now_ms` until a probe of the endpoint is due.
  kernel::Duration RemainingEjection(std::int64_t now_ms, Slot slot) {
    return m_ejection.EjectedUntil(slot) - At(now_ms);
  }

  Ejection m_ejection;
  kernel::Random m_random{5};
};

TEST_F(EjectionTest, EjectsAfterConsecutiveFailures) {
  Fail(0, 0, 2);
  EXPECT_TRUE(m_ejection.Admits(At(0), 0));
  Fail(0, 0, 1);
  EXPECT_FALSE(m_ejection.Admits(At(0), 0));
}

TEST_F(EjectionTest, SuccessResetsConsecutiveFailures) {
  Fail(0, 0, 2);
  m_ejection.OnSucceeded(At(0), 0);
  Fail(0, 0, 2);
  EXPECT_TRUE(m_ejection.Admits(At(0), 0));
}

TEST_F(EjectionTest, EjectsAtHighFailureRate) {
  for (int i = 0; i < 40 && !m_ejection.IsEjected(0); ++i) {
    Fail(0, 0, 2);
    m_ejection.OnSucceeded(At(0), 0);
  }
  EXPECT_TRUE(m_ejection.IsEjected(0));
}

TEST_F(EjectionTest, EjectsAtMostTheMaximumFractionWhenAllFail) {
  std::size_t ejected = 0;
  for (Slot slot = 0; slot < 4; ++slot) {
    Fail(0, slot, 50);
    ejected += m_ejection.IsEjected(slot) ? 1 : 0;
  }
  EXPECT_EQ(ejected, 2U);
}

TEST_F(EjectionTest, NeverEjectsTheOnlyEndpoint) {
  for (Slot slot = 1; slot < 4; ++slot) {
    m_ejection.Remove(slot);
  }
  Fail(0, 0, 50);
  EXPECT_TRUE(m_ejection.Admits(At(0), 0));
}

TEST_F(EjectionTest, AdmitsOneProbeAtATime) {
  Fail(0, 0, 3);
  const std::int64_t later_ms = 60'000;
  ASSERT_TRUE(m_ejection.Admits(At(later_ms), 0));
  m_ejection.OnSent(At(later_ms), 0);
  EXPECT_FALSE(m_ejection.Admits(At(later_ms), 0));
  m_ejection.OnInconclusive(0);
  EXPECT_TRUE(m_ejection.Admits(At(later_ms), 0));
}

TEST_F(EjectionTest, SuccessfulProbeEndsTheEjection) {
  Fail(0, 0, 3);
  m_ejection.OnSent(At(60'000), 0);
  m_ejection.OnSucceeded(At(60'100), 0);
  EXPECT_FALSE(m_ejection.IsEjected(0));
  EXPECT_EQ(m_ejection.FailureRate(0), 0);
}

TEST_F(EjectionTest, SuccessOfACallSentBeforeTheEjectionDoesNotEndIt) {
  Fail(0, 0, 3);
  m_ejection.OnSucceeded(At(10), 0);
  EXPECT_TRUE(m_ejection.IsEjected(0));
}

TEST_F(EjectionTest, EjectionDurationGrowsUpToTheMaximum) {
  const EjectionSettings settings;
  Fail(0, 0, 3);
  kernel::Duration previous = RemainingEjection(0, 0);
  EXPECT_GE(previous, settings.initial_duration);
  std::int64_t now_ms = 0;
  for (int i = 0; i < 10; ++i) {
    now_ms += 100'000;
    Fail(now_ms, 0, 1);
    EXPECT_GE(RemainingEjection(now_ms, 0),
              std::min(previous, settings.maximum_duration));
    EXPECT_LE(RemainingEjection(now_ms, 0), settings.maximum_duration * 3 / 2);
    previous = RemainingEjection(now_ms, 0);
  }
  EXPECT_GE(previous, settings.maximum_duration);
}

TEST_F(EjectionTest, ResetsTheDurationAfterALongTimeWithoutFailures) {
  Fail(0, 0, 3);
  m_ejection.OnSent(At(60'000), 0);
  m_ejection.OnSucceeded(At(60'000), 0);
  Fail(3'600'000, 0, 3);
  EXPECT_LT(RemainingEjection(3'600'000, 0),
            EjectionSettings().initial_duration * 2);
}

}  // namespace
}  // namespace radishrudder::routing
