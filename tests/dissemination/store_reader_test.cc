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

struct PartialCase {
  const char* name;
  std::uint64_t revision;  // Of the response, whose last change has 9.
  bool complete;
};

class PartialChangesTest : public StoreReaderTest,
                           public testing::WithParamInterface<PartialCase> {};

// Guards against keys, routes and versions that count as current because a
// response has come, while the store has left out later changes of it.
TEST_P(PartialChangesTest, ConfirmOnlyWhatIsComplete) {
  ReadSnapshot(5);
  ASSERT_TRUE(TickAndTakeRequest<WatchChanges>());
  const kernel::BootTime complete_at = m_boot;
  AdvanceTime(milliseconds(300));
  m_reader.OnChanges(m_now, {{"k", "w", 8, false}, {"l", "w", 9, false}},
                     GetParam().revision);
  EXPECT_EQ(TakeLast<PrefixConfirmed>().has_value(), GetParam().complete);
  AdvanceTime(milliseconds(100));
  EXPECT_EQ(TickAndTakeRequest<WatchChanges>()->revision, GetParam().revision);
  m_reader.OnChanges(m_now, {{"m", "w", 14, false}}, 20);
  const auto changes = TakeLast<PrefixChanges>();
  ASSERT_TRUE(changes);
  EXPECT_EQ(changes->previously_complete_at, complete_at);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    PartialChangesTest,
    testing::Values(PartialCase{"EndsWithItsLastChange", 9, false},
                    PartialCase{"GoesBeyondItsLastChange", 12, true}),
    [](const auto& info) { return std::string(info.param.name); });

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

// Guards against a watch that was cut counting as a loss of the store for the
// whole wait of the next one.
TEST_F(StoreReaderTest, AsksAtOnceWhetherTheStoreIsThereAfterAFailure) {
  ReadSnapshot(5);
  ASSERT_EQ(TickAndTakeRequest<WatchChanges>()->wait, milliseconds(1000));
  AdvanceTime(milliseconds(500));
  m_reader.OnRequestFailed(m_now);
  AdvanceTime(milliseconds(100));
  const kernel::Time asked_at = m_now;
  const auto question = TickAndTakeRequest<WatchChanges>();
  ASSERT_TRUE(question);
  EXPECT_LE(question->wait, milliseconds(50));
  EXPECT_EQ(question->revision, 5U);
  AdvanceTime(question->wait);
  m_reader.OnChanges(m_now, {}, 5);
  EXPECT_EQ(TakeLast<StoreAnswered>()->requested_at, asked_at);
  EXPECT_TRUE(m_reader.IsReachable());
  EXPECT_EQ(TickAndTakeRequest<WatchChanges>()->wait, milliseconds(1000));
}

// Guards against pages without end.
TEST_F(StoreReaderTest, PageThatGoesNoFurtherFails) {
  ASSERT_TRUE(TickAndTakeRequest<ReadPage>());
  m_reader.OnPage(m_now, {{"b", "1", 4, false}}, true, 10);
  ASSERT_TRUE(TickAndTakeRequest<ReadPage>());
  m_reader.OnPage(m_now, {{"b", "1", 4, false}}, true, 10);
  EXPECT_FALSE(m_reader.IsReachable());
  AdvanceTime(milliseconds(500));
  EXPECT_EQ(TickAndTakeRequest<ReadPage>()->after, "");
}

TEST_F(StoreReaderTest, ReadsAllKeysAfterHistoryLoss) {
  ReadSnapshot(5);
  ASSERT_TRUE(TickAndTakeRequest<WatchChanges>());
  m_reader.OnHistoryDiscarded(m_now);
  ReadSnapshot(40);
  EXPECT_EQ(TickAndTakeRequest<WatchChanges>()->revision, 40U);
}

struct EraCase {
  const char* name;
  std::uint64_t era;  // Of the response to a watch.
  bool history_gone;
  bool reads_again;
  bool counts_as_failed;
  std::uint64_t first_era = 4;  // Of what was read before it.
};

class StoreEraTest : public StoreReaderTest,
                     public testing::WithParamInterface<EraCase> {};

// Guards against changes that a store has lost, or revisions that it gives out
// again, going unnoticed: a watch that goes on from a revision of an earlier
// era misses what was written since.
TEST_P(StoreEraTest, NewEraIsReadWholeAndAnEarlierOneIsNotApplied) {
  ASSERT_TRUE(TickAndTakeRequest<ReadPage>());
  m_reader.OnPage(m_now, {{"k", "v", 50, false}}, false, 50,
                  GetParam().first_era);
  ASSERT_TRUE(TickAndTakeRequest<WatchChanges>());
  if (GetParam().history_gone) {
    m_reader.OnHistoryDiscarded(m_now, GetParam().era);
  } else {
    m_reader.OnChanges(m_now, {{"k", "w", 51, false}}, 51, GetParam().era);
  }
  bool changes = false;
  bool failed = false;
  bool new_era = false;
  for (const StoreOutput& output : m_reader.TakeOutputs()) {
    changes = changes || std::holds_alternative<PrefixChanges>(output);
    failed = failed || std::holds_alternative<StoreUnreachable>(output);
    new_era = new_era || std::holds_alternative<StoreEraChanged>(output);
  }
  EXPECT_EQ(failed, GetParam().counts_as_failed);
  EXPECT_EQ(new_era, GetParam().era > GetParam().first_era);
  EXPECT_EQ(changes, !GetParam().reads_again && !GetParam().counts_as_failed);
  AdvanceTime(milliseconds(500));
  if (!GetParam().reads_again) {
    ASSERT_TRUE(TickAndTakeRequest<WatchChanges>());
    return;
  }
  ASSERT_TRUE(TickAndTakeRequest<ReadPage>());
  // The copy is older: its revisions are lower.
  m_reader.OnPage(m_now, {{"k", "u", 30, false}}, false, 41, GetParam().era);
  const auto snapshot = TakeLast<PrefixSnapshot>();
  ASSERT_TRUE(snapshot);
  EXPECT_EQ(snapshot->era, GetParam().era);
  EXPECT_EQ(snapshot->items.front().era, GetParam().era);
  EXPECT_EQ(TickAndTakeRequest<WatchChanges>()->revision, 41U);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    StoreEraTest,
    testing::Values(EraCase{"Same", 4, false, false, false},
                    EraCase{"Unnamed", 0, false, false, false},
                    EraCase{"New", 5, false, true, false},
                    EraCase{"NewAndHistoryGone", 5, true, true, false},
                    EraCase{"Earlier", 3, false, false, true},
                    EraCase{"FromZero", 1, false, true, false, 0},
                    EraCase{"FromZeroAndHistoryGone", 1, true, true, false, 0},
                    EraCase{"NeverNamed", 0, false, false, false, 0}),
    [](const auto& test) { return std::string(test.param.name); });

// Guards against a snapshot whose pages belong to two eras.
TEST_F(StoreReaderTest, EraThatBeginsBetweenPagesStartsTheReadAgain) {
  ASSERT_TRUE(TickAndTakeRequest<ReadPage>());
  m_reader.OnPage(m_now, {{"a", "1", 4, false}}, true, 10, 4);
  ASSERT_EQ(TickAndTakeRequest<ReadPage>()->after, "a");
  m_reader.OnPage(m_now, {{"b", "1", 3, false}}, false, 6, 5);
  EXPECT_FALSE(TakeLast<PrefixSnapshot>());
  AdvanceTime(milliseconds(500));
  ASSERT_EQ(TickAndTakeRequest<ReadPage>()->after, "");
}

// Guards against all processes reading the whole store at the same moment.
TEST_F(StoreReaderTest, ProcessesReadANewEraAtDifferentTimes) {
  std::set<kernel::Time> times;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    StoreReader reader(StoreReaderSettings{}, kernel::Random(seed));
    reader.OnTick(m_now, m_boot);
    reader.OnPage(m_now, {{"k", "v", 50, false}}, false, 50, 4);
    reader.OnTick(m_now, m_boot);
    reader.OnChanges(m_now, {}, 20, 5);
    times.insert(reader.NextTick());
  }
  EXPECT_GE(times.size(), 10U);
  EXPECT_GE(*times.rbegin() - *times.begin(), milliseconds(100));
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
