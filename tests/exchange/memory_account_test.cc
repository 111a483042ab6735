#include "radishrudder/exchange/memory_account.h"

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "radishrudder/exchange/byte_blocks.h"

namespace radishrudder::exchange {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMegabyte = 1U << 20U;
constexpr kernel::Time kStart{std::chrono::hours(1)};

class Holder : public MemoryHolder {
 public:
  Holder(MemoryAccount& account, kernel::Time now)
      : share(account, *this, now) {}

  void Revoke(kernel::Time /*now*/, Shortage shortage) override {
    revoked = shortage;
    if (shortage == Shortage::kSockets) {
      share.Close();
    }
  }
  Revocable RevocablePart() const override { return part; }

  std::optional<Shortage> revoked;
  Revocable part = Revocable::kAll;
  MemoryShare share;
};

struct HolderState {
  std::size_t bytes = 0;
  milliseconds age{0};  // Since its latest progress.
  Revocable part = Revocable::kAll;
};

struct ShortageCase {
  std::string name;
  std::vector<HolderState> holders;  // The last one asks.
  bool granted = false;
  std::optional<std::size_t> revoked{};  // Index.
};

void PrintTo(const ShortageCase& shortage, std::ostream* stream) {
  *stream << shortage.name;
}

class MemoryShortageTest : public testing::TestWithParam<ShortageCase> {};

// An account of 8 MB, of which 6 are for large holders.
TEST_P(MemoryShortageTest, EndsHeaviestFirst) {
  MemoryAccount account({.bytes = 8 * kMegabyte});
  std::vector<std::unique_ptr<Holder>> holders;
  const std::size_t last = GetParam().holders.size() - 1;
  for (std::size_t i = 0; i <= last; ++i) {
    const HolderState& state = GetParam().holders[i];
    holders.push_back(std::make_unique<Holder>(account, kStart - state.age));
    holders.back()->part = state.part;
    if (i < last) {
      ASSERT_TRUE(holders.back()->share.Request(state.bytes, kStart));
    }
  }
  EXPECT_EQ(
      holders.back()->share.Request(GetParam().holders.back().bytes, kStart),
      GetParam().granted);
  for (std::size_t i = 0; i <= last; ++i) {
    EXPECT_EQ(holders[i]->revoked.has_value(), GetParam().revoked == i) << i;
  }
}

INSTANTIATE_TEST_SUITE_P(
    All,
    MemoryShortageTest,
    testing::Values(
        ShortageCase{"Fits", {{2 * kMegabyte}, {4 * kMegabyte}}, true},
        ShortageCase{"EqualAskerIsRefused",
                     {{4 * kMegabyte}, {4 * kMegabyte}},
                     false},
        ShortageCase{"LargerHolderEnds",
                     {{5 * kMegabyte}, {2 * kMegabyte}},
                     true,
                     0},
        ShortageCase{"HolderWithoutProgressEnds",
                     {{2 * kMegabyte, milliseconds(3000)}, {5 * kMegabyte}},
                     true,
                     0},
        ShortageCase{"HolderWithProgressStays",
                     {{2 * kMegabyte, milliseconds(10)}, {5 * kMegabyte}},
                     false},
        ShortageCase{"SmallAskerUsesTheRest",
                     {{6 * kMegabyte, milliseconds(3000)}, {64U << 10U}},
                     true},
        ShortageCase{"RequestInProgressStays",
                     {{5 * kMegabyte, milliseconds(3000), Revocable::kNothing},
                      {2 * kMegabyte}},
                     false},
        ShortageCase{"AnswerBeingReadStays",
                     {{5 * kMegabyte, milliseconds(500), Revocable::kStalled},
                      {2 * kMegabyte}},
                     false},
        ShortageCase{"UnreadAnswerEnds",
                     {{5 * kMegabyte, milliseconds(1000), Revocable::kStalled},
                      {2 * kMegabyte}},
                     true,
                     0},
        ShortageCase{"OnlyTheHeaviestEnds",
                     {{2 * kMegabyte, milliseconds(2000)},
                      {3 * kMegabyte, milliseconds(2000)},
                      {3 * kMegabyte}},
                     true,
                     1}),
    [](const auto& info) { return info.param.name; });

TEST(MemoryAccountTest, SmallTransfersAreNoProgress) {
  MemoryAccount account;
  Holder holder(account, kStart);
  for (int i = 0; i < 100; ++i) {
    holder.share.OnTransferred(100, kStart + milliseconds(20 * i));
  }
  EXPECT_EQ(holder.share.ProgressAt(), kStart);
  EXPECT_TRUE(holder.share.IsStalled(kStart + milliseconds(2000)));
  holder.share.OnTransferred(10000, kStart + milliseconds(2000));
  EXPECT_EQ(holder.share.ProgressAt(), kStart + milliseconds(2000));
}

TEST(MemoryAccountTest, StalledAskerEndsIfNobodyIsHeavier) {
  MemoryAccount account({.bytes = 8 * kMegabyte});
  Holder first(account, kStart);
  Holder second(account, kStart);
  for (Holder* holder : {&first, &second}) {
    holder->part = Revocable::kStalled;
    ASSERT_TRUE(holder->share.Request(3 * kMegabyte, kStart));
  }
  EXPECT_FALSE(second.share.MayGrow(kMegabyte, kStart + milliseconds(900)));
  EXPECT_FALSE(second.revoked);
  EXPECT_FALSE(second.share.MayGrow(kMegabyte, kStart + milliseconds(1000)));
  EXPECT_TRUE(second.revoked);
  EXPECT_FALSE(first.revoked);
  EXPECT_TRUE(first.share.MayGrow(kMegabyte, kStart + milliseconds(1000)));
}

TEST(MemoryAccountTest, LongestIdleConnectionEndsForNewOne) {
  MemoryAccount account({.sockets = 2});
  Holder older(account, kStart);
  Holder newer(account, kStart + milliseconds(10000));
  const kernel::Time now = kStart + milliseconds(20000);
  older.share.Set(4096, now);
  newer.share.Set(4096, now);
  EXPECT_TRUE(account.AdmitConnection(now));
  EXPECT_EQ(older.revoked, Shortage::kSockets);
  EXPECT_FALSE(newer.revoked);
  const Holder third(account, now);
  newer.part = Revocable::kNothing;
  EXPECT_FALSE(account.AdmitConnection(now));
}

TEST(MemoryAccountTest, RequestsInProgressTakeSockets) {
  MemoryAccount account({.sockets = 5});
  Holder first(account, kStart);
  Holder second(account, kStart);
  Holder idle(account, kStart);
  for (Holder* holder : {&first, &second}) {
    holder->part = Revocable::kNothing;
    holder->share.Set(4096, kStart);
    EXPECT_TRUE(holder->share.RequestSocket(kStart));
    EXPECT_TRUE(holder->share.RequestSocket(kStart));
  }
  EXPECT_EQ(account.Sockets(), 5U);
  EXPECT_FALSE(idle.share.RequestSocket(kStart));
  first.share.ReleaseSocket();
  EXPECT_TRUE(idle.share.RequestSocket(kStart));
  idle.share.ReleaseSocket();
  idle.share.Set(4096, kStart);
  EXPECT_TRUE(first.share.RequestSocket(kStart));
  EXPECT_FALSE(idle.revoked);
  EXPECT_TRUE(account.AdmitConnection(kStart));
  EXPECT_EQ(idle.revoked, Shortage::kSockets);
  second.share.Close();
  EXPECT_EQ(account.Sockets(), 2U);
}

TEST(MemoryAccountTest, EnforcesSmallerLimits) {
  MemoryAccount account({.bytes = 8 * kMegabyte});
  Holder first(account, kStart);
  Holder second(account, kStart);
  ASSERT_TRUE(first.share.Request(2 * kMegabyte, kStart));
  ASSERT_TRUE(second.share.Request(3 * kMegabyte, kStart));
  account.SetLimits({.bytes = 4 * kMegabyte});
  account.Enforce(kStart);
  EXPECT_FALSE(first.revoked);
  EXPECT_TRUE(second.revoked);
  EXPECT_EQ(account.BytesHeld(), 2 * kMegabyte);
}

struct BlocksCase {
  std::string name;
  std::vector<std::size_t> parts;
  std::size_t reserved = 0;
};

class ByteBlocksTest : public testing::TestWithParam<BlocksCase> {};

TEST_P(ByteBlocksTest, KeepsBytesInLittleMoreMemory) {
  ByteBlocks blocks;
  std::string expected;
  for (std::size_t i = 0; i < GetParam().parts.size(); ++i) {
    const std::string part(GetParam().parts[i],
                           static_cast<char>('a' + i % 26));
    blocks.Append(part);
    expected += part;
    if (GetParam().reserved > 0) {
      blocks.Reserve(GetParam().reserved);
    }
    EXPECT_LE(blocks.AllocatedBytes(),
              std::max(2 * expected.size(), GetParam().reserved) +
                  ByteBlocks::kBlockBytes);
  }
  EXPECT_EQ(blocks.Size(), expected.size());
  ByteBlocks copy = blocks;
  std::string taken;
  while (!copy.IsEmpty()) {
    taken += copy.TakeFirst();
  }
  EXPECT_EQ(taken, expected);
  EXPECT_EQ(blocks.TakeAll(), expected);
  EXPECT_TRUE(blocks.IsEmpty());
  blocks.Append("again");
  EXPECT_EQ(blocks.TakeAll(), "again");
  blocks.Append(expected);
  blocks.Clear();
  EXPECT_LT(blocks.AllocatedBytes(), 64U);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    ByteBlocksTest,
    testing::Values(
        BlocksCase{"Empty", {}},
        BlocksCase{"Small", {1, 2, 3}},
        BlocksCase{"OneBlock", {ByteBlocks::kBlockBytes}},
        BlocksCase{"ManyParts", std::vector<std::size_t>(300, 5000)},
        BlocksCase{"OneLargePart", {3 * kMegabyte + 1}},
        BlocksCase{"Reserved", std::vector<std::size_t>(300, 5000), 1500000},
        BlocksCase{"MoreThanReserved", std::vector<std::size_t>(300, 5000),
                   1000000}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace radishrudder::exchange
