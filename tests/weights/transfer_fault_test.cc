#include <gtest/gtest.h>

#include "tests/weights/transfer_fixture.h"

namespace radishrudder::weights {
namespace {

using std::chrono::seconds;

using TransferFaultTest = TransferFleetTest;

bool InRegion(const std::string& instance, std::string_view region) {
  return instance.starts_with(region);
}

TEST_P(TransferFaultTest, InstanceDiesWithHalfTheChunks) {
  m_fleet.WantEverywhere({m_digest});
  ASSERT_TRUE(RunUntilHalf("r1-1"));
  m_fleet.Kill("r1-1");
  m_fleet.Kill("r2-2");
  EXPECT_TRUE(m_fleet.RunToCompletion(seconds(60), m_digest));
  EXPECT_LE(m_fleet.Copies(Source::kOrigin, m_digest),
            kMaximumCopiesWithFaults);
}

TEST_P(TransferFaultTest, DeathIsLearnedFromTheInstanceList) {
  m_fleet.WantEverywhere({m_digest});
  ASSERT_TRUE(RunUntilHalf("r1-1"));
  m_fleet.Kill("r1-1");
  m_fleet.Kill("r3-0");
  m_fleet.TellPeers();
  EXPECT_TRUE(m_fleet.RunToCompletion(seconds(60), m_digest));
  EXPECT_LE(m_fleet.Copies(Source::kOrigin, m_digest),
            kMaximumCopiesWithFaults);
}

TEST_P(TransferFaultTest, SenderThatStallsIsPassedOver) {
  m_fleet.withheld = [](const auto& from) {
    return from == "r1-2" || from == "r2-0";
  };
  m_fleet.WantEverywhere({m_digest});
  EXPECT_TRUE(m_fleet.RunToCompletion(seconds(120), m_digest));
  EXPECT_LE(m_fleet.Copies(Source::kOrigin, m_digest),
            kMaximumCopiesWithFaults);
}

TEST_P(TransferFaultTest, CorruptedChunksAreFetchedAgain) {
  kernel::Random random(static_cast<std::uint64_t>(GetParam()));
  m_fleet.corrupted = [&random](const auto& from) {
    return random.Chance(0.05);
  };
  m_fleet.WantEverywhere({m_digest});
  EXPECT_TRUE(m_fleet.RunToCompletion(seconds(120), m_digest));
  EXPECT_LE(m_fleet.Copies(Source::kOrigin, m_digest),
            kMaximumCopiesWithFaults);
}

TEST_P(TransferFaultTest, SenderThatCorruptsAlwaysLosesTrust) {
  m_fleet.corrupted = [](const auto& from) { return from == "r1-0"; };
  m_fleet.WantEverywhere({m_digest});
  EXPECT_TRUE(m_fleet.RunToCompletion(seconds(120), m_digest));
  EXPECT_GT(m_fleet.Rejections("r1-0"), 0U);
  // Eleven others each reject a few before they stop asking, and what was
  // asked for by then.
  constexpr std::uint64_t kMaximumForEach = 6;
  EXPECT_LE(m_fleet.Rejections("r1-0"), 11 * kMaximumForEach);
}

TEST_P(TransferFaultTest, OriginIsDownMidway) {
  m_fleet.WantEverywhere({m_digest});
  ASSERT_TRUE(m_fleet.Run(seconds(30), [&] {
    return m_fleet.Copies(Source::kOrigin, m_digest) > 0.4;
  }));
  m_fleet.served = [](const auto& instance, Source source) { return false; };
  EXPECT_FALSE(m_fleet.RunToCompletion(seconds(20), m_digest));
  EXPECT_EQ(m_fleet.CompleteCount(m_digest), 0U);
  m_fleet.served = [](const auto& instance, Source source) {
    return source == Source::kOrigin;
  };
  EXPECT_TRUE(m_fleet.RunToCompletion(seconds(60), m_digest));
  EXPECT_LE(m_fleet.Copies(Source::kOrigin, m_digest),
            kMaximumCopiesWithFaults);
}

TEST_P(TransferFaultTest, StoreStandsInForTheOriginWithinItsLimit) {
  // The store answers two chunks a second at most, and refuses the others.
  std::uint64_t refused = 0;
  kernel::Time next{};
  m_fleet.served = [&](const auto& instance, Source source) {
    if (source == Source::kOrigin) {
      return false;
    }
    if (m_fleet.Now() < next) {
      ++refused;
      return false;
    }
    next = m_fleet.Now() + std::chrono::milliseconds(500);
    return true;
  };
  m_fleet.WantEverywhere({m_digest});
  EXPECT_TRUE(m_fleet.RunToCompletion(seconds(600), m_digest));
  EXPECT_LE(m_fleet.Copies(Source::kStore, m_digest), kMaximumCopiesWithFaults);
  // Backoff keeps refusals to a few for each chunk.
  EXPECT_LE(refused, 10 * kChunks);
}

TEST_P(TransferFaultTest, RevisionChangesMidTransfer) {
  const std::string next =
      m_fleet.Publish("next.bin", MakeBytes(8), kChunkBytes);
  m_fleet.WantEverywhere({m_digest});
  ASSERT_TRUE(RunUntilHalf("r2-1"));
  m_fleet.WantEverywhere({next});
  EXPECT_TRUE(m_fleet.RunToCompletion(seconds(60), next));
  EXPECT_EQ(m_fleet.CompleteCount(m_digest), 0U);
  EXPECT_LE(m_fleet.Copies(Source::kOrigin, next), kMaximumCopies);
}

TEST_P(TransferFaultTest, LateJoinerTakesFromNeighbours) {
  m_fleet.WantEverywhere({m_digest});
  ASSERT_TRUE(m_fleet.RunToCompletion(seconds(30), m_digest));
  m_fleet.Add("r1-9");
  m_fleet.Add("r2-9");
  m_fleet.TellPeers();
  m_fleet.Want("r1-9", {m_digest});
  m_fleet.Want("r2-9", {m_digest});
  EXPECT_TRUE(m_fleet.RunToCompletion(seconds(30), m_digest));
  EXPECT_LE(m_fleet.Copies(Source::kOrigin, m_digest), kMaximumCopies);
}

TEST_P(TransferFaultTest, PartitionThatHealsEndsInCompletion) {
  const auto cut = [](const std::string& one, const std::string& other) {
    return InRegion(one, "r2") != InRegion(other, "r2");
  };
  m_fleet.WantEverywhere({m_digest});
  ASSERT_TRUE(RunUntilHalf("r2-0"));
  m_fleet.lost = cut;
  m_fleet.served = [](const auto& instance, Source source) {
    return source == Source::kOrigin && !InRegion(instance, "r2");
  };
  EXPECT_FALSE(m_fleet.RunToCompletion(seconds(30), m_digest));
  EXPECT_EQ(m_fleet.CompleteCount(m_digest), 8U);
  m_fleet.lost = [](const auto&, const auto&) { return false; };
  m_fleet.served = [](const auto&, Source source) {
    return source == Source::kOrigin;
  };
  EXPECT_TRUE(m_fleet.RunToCompletion(seconds(60), m_digest));
  EXPECT_LE(m_fleet.Copies(Source::kOrigin, m_digest),
            kMaximumCopiesWithFaults);
}

TEST_P(TransferFaultTest, RegionCutOffFromTheOthersUsesTheOrigin) {
  m_fleet.lost = [](const auto& one, const auto& other) {
    return InRegion(one, "r2") != InRegion(other, "r2");
  };
  m_fleet.WantEverywhere({m_digest});
  EXPECT_TRUE(m_fleet.RunToCompletion(seconds(120), m_digest));
  EXPECT_LE(m_fleet.Copies(Source::kOrigin, m_digest), 2 * kMaximumCopies);
}

TEST_P(TransferFaultTest, OnlyAnotherRegionReachesTheOrigin) {
  m_fleet.served = [](const auto& instance, Source source) {
    return source == Source::kOrigin && InRegion(instance, "r3");
  };
  m_fleet.WantEverywhere({m_digest});
  EXPECT_TRUE(m_fleet.RunToCompletion(seconds(600), m_digest));
}

TEST_P(TransferFaultTest, AgentPausesForTenSeconds) {
  m_fleet.WantEverywhere({m_digest});
  ASSERT_TRUE(RunUntilHalf("r1-1"));
  m_fleet.Pause("r1-1", seconds(10));
  m_fleet.Pause("r2-1", seconds(10));
  EXPECT_TRUE(m_fleet.RunToCompletion(seconds(60), m_digest));
  EXPECT_LE(m_fleet.Copies(Source::kOrigin, m_digest),
            kMaximumCopiesWithFaults);
}

TEST_P(TransferFaultTest, LostMessagesDelayButDoNotStop) {
  kernel::Random random(static_cast<std::uint64_t>(GetParam()));
  m_fleet.lost = [&random](const auto&, const auto&) {
    return random.Chance(0.1);
  };
  m_fleet.WantEverywhere({m_digest});
  EXPECT_TRUE(m_fleet.RunToCompletion(seconds(120), m_digest));
  EXPECT_LE(m_fleet.Copies(Source::kOrigin, m_digest),
            kMaximumCopiesWithFaults);
}

INSTANTIATE_TEST_SUITE_P(Seeds, TransferFaultTest, testing::Range(1, 6));

}  // namespace
}  // namespace radishrudder::weights
