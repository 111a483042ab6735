#include "radishrudder/weights/transfer.h"

#include <gtest/gtest.h>

#include "tests/weights/transfer_fixture.h"

namespace radishrudder::weights {
namespace {

using std::chrono::seconds;

using TransferTest = TransferFleetTest;

TEST_P(TransferTest, DeliversVersionWithAboutOneCopyFromOrigin) {
  m_fleet.WantEverywhere({m_digest});
  EXPECT_TRUE(m_fleet.RunToCompletion(seconds(30), m_digest));
  EXPECT_LE(m_fleet.Copies(Source::kOrigin, m_digest), kMaximumCopies);
  EXPECT_EQ(m_fleet.Copies(Source::kStore, m_digest), 0);
}

TEST_P(TransferTest, ChunksOfAnotherVersionAreNotFetchedAgain) {
  std::string changed = m_bytes;
  changed.back() = static_cast<char>(changed.back() ^ 1);
  const std::string next = m_fleet.Publish("model-2.bin", changed, kChunkBytes);
  m_fleet.WantEverywhere({m_digest});
  ASSERT_TRUE(m_fleet.RunToCompletion(seconds(30), m_digest));
  m_fleet.WantEverywhere({next, m_digest});
  EXPECT_TRUE(m_fleet.RunToCompletion(seconds(30), next));
  EXPECT_LE(m_fleet.Copies(Source::kOrigin, next), kMaximumCopies / kChunks);
  EXPECT_LE(m_fleet.Core("r2-1").Progress(next).peer_bytes, kChunkBytes);
}

TEST_P(TransferTest, VersionsWantedTogetherShareTheirChunks) {
  const std::string next = m_fleet.Publish("renamed.bin", m_bytes, kChunkBytes);
  m_fleet.WantEverywhere({next, m_digest});
  EXPECT_TRUE(m_fleet.RunToCompletion(seconds(30), m_digest));
  EXPECT_TRUE(m_fleet.RunToCompletion(seconds(30), next));
  EXPECT_LE(m_fleet.Copies(Source::kOrigin, next) +
                m_fleet.Copies(Source::kOrigin, m_digest),
            kMaximumCopies);
}

TEST_P(TransferTest, DefersVersionThatExceedsStagingMemory) {
  TransferFleet fleet(static_cast<std::uint64_t>(GetParam()));
  fleet.settings.maximum_staged_bytes = m_bytes.size() * 3 / 2;
  fleet.Add("r1-0");
  fleet.DistributePeers();
  const std::string first = fleet.Publish("a.bin", m_bytes, kChunkBytes);
  const std::string second = fleet.Publish("b.bin", MakeBytes(8), kChunkBytes);
  fleet.SetWantedVersions("r1-0", {first, second});
  EXPECT_TRUE(fleet.RunToCompletion(seconds(30), first));
  EXPECT_FALSE(fleet.RunToCompletion(seconds(30), second));
  EXPECT_EQ(fleet.Core("r1-0").Progress(second).chunks_present, 0U);
  fleet.SetWantedVersions("r1-0", {second});
  EXPECT_TRUE(fleet.RunToCompletion(seconds(30), second));
}

TEST_P(TransferTest, CallPressureSlowsTransfersDown) {
  m_fleet.WantEverywhere({m_digest});
  const kernel::Time start = m_fleet.Now();
  ASSERT_TRUE(m_fleet.RunToCompletion(seconds(300), m_digest));
  const kernel::Duration time_without_pressure = m_fleet.Now() - start;

  const std::string next =
      m_fleet.Publish("next.bin", MakeBytes(9), kChunkBytes);
  for (const std::string region : {"r1", "r2", "r3"}) {
    for (const std::string number : {"-0", "-1", "-2", "-3"}) {
      m_fleet.Core(region + number).SetCallPressure(0.75);
    }
  }
  const kernel::Time pressure_start = m_fleet.Now();
  m_fleet.WantEverywhere({next});
  ASSERT_TRUE(m_fleet.RunToCompletion(seconds(300), next));
  EXPECT_GT(m_fleet.Now() - pressure_start, 2 * time_without_pressure);
}

TEST_P(TransferTest, FetchesChunksDirectlyFromOriginAtFullSpeed) {
  for (const std::string region : {"r1", "r2", "r3"}) {
    for (const std::string number : {"-0", "-1", "-2", "-3"}) {
      m_fleet.Core(region + number).SetSpeed(1);
    }
  }
  m_fleet.WantEverywhere({m_digest});
  EXPECT_TRUE(m_fleet.RunToCompletion(seconds(30), m_digest));
  // About half of the chunks enter each of the other regions from the origin.
  EXPECT_GT(m_fleet.Copies(Source::kOrigin, m_digest), 1.5);
}

TEST(TransferFileDigestTest, FileDigestMismatchIsNotReportedAsComplete) {
  TransferFleet fleet(1);
  fleet.Add("r1-0");
  fleet.DistributePeers();
  const std::string digest =
      fleet.PublishWithWrongFileDigest("a.bin", MakeBytes(1));
  fleet.SetWantedVersions("r1-0", {digest});
  EXPECT_FALSE(fleet.RunToCompletion(seconds(30), digest));
  EXPECT_EQ(fleet.Core("r1-0").Progress(digest).chunks_present, kChunks);
  EXPECT_EQ(fleet.Rejections("manifest"), 1U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, TransferTest, testing::Range(1, 6));

}  // namespace
}  // namespace radishrudder::weights
