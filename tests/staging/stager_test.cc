// Tests that every endpoint loads each version completely despite failures of
// the origin, the staging areas, the endpoints and the stagers.
#include <gtest/gtest.h>

#include "tests/staging/stager_fleet.h"

namespace radishrudder::staging {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kInstances = 8;
constexpr std::uint64_t kPieces = 16;

class StagerTest : public testing::TestWithParam<std::uint64_t> {
 protected:
  // All endpoints run version 1, and nothing is in progress.
  StagerTest() : m_fleet(kInstances, GetParam()) {
    m_fleet.DeclareVersion(1, /*newly_declared=*/false);
    m_fleet.Run(milliseconds(3000));
  }

  void ExpectAllLoaded(std::uint64_t version) {
    for (std::size_t i = 0; i < kInstances; ++i) {
      EXPECT_TRUE(m_fleet.LoadedCompletely(i, version))
          << i << ": " << m_fleet.Explain(i);
    }
  }

  StagerFleet m_fleet;
};

TEST_P(StagerTest, SendsNoOrderWhenEndpointsRunTheDeclaredVersion) {
  for (std::size_t i = 0; i < kInstances; ++i) {
    EXPECT_TRUE(m_fleet.Endpoint(i).order_times.empty());
  }
  EXPECT_EQ(m_fleet.OriginPieceCount(), 0U);
}

TEST_P(StagerTest, DeploysWithAboutOneCopyFromTheOrigin) {
  m_fleet.DeclareVersion(2, /*newly_declared=*/true);
  ASSERT_TRUE(m_fleet.RunUntilAllOn(2, milliseconds(8000)));
  ExpectAllLoaded(2);
  EXPECT_LE(m_fleet.OriginPieceCount(), kPieces * 11 / 10);
}

// An endpoint that loads does not serve, so at most a third load at once.
TEST_P(StagerTest, LimitsConcurrentLoadsToAThird) {
  m_fleet.DeclareVersion(2, /*newly_declared=*/true);
  std::size_t maximum_busy = 0;
  for (int step = 0; step < 160; ++step) {
    m_fleet.Run(milliseconds(50));
    std::size_t busy = 0;
    for (std::size_t i = 0; i < kInstances; ++i) {
      busy += m_fleet.Endpoint(i).busy ? 1 : 0;
    }
    maximum_busy = std::max(maximum_busy, busy);
  }
  EXPECT_LE(maximum_busy, kInstances / 3);
  ExpectAllLoaded(2);
}

// Guards against a fleet that loads all at once and serves nobody meanwhile:
// the pieces arrived only after most turns had started, because the origin was
// slow.
TEST(StagerTurnTest, SpreadsTurnsOverTheTimeLeftAfterALateTransfer) {
  constexpr std::size_t kFleet = 64;
  // The version of 2 MB takes at least 3 s of the 6.2 s until the last turn.
  StagerFleet fleet({.instances = kFleet,
                     .seed = 5,
                     .regions = 3,
                     .origin_bytes_per_second = 0.7e6});
  fleet.DeclareVersion(1, /*newly_declared=*/false);
  fleet.Run(milliseconds(3000));
  fleet.DeclareVersion(2, /*newly_declared=*/true);
  std::size_t maximum_busy = 0;
  for (int step = 0; step < 160; ++step) {
    fleet.Run(milliseconds(50));
    std::size_t busy = 0;
    for (std::size_t i = 0; i < kFleet; ++i) {
      busy += fleet.Endpoint(i).busy ? 1 : 0;
    }
    maximum_busy = std::max(maximum_busy, busy);
  }
  EXPECT_LE(maximum_busy, kFleet / 3);
  for (std::size_t i = 0; i < kFleet; ++i) {
    EXPECT_TRUE(fleet.LoadedCompletely(i, 2)) << fleet.Explain(i);
  }
}

// Guards against an added instance that stays empty: its endpoint has no model,
// and no version is newly declared before the first change.
TEST_P(StagerTest, AddedInstanceReceivesVersionFromOtherInstances) {
  const std::size_t added = m_fleet.AddInstance();
  m_fleet.DeclareVersion(1, /*newly_declared=*/false);
  ASSERT_TRUE(m_fleet.RunUntilAllOn(1, milliseconds(4000)))
      << m_fleet.Explain(added);
  EXPECT_TRUE(m_fleet.LoadedCompletely(added, 1));
  EXPECT_EQ(m_fleet.OriginPieceCount(), 0U);
}

// Guards against pieces missing from a new staging area being reported as
// corrupted and repaired before the endpoint is filled.
TEST_P(StagerTest, EndpointThatBecomesReachableLateLoadsAtOnce) {
  const std::size_t added = m_fleet.AddInstance(/*reachable=*/false);
  m_fleet.DeclareVersion(1, /*newly_declared=*/false);
  m_fleet.Run(milliseconds(1500));
  m_fleet.Endpoint(added).reachable = true;
  ASSERT_TRUE(m_fleet.RunUntilAllOn(1, milliseconds(1500)))
      << m_fleet.Explain(added);
  EXPECT_TRUE(m_fleet.LoadedCompletely(added, 1));
  EXPECT_EQ(m_fleet.OriginPieceCount(), 0U);
  EXPECT_EQ(m_fleet.RepairCount(), 0U);
}

TEST_P(StagerTest, RepairsCorruptedStagedPieceBeforeTheOrder) {
  m_fleet.DeclareVersion(2, /*newly_declared=*/true);
  m_fleet.Run(milliseconds(2400));
  for (std::size_t i = 0; i < kInstances; ++i) {
    m_fleet.Endpoint(i).staged[i] = "corrupt";
  }
  ASSERT_TRUE(m_fleet.RunUntilAllOn(2, milliseconds(8000)));
  ExpectAllLoaded(2);
}

TEST_P(StagerTest, RejectsCorruptedPiecesFromTheOrigin) {
  m_fleet.CorruptEveryNthOriginPiece(5);
  m_fleet.DeclareVersion(2, /*newly_declared=*/true);
  ASSERT_TRUE(m_fleet.RunUntilAllOn(2, milliseconds(10000)));
  ExpectAllLoaded(2);
  EXPECT_LE(m_fleet.OriginPieceCount(), 2 * kPieces);
}

// Guards against a long delay after an origin outage during which a second
// version is declared shortly after the first.
TEST_P(StagerTest, ResumesSoonAfterOriginRecovers) {
  m_fleet.DeclareVersion(2, /*newly_declared=*/true);
  m_fleet.Run(milliseconds(20));
  m_fleet.SetOriginAvailable(false);
  m_fleet.DeclareVersion(3, /*newly_declared=*/true);
  m_fleet.Run(milliseconds(6000));
  m_fleet.SetOriginAvailable(true);
  ASSERT_TRUE(m_fleet.RunUntilAllOn(3, milliseconds(4000)));
  ExpectAllLoaded(3);
}

// Guards against endpoints that stay on a version too old to serve: the origin
// fails when a second version is declared and the first is almost complete.
// Neither was loaded until the origin recovered.
TEST_P(StagerTest, LoadsInterimVersionWhileOriginIsUnavailable) {
  m_fleet.DeclareVersion(2, /*newly_declared=*/true);
  m_fleet.Run(milliseconds(2000));
  m_fleet.SetOriginAvailable(false);
  m_fleet.DeclareVersion(3, /*newly_declared=*/true);
  ASSERT_TRUE(m_fleet.RunUntilAllOn(2, milliseconds(5000)));
  ExpectAllLoaded(2);
  m_fleet.SetOriginAvailable(true);
  ASSERT_TRUE(m_fleet.RunUntilAllOn(3, milliseconds(4000)));
  ExpectAllLoaded(3);
}

// While the origin is available, the turns of the second version start before
// the interim version becomes due, so no endpoint loads twice.
TEST_P(StagerTest, SkipsSupersededVersionWhileOriginIsAvailable) {
  m_fleet.DeclareVersion(2, /*newly_declared=*/true);
  m_fleet.Run(milliseconds(2000));
  m_fleet.DeclareVersion(3, /*newly_declared=*/true);
  ASSERT_TRUE(m_fleet.RunUntilAllOn(3, milliseconds(8000)));
  ExpectAllLoaded(3);
  for (std::size_t i = 0; i < kInstances; ++i) {
    EXPECT_EQ(m_fleet.Endpoint(i).order_times.size(), 1U);
  }
}

// An order without a response may have been accepted. The endpoint's report
// decides; the precondition would make the endpoint refuse a second order.
TEST_P(StagerTest, ReadsReportAfterOrderWithoutResponse) {
  for (std::size_t i = 0; i < kInstances; ++i) {
    m_fleet.Endpoint(i).responds_to_orders = false;
  }
  m_fleet.DeclareVersion(2, /*newly_declared=*/true);
  ASSERT_TRUE(m_fleet.RunUntilAllOn(2, milliseconds(10000)));
  for (std::size_t i = 0; i < kInstances; ++i) {
    EXPECT_EQ(m_fleet.Endpoint(i).order_times.size(), 1U);
  }
}

TEST_P(StagerTest, ReloadsRestartedEndpointAtOnce) {
  m_fleet.DeclareVersion(2, /*newly_declared=*/true);
  ASSERT_TRUE(m_fleet.RunUntilAllOn(2, milliseconds(8000)));
  FakeEndpoint& endpoint = m_fleet.Endpoint(3);
  endpoint.started_at_ms = 2;
  endpoint.version = 0;
  endpoint.accepted_orders = 0;
  endpoint.staged.clear();
  ASSERT_TRUE(m_fleet.RunUntilAllOn(2, milliseconds(3000)))
      << m_fleet.Explain(3);
  EXPECT_TRUE(m_fleet.LoadedCompletely(3, 2));
}

// Guards against fetching pieces from the origin again after the process was
// killed and restarted: the pieces in the staging area are used.
TEST_P(StagerTest, RestartedStagerUsesStagedPieces) {
  m_fleet.DeclareVersion(2, /*newly_declared=*/true);
  ASSERT_TRUE(m_fleet.RunUntilAllOn(2, milliseconds(8000)));
  const std::size_t origin_pieces_before_restart = m_fleet.OriginPieceCount();
  m_fleet.SetOriginAvailable(true);
  m_fleet.Endpoint(0).version = 1;
  m_fleet.RestartStager(0, 2);
  ASSERT_TRUE(m_fleet.RunUntilAllOn(2, milliseconds(6000)))
      << m_fleet.Explain(0);
  EXPECT_EQ(m_fleet.OriginPieceCount(), origin_pieces_before_restart);
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         StagerTest,
                         testing::Values(1, 2, 3, 4),
                         testing::PrintToStringParamName());

}  // namespace
}  // namespace radishrudder::staging
