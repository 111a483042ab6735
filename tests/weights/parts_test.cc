#include <gtest/gtest.h>

#include <algorithm>

#include "radishrudder/weights/chunk_bitmap.h"
#include "radishrudder/weights/duty_table.h"
#include "radishrudder/weights/neighbour_rings.h"
#include "radishrudder/weights/selector.h"
#include "radishrudder/weights/source_schedule.h"
#include "radishrudder/weights/trust_table.h"
#include "radishrudder/weights/upload_queue.h"

namespace radishrudder::weights {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr kernel::Time kStart{std::chrono::hours(1)};
constexpr std::uint32_t kNeighbours = 6;

std::vector<TransferPeer> MakePeers(std::size_t count) {
  std::vector<TransferPeer> peers;
  for (std::size_t i = 0; i < count; ++i) {
    peers.push_back({"instance-" + std::to_string(i), "a", "a", true});
  }
  return peers;
}

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

TEST(DutyTableTest, InstancesAgreeAndFailureMovesOnlyDutiesOfFailedInstance) {
  std::vector<TransferPeer> peers = MakePeers(20);
  DutyTable first("instance-0", "a", "a");
  DutyTable second("instance-1", "a", "a");
  first.SetPeers(peers);
  second.SetPeers(peers);
  DutyTable after("instance-0", "a", "a");
  peers[7].alive = false;
  after.SetPeers(peers);
  for (std::uint64_t key = 0; key < 200; ++key) {
    const auto order = first.RankedInstances("a", key, 2);
    EXPECT_EQ(order, second.RankedInstances("a", key, 2));
    const bool failed = order[0] == "instance-7";
    EXPECT_EQ(after.RankedInstances("a", key, 1)[0], order[failed ? 1 : 0]);
    EXPECT_EQ(first.LocalRank(key) == 0, order[0] == "instance-0");
  }
}

TEST(NeighbourRingsTest, NeighbourRelationIsSymmetric) {
  const std::vector<TransferPeer> peers = MakePeers(30);
  for (const TransferPeer& one : peers) {
    const auto neighbours = ChooseNeighbours(one, peers, kNeighbours);
    EXPECT_LE(neighbours.size(), kNeighbours);
    for (const TransferPeer& other : peers) {
      const auto back = ChooseNeighbours(other, peers, kNeighbours);
      EXPECT_EQ(Contains(neighbours, other.instance),
                Contains(back, one.instance));
    }
  }
}

TEST(ChunkBitmapTest, RoundTripsAndRefusesBytesOfAnotherSize) {
  ChunkBitmap bitmap(70);
  bitmap.Set(0);
  bitmap.Set(69);
  const auto parsed = ChunkBitmap::FromBytes(bitmap.ToBytes(), 70);
  ASSERT_TRUE(parsed);
  EXPECT_EQ(parsed->Count(), 2U);
  EXPECT_TRUE(parsed->Test(69));
  EXPECT_FALSE(ChunkBitmap::FromBytes(bitmap.ToBytes(), 64));
  EXPECT_FALSE(ChunkBitmap::FromBytes(bitmap.ToBytes(), 69));
  EXPECT_FALSE(parsed->Test(1000));
}

struct SelectorCase {
  std::string name;
  std::vector<std::uint32_t> expected;  // Indices that may be selected.
};

class SelectorTest : public testing::TestWithParam<SelectorCase> {};

TEST_P(SelectorTest, SelectsOnlyExpectedCandidates) {
  const ChunkSelector selector = FindSelector(GetParam().name);
  ASSERT_TRUE(selector);
  const std::vector<ChunkCandidate> candidates = {{4, 3}, {5, 1}, {6, 1}};
  kernel::Random random(1);
  std::vector<std::uint32_t> seen;
  for (int i = 0; i < 100; ++i) {
    seen.push_back(candidates[selector(candidates, random)].index);
  }
  std::sort(seen.begin(), seen.end());
  seen.erase(std::unique(seen.begin(), seen.end()), seen.end());
  EXPECT_EQ(seen, GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(Selectors,
                         SelectorTest,
                         testing::Values(SelectorCase{"rarest-first", {5, 6}},
                                         SelectorCase{"random", {4, 5, 6}},
                                         SelectorCase{"in-order", {4}}));

TEST(TrustTableTest, BansOnlySendersWithRepeatedCorruption) {
  TrustTable trust;
  for (int i = 0; i < 100; ++i) {
    trust.OnInvalidChunk(kStart, "rare");
    for (int good = 0; good < 20; ++good) {
      trust.OnValidChunk("rare");
    }
  }
  for (int i = 0; i < 3; ++i) {
    trust.OnInvalidChunk(kStart, "steady");
  }
  EXPECT_TRUE(trust.IsTrusted(kStart, "rare"));
  EXPECT_FALSE(trust.IsTrusted(kStart, "steady"));
  EXPECT_TRUE(trust.IsTrusted(kStart + std::chrono::hours(1), "steady"));
}

// Guards against requests to the origin during its backoff, disguised as store
// requests, on a platform without a store.
TEST(SourceScheduleTest, ChoosesNoSourceDuringOriginBackoffWithoutStore) {
  SourceSchedule sources(std::chrono::seconds(16), /*has_store=*/false);
  kernel::Random random(1);
  const kernel::Time now{std::chrono::hours(1)};
  sources.OnFailure(now, Source::kOrigin, random);
  EXPECT_EQ(sources.Choose(now), std::nullopt);
  EXPECT_EQ(sources.Choose(sources.NextAvailable()), Source::kOrigin);
}

TEST(SourceScheduleTest, UsesStoreDuringOriginBackoff) {
  SourceSchedule sources;
  kernel::Random random(1);
  EXPECT_EQ(sources.Choose(kStart), Source::kOrigin);
  sources.OnFailure(kStart, Source::kOrigin, random);
  EXPECT_EQ(sources.Choose(kStart), Source::kStore);
  sources.OnFailure(kStart, Source::kStore, random);
  EXPECT_FALSE(sources.Choose(kStart));
  EXPECT_TRUE(sources.Choose(sources.NextAvailable()));
  EXPECT_TRUE(sources.HasFailedFor(kStart + seconds(5), seconds(5)));
}

TEST(UploadQueueTest, SendsLeastSentChunkFirst) {
  UploadQueue queue;
  LinkBudgets budgets(0, 1, kStart);
  queue.Add({"a", "", "v", 1, kStart});
  EXPECT_EQ(queue.Take(kStart, budgets)->index, 1U);
  queue.Add({"b", "", "v", 1, kStart});
  queue.Add({"b", "", "v", 2, kStart});
  EXPECT_EQ(queue.Take(kStart, budgets)->index, 2U);
  EXPECT_EQ(queue.Take(kStart, budgets)->index, 1U);
}

TEST(UploadQueueTest, IgnoresRepeatedRequestWhileChunkIsInTransit) {
  UploadQueue queue;
  LinkBudgets budgets(0, 1, kStart);
  EXPECT_TRUE(queue.Add({"a", "", "v", 1, kStart}));
  EXPECT_TRUE(queue.Add({"a", "", "v", 1, kStart}));
  EXPECT_TRUE(queue.Take(kStart, budgets));
  EXPECT_TRUE(queue.Add({"a", "", "v", 1, kStart + milliseconds(100)}));
  EXPECT_TRUE(queue.Empty());
  EXPECT_TRUE(queue.Add({"a", "", "v", 1, kStart + seconds(10)}));
  EXPECT_FALSE(queue.Empty());
}

TEST(LinkBudgetsTest, LimitsUploadRateAndReducesItUnderCallPressure) {
  constexpr double kRate = 1000;
  LinkBudgets budgets(kRate, 1, kStart);
  budgets.ChargeUpload(kStart, "", 1001);
  EXPECT_FALSE(budgets.CanUpload(kStart + milliseconds(999), ""));
  EXPECT_TRUE(budgets.CanUpload(kStart + seconds(1), ""));
  budgets.SetPressure(0.5);
  budgets.ChargeUpload(kStart + seconds(1), "", 1000);
  EXPECT_FALSE(budgets.CanUpload(kStart + milliseconds(2900), ""));
  EXPECT_TRUE(budgets.CanUpload(kStart + milliseconds(3001), ""));
}

}  // namespace
}  // namespace radishrudder::weights
