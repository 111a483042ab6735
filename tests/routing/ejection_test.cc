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

  // Time from `now` to the end of the slot's ejection.
  kernel::Duration Left(std::int64_t now_ms, Slot slot) {
    return m_ejection.EjectedUntil(slot) - At(now_ms);
  }

  Ejection m_ejection;
  kernel::Random m_random{5};
};

TEST_F(EjectionTest, EjectsAfterFailuresInARow) {
  Fail(0, 0, 2);
  EXPECT_TRUE(m_ejection.Admits(At(0), 0));
  Fail(0, 0, 1);
  EXPECT_FALSE(m_ejection.Admits(At(0), 0));
}

TEST_F(EjectionTest, ASuccessBetweenFailuresKeepsTheEndpoint) {
  Fail(0, 0, 2);
  m_ejection.OnSucceeded(At(0), 0);
  Fail(0, 0, 2);
  EXPECT_TRUE(m_ejection.Admits(At(0), 0));
}

TEST_F(EjectionTest, EjectsAnEndpointThatFailsMostAttempts) {
  for (int i = 0; i < 40 && !m_ejection.IsEjected(0); ++i) {
    Fail(0, 0, 2);
    m_ejection.OnSucceeded(At(0), 0);
  }
  EXPECT_TRUE(m_ejection.IsEjected(0));
}

TEST_F(EjectionTest, KeepsTheFloorWhenAllFail) {
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

TEST_F(EjectionTest, LetsOneProbeThroughAtATime) {
  Fail(0, 0, 3);
  const std::int64_t later_ms = 60'000;
  ASSERT_TRUE(m_ejection.Admits(At(later_ms), 0));
  m_ejection.OnSent(At(later_ms), 0);
  EXPECT_FALSE(m_ejection.Admits(At(later_ms), 0));
  m_ejection.OnUndecided(0);
  EXPECT_TRUE(m_ejection.Admits(At(later_ms), 0));
}

TEST_F(EjectionTest, AProbeThatSucceedsEndsTheEjection) {
  Fail(0, 0, 3);
  m_ejection.OnSent(At(60'000), 0);
  m_ejection.OnSucceeded(At(60'100), 0);
  EXPECT_FALSE(m_ejection.IsEjected(0));
  EXPECT_EQ(m_ejection.FailureShare(0), 0);
}

TEST_F(EjectionTest, ALateSuccessOfBeforeDoesNotEndTheEjection) {
  Fail(0, 0, 3);
  m_ejection.OnSucceeded(At(10), 0);
  EXPECT_TRUE(m_ejection.IsEjected(0));
}

TEST_F(EjectionTest, EachEjectionLastsLongerUpToTheLimit) {
  const EjectionSettings settings;
  Fail(0, 0, 3);
  kernel::Duration time = Left(0, 0);
  EXPECT_GE(time, settings.first_time);
  std::int64_t now_ms = 0;
  for (int i = 0; i < 10; ++i) {
    now_ms += 100'000;
    Fail(now_ms, 0, 1);
    EXPECT_GE(Left(now_ms, 0), std::min(time, settings.longest_time));
    EXPECT_LE(Left(now_ms, 0), settings.longest_time * 3 / 2);
    time = Left(now_ms, 0);
  }
  EXPECT_GE(time, settings.longest_time);
}

TEST_F(EjectionTest, ForgetsOldEjections) {
  Fail(0, 0, 3);
  m_ejection.OnSent(At(60'000), 0);
  m_ejection.OnSucceeded(At(60'000), 0);
  Fail(3'600'000, 0, 3);
  EXPECT_LT(Left(3'600'000, 0), EjectionSettings().first_time * 2);
}

}  // namespace
}  // namespace radishrudder::routing
