// A version comes to every endpoint whole, whatever the origin, the staging
// area and the processes do.
#include <gtest/gtest.h>

#include "tests/staging/stager_fleet.h"

namespace radishrudder::staging {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kInstances = 8;
constexpr std::uint64_t kPieces = 16;

class StagerTest : public testing::TestWithParam<std::uint64_t> {
 protected:
  // A fleet that knows version 1 and rests.
  StagerTest() : m_fleet(kInstances, GetParam()) {
    m_fleet.Declare(1, /*just_now=*/false);
    m_fleet.Run(milliseconds(3000));
  }

  void ExpectAllLoaded(std::uint64_t version) {
    for (std::size_t i = 0; i < kInstances; ++i) {
      EXPECT_TRUE(m_fleet.LoadedWhole(i, version))
          << i << ": " << m_fleet.Explain(i);
    }
  }

  StagerFleet m_fleet;
};

TEST_P(StagerTest, FirstVersionNeedsNoOrder) {
  for (std::size_t i = 0; i < kInstances; ++i) {
    EXPECT_TRUE(m_fleet.Endpoint(i).order_times.empty());
  }
  EXPECT_EQ(m_fleet.OriginPieces(), 0U);
}

TEST_P(StagerTest, DeclaredVersionReachesAllForOneCopy) {
  m_fleet.Declare(2, /*just_now=*/true);
  ASSERT_TRUE(m_fleet.RunUntilAll(2, milliseconds(8000)));
  ExpectAllLoaded(2);
  EXPECT_LE(m_fleet.OriginPieces(), kPieces * 11 / 10);
}

// Loading takes an endpoint out of service: no two thirds at once.
TEST_P(StagerTest, EndpointsChangeOneAfterTheOther) {
  m_fleet.Declare(2, /*just_now=*/true);
  std::size_t most = 0;
  for (int step = 0; step < 160; ++step) {
    m_fleet.Run(milliseconds(50));
    std::size_t busy = 0;
    for (std::size_t i = 0; i < kInstances; ++i) {
      busy += m_fleet.Endpoint(i).busy ? 1 : 0;
    }
    most = std::max(most, busy);
  }
  EXPECT_LE(most, kInstances / 3);
  ExpectAllLoaded(2);
}

// Seen on the first day: instances that are added hold nothing, and no version
// is declared before the first change.
TEST_P(StagerTest, EmptyEndpointGetsTheVersionFromTheOthers) {
  const std::size_t added = m_fleet.Add();
  m_fleet.Declare(1, /*just_now=*/false);
  ASSERT_TRUE(m_fleet.RunUntilAll(1, milliseconds(4000)))
      << m_fleet.Explain(added);
  EXPECT_TRUE(m_fleet.LoadedWhole(added, 1));
  EXPECT_EQ(m_fleet.OriginPieces(), 0U);
}

// Seen on the platform: what a new staging area does not hold was told as
// damage, and its repair came first.
TEST_P(StagerTest, EndpointThatComesUpLateIsFilledAtOnce) {
  const std::size_t added = m_fleet.Add(/*reachable=*/false);
  m_fleet.Declare(1, /*just_now=*/false);
  m_fleet.Run(milliseconds(1500));
  m_fleet.Endpoint(added).reachable = true;
  ASSERT_TRUE(m_fleet.RunUntilAll(1, milliseconds(1500)))
      << m_fleet.Explain(added);
  EXPECT_TRUE(m_fleet.LoadedWhole(added, 1));
  EXPECT_EQ(m_fleet.OriginPieces(), 0U);
  EXPECT_EQ(m_fleet.Repairs(), 0U);
}

TEST_P(StagerTest, PieceThatTurnsBadIsRepairedBeforeTheOrder) {
  m_fleet.Declare(2, /*just_now=*/true);
  m_fleet.Run(milliseconds(2400));
  for (std::size_t i = 0; i < kInstances; ++i) {
    m_fleet.Endpoint(i).staged[i] = "rotten";
  }
  ASSERT_TRUE(m_fleet.RunUntilAll(2, milliseconds(8000)));
  ExpectAllLoaded(2);
}

TEST_P(StagerTest, SpoiltAnswersOfTheOriginAreNeverStaged) {
  m_fleet.SpoilEvery(5);
  m_fleet.Declare(2, /*just_now=*/true);
  ASSERT_TRUE(m_fleet.RunUntilAll(2, milliseconds(10000)));
  ExpectAllLoaded(2);
  EXPECT_LE(m_fleet.OriginPieces(), 2 * kPieces);
}

// Seen with two versions in quick succession while the origin was down.
TEST_P(StagerTest, OriginThatWasAwayIsUsedSoonAfterItsReturn) {
  m_fleet.Declare(2, /*just_now=*/true);
  m_fleet.Run(milliseconds(20));
  m_fleet.SetOrigin(false);
  m_fleet.Declare(3, /*just_now=*/true);
  m_fleet.Run(milliseconds(6000));
  m_fleet.SetOrigin(true);
  ASSERT_TRUE(m_fleet.RunUntilAll(3, milliseconds(4000)));
  ExpectAllLoaded(3);
}

// Seen on the platform: the first of two versions was nearly here when the
// second was declared and the origin went away. Until it came back, neither was
// loaded, and what ran was too old to serve.
TEST_P(StagerTest, FirstOfTwoVersionsServesWhileTheSecondCannotCome) {
  m_fleet.Declare(2, /*just_now=*/true);
  m_fleet.Run(milliseconds(2000));
  m_fleet.SetOrigin(false);
  m_fleet.Declare(3, /*just_now=*/true);
  ASSERT_TRUE(m_fleet.RunUntilAll(2, milliseconds(5000)));
  ExpectAllLoaded(2);
  m_fleet.SetOrigin(true);
  ASSERT_TRUE(m_fleet.RunUntilAll(3, milliseconds(4000)));
  ExpectAllLoaded(3);
}

// The turns of the second version begin before those of the first that is left
// out: no endpoint loads twice while the origin answers.
TEST_P(StagerTest, FirstOfTwoVersionsIsLeftOutIfTheSecondComes) {
  m_fleet.Declare(2, /*just_now=*/true);
  m_fleet.Run(milliseconds(2000));
  m_fleet.Declare(3, /*just_now=*/true);
  ASSERT_TRUE(m_fleet.RunUntilAll(3, milliseconds(8000)));
  ExpectAllLoaded(3);
  for (std::size_t i = 0; i < kInstances; ++i) {
    EXPECT_EQ(m_fleet.Endpoint(i).order_times.size(), 1U);
  }
}

// An order without an answer may have begun: the report decides, and a second
// order would be refused by its precondition.
TEST_P(StagerTest, UnansweredOrderIsReadBack) {
  for (std::size_t i = 0; i < kInstances; ++i) {
    m_fleet.Endpoint(i).answers_orders = false;
  }
  m_fleet.Declare(2, /*just_now=*/true);
  ASSERT_TRUE(m_fleet.RunUntilAll(2, milliseconds(10000)));
  for (std::size_t i = 0; i < kInstances; ++i) {
    EXPECT_EQ(m_fleet.Endpoint(i).order_times.size(), 1U);
  }
}

TEST_P(StagerTest, RestartedEndpointIsFilledAtOnce) {
  m_fleet.Declare(2, /*just_now=*/true);
  ASSERT_TRUE(m_fleet.RunUntilAll(2, milliseconds(8000)));
  FakeEndpoint& endpoint = m_fleet.Endpoint(3);
  endpoint.started = 2;
  endpoint.version = 0;
  endpoint.orders = 0;
  endpoint.staged.clear();
  ASSERT_TRUE(m_fleet.RunUntilAll(2, milliseconds(3000))) << m_fleet.Explain(3);
  EXPECT_TRUE(m_fleet.LoadedWhole(3, 2));
}

// Seen on a day that ends with all processes killed: what lies staged is used.
TEST_P(StagerTest, RestartedProcessUsesWhatIsStaged) {
  m_fleet.Declare(2, /*just_now=*/true);
  ASSERT_TRUE(m_fleet.RunUntilAll(2, milliseconds(8000)));
  const std::size_t before = m_fleet.OriginPieces();
  m_fleet.SetOrigin(true);
  m_fleet.Endpoint(0).version = 1;
  m_fleet.RestartStager(0, 2);
  ASSERT_TRUE(m_fleet.RunUntilAll(2, milliseconds(6000))) << m_fleet.Explain(0);
  EXPECT_EQ(m_fleet.OriginPieces(), before);
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         StagerTest,
                         testing::Values(1, 2, 3, 4),
                         testing::PrintToStringParamName());

}  // namespace
}  // namespace radishrudder::staging
