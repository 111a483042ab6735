#include "radishrudder/dissemination/store_reader.h"

#include <gtest/gtest.h>

#include <set>

namespace radishrudder::dissemination {
namespace {

using std::chrono::milliseconds;

class StoreReaderTest : public testing::Test {
 protected:
  // Ticks the reader and returns the request that it makes, or null.
  template <typename Kind>
  std::optional<Kind> TickAndTakeRequest() {
    m_reader.OnTick(m_now, m_boot);
    return TakeLast<Kind>();
  }
  // Returns the last output of a type, or null, and discards all outputs.
  template <typename Kind>
  std::optional<Kind> TakeLast() {
    std::optional<Kind> last;
    for (StoreOutput& output : m_reader.TakeOutputs()) {
      if (auto* item = std::get_if<Kind>(&output)) {
        last = std::move(*item);
      }
    }
    return last;
  }
  void AdvanceTime(milliseconds time) {
    m_now += time;
    m_boot += time;
  }
  void ReadSnapshot(std::uint64_t revision) {
    ASSERT_TRUE(TickAndTakeRequest<ReadPage>());
    m_reader.OnPage(m_now, {{"k", "v", revision, false}}, false, revision);
    const auto snapshot = TakeLast<PrefixSnapshot>();
    ASSERT_TRUE(snapshot);
    m_last_snapshot = *snapshot;
  }

  PrefixSnapshot m_last_snapshot;
  StoreReader m_reader{StoreReaderSettings{}, kernel::Random(3)};
  kernel::Time m_now{std::chrono::hours(1)};
  kernel::BootTime m_boot{std::chrono::hours(2)};
};

// A change between the reads of two pages must be delivered by the watch.
TEST_F(StoreReaderTest, WatchesFromRevisionOfFirstPage) {
  ASSERT_EQ(TickAndTakeRequest<ReadPage>()->after, "");
  m_reader.OnPage(m_now, {{"a", "1", 4, false}}, true, 10);
  ASSERT_EQ(TickAndTakeRequest<ReadPage>()->after, "a");
  m_reader.OnPage(m_now, {{"b", "1", 12, false}}, false, 13);
  const auto snapshot = TakeLast<PrefixSnapshot>();
  ASSERT_TRUE(snapshot);
  EXPECT_EQ(snapshot->items.size(), 2U);
  EXPECT_EQ(TickAndTakeRequest<WatchChanges>()->revision, 10U);
}

TEST_F(StoreReaderTest, ResponseConfirmsTimeOfItsRequest) {
  ReadSnapshot(5);
  ASSERT_TRUE(TickAndTakeRequest<WatchChanges>());
  const kernel::BootTime requested_at = m_boot;
  AdvanceTime(milliseconds(900));
  m_reader.OnChanges(m_now, {}, 5);
  EXPECT_EQ(TakeLast<PrefixConfirmed>()->requested_at, requested_at);
}

// Entries whose watches all end together after a change cannot date the next
// declaration better than by a whole watch.
TEST_F(StoreReaderTest, WatchesOfSeveralReadersSpreadAfterChange) {
  std::set<milliseconds> ends;
  for (std::uint64_t seed = 0; seed < 16; ++seed) {
    m_reader = StoreReader({.spread_watches = true}, kernel::Random(seed));
    ReadSnapshot(5);
    ASSERT_EQ(TickAndTakeRequest<WatchChanges>()->wait, milliseconds(1000));
    m_reader.OnChanges(m_now, {{"k", "w", 6, false}}, 6);
    AdvanceTime(milliseconds(100));
    const kernel::BootTime started_at = m_boot;
    const auto first = TickAndTakeRequest<WatchChanges>();
    ASSERT_LE(first->wait, milliseconds(1000));
    AdvanceTime(first->wait);
    m_reader.OnChanges(m_now, {}, 6);
    EXPECT_EQ(TakeLast<PrefixConfirmed>()->complete_at,
              started_at + first->wait);
    EXPECT_EQ(TickAndTakeRequest<WatchChanges>()->wait, milliseconds(1000));
    ends.insert(first->wait / 250);
  }
  EXPECT_GE(ends.size(), 4U);
}

TEST_F(StoreReaderTest, FailureKeepsRevisionAndBacksOff) {
  ReadSnapshot(5);
  ASSERT_TRUE(TickAndTakeRequest<WatchChanges>());
  m_reader.OnRequestFailed(m_now);
  EXPECT_TRUE(TakeLast<StoreUnreachable>());
  EXPECT_FALSE(TickAndTakeRequest<WatchChanges>());
  AdvanceTime(milliseconds(200));
  EXPECT_EQ(TickAndTakeRequest<WatchChanges>()->revision, 5U);
  m_reader.OnRequestFailed(m_now);
  EXPECT_FALSE(TakeLast<StoreUnreachable>());
  AdvanceTime(milliseconds(1000));
  ASSERT_TRUE(TickAndTakeRequest<WatchChanges>());
  m_reader.OnChanges(m_now, {{"k", "w", 8, false}}, 9);
  EXPECT_TRUE(m_reader.IsReachable());
  EXPECT_TRUE(TakeLast<StoreRecovered>());
}

TEST_F(StoreReaderTest, ReadsAllKeysAfterHistoryLoss) {
  ReadSnapshot(5);
  ASSERT_TRUE(TickAndTakeRequest<WatchChanges>());
  m_reader.OnHistoryDiscarded(m_now);
  ReadSnapshot(40);
  EXPECT_EQ(TickAndTakeRequest<WatchChanges>()->revision, 40U);
}

// Guards against wrong ages of what is read after an absence: changes of which
// nothing is known but that they are newer than the last complete read counted
// as made at the time of the reading.
TEST_F(StoreReaderTest, ReportsWhenEarlierItemsWereComplete) {
  for (const milliseconds outage : {milliseconds(300), milliseconds(4000)}) {
    m_reader = StoreReader(StoreReaderSettings{}, kernel::Random(3));
    const kernel::BootTime first_read = m_boot;
    ReadSnapshot(5);
    EXPECT_FALSE(m_last_snapshot.previously_complete_at);
    ASSERT_TRUE(TickAndTakeRequest<WatchChanges>());
    m_reader.OnRequestFailed(m_now);
    AdvanceTime(outage);
    ASSERT_TRUE(TickAndTakeRequest<WatchChanges>());
    m_reader.OnHistoryDiscarded(m_now);
    const kernel::BootTime second_read = m_boot;
    ReadSnapshot(40);
    EXPECT_EQ(m_last_snapshot.previously_complete_at, first_read);
    EXPECT_EQ(m_last_snapshot.failed_for, outage);
    ASSERT_TRUE(TickAndTakeRequest<WatchChanges>());
    AdvanceTime(outage);
    m_reader.OnChanges(m_now, {{"k", "w", 41, false}}, 41);
    const auto changes = TakeLast<PrefixChanges>();
    ASSERT_TRUE(changes);
    EXPECT_EQ(changes->previously_complete_at, second_read);
    EXPECT_EQ(changes->failed_for, kernel::Duration::zero());
  }
}

// A watch without changes shows that there were none during its wait; if it
// ends sooner, it shows no more than its request does.
TEST_F(StoreReaderTest, WatchWithoutChangesCoversItsWait) {
  for (const milliseconds duration :
       {milliseconds(400), milliseconds(1000), milliseconds(7000)}) {
    m_reader = StoreReader(StoreReaderSettings{}, kernel::Random(3));
    ReadSnapshot(5);
    ASSERT_TRUE(TickAndTakeRequest<WatchChanges>());
    const kernel::BootTime requested_at = m_boot;
    AdvanceTime(duration);
    m_reader.OnChanges(m_now, {}, 5);
    EXPECT_EQ(TakeLast<PrefixConfirmed>()->complete_at,
              duration < milliseconds(1000)
                  ? requested_at
                  : requested_at + milliseconds(1000));
  }
}

TEST_F(StoreReaderTest, DelaysNextWatchAfterChanges) {
  ReadSnapshot(5);
  ASSERT_TRUE(TickAndTakeRequest<WatchChanges>());
  m_reader.OnChanges(m_now, {{"k", "w", 6, false}}, 6);
  EXPECT_FALSE(TickAndTakeRequest<WatchChanges>());
  AdvanceTime(milliseconds(100));
  EXPECT_EQ(TickAndTakeRequest<WatchChanges>()->revision, 6U);
}

}  // namespace
}  // namespace radishrudder::dissemination
