#include "radishrudder/dissemination/store_reader.h"

#include <gtest/gtest.h>

namespace radishrudder::dissemination {
namespace {

using std::chrono::milliseconds;

class StoreReaderTest : public testing::Test {
 protected:
  // The next request, or null while none is made.
  template <typename Kind>
  std::optional<Kind> Ask() {
    m_reader.OnTick(m_now, m_boot);
    return Last<Kind>();
  }
  template <typename Kind>
  std::optional<Kind> Last() {
    std::optional<Kind> last;
    for (StoreOutput& output : m_reader.TakeOutputs()) {
      if (auto* item = std::get_if<Kind>(&output)) {
        last = std::move(*item);
      }
    }
    return last;
  }
  void Pass(milliseconds time) {
    m_now += time;
    m_boot += time;
  }
  void ReadWhole(std::uint64_t revision) {
    ASSERT_TRUE(Ask<ReadPage>());
    m_reader.OnPage(m_now, {{"k", "v", revision, false}}, false, revision);
    const auto whole = Last<WholePrefix>();
    ASSERT_TRUE(whole);
    m_whole = *whole;
  }

  WholePrefix m_whole;  // The last one read.
  StoreReader m_reader{StoreReaderSettings{}, kernel::Random(3)};
  kernel::Time m_now{std::chrono::hours(1)};
  kernel::BootTime m_boot{std::chrono::hours(2)};
};

// A change between two pages must come with the watch.
TEST_F(StoreReaderTest, WatchesFromTheFirstPage) {
  ASSERT_EQ(Ask<ReadPage>()->after, "");
  m_reader.OnPage(m_now, {{"a", "1", 4, false}}, true, 10);
  ASSERT_EQ(Ask<ReadPage>()->after, "a");
  m_reader.OnPage(m_now, {{"b", "1", 12, false}}, false, 13);
  const auto whole = Last<WholePrefix>();
  ASSERT_TRUE(whole);
  EXPECT_EQ(whole->items.size(), 2U);
  EXPECT_EQ(Ask<WatchChanges>()->revision, 10U);
}

TEST_F(StoreReaderTest, AnswerConfirmsTheTimeOfItsRequest) {
  ReadWhole(5);
  ASSERT_TRUE(Ask<WatchChanges>());
  const kernel::BootTime asked = m_boot;
  Pass(milliseconds(900));
  m_reader.OnChanges(m_now, {}, 5);
  EXPECT_EQ(Last<PrefixConfirmed>()->asked, asked);
}

TEST_F(StoreReaderTest, FailureKeepsThePlaceAndBacksOff) {
  ReadWhole(5);
  ASSERT_TRUE(Ask<WatchChanges>());
  m_reader.OnFailed(m_now);
  EXPECT_TRUE(Last<StoreLost>());
  EXPECT_FALSE(Ask<WatchChanges>());
  Pass(milliseconds(200));
  EXPECT_EQ(Ask<WatchChanges>()->revision, 5U);
  m_reader.OnFailed(m_now);
  EXPECT_FALSE(Last<StoreLost>());
  Pass(milliseconds(1000));
  ASSERT_TRUE(Ask<WatchChanges>());
  m_reader.OnChanges(m_now, {{"k", "w", 8, false}}, 9);
  EXPECT_TRUE(m_reader.IsReachable());
  EXPECT_TRUE(Last<StoreRegained>());
}

TEST_F(StoreReaderTest, LostHistoryMeansReadingAll) {
  ReadWhole(5);
  ASSERT_TRUE(Ask<WatchChanges>());
  m_reader.OnHistoryGone(m_now);
  ReadWhole(40);
  EXPECT_EQ(Ask<WatchChanges>()->revision, 40U);
}

// Seen on the platform: two versions were declared while the store could not be
// read by anyone. When it came back, they were taken for as old as the outage.
TEST_F(StoreReaderTest, TellsThatAnOutageCameBefore) {
  for (const milliseconds outage : {milliseconds(300), milliseconds(4000)}) {
    ReadWhole(5);
    EXPECT_FALSE(m_whole.after_outage);
    ASSERT_TRUE(Ask<WatchChanges>());
    m_reader.OnFailed(m_now);
    Pass(outage);
    ASSERT_TRUE(Ask<WatchChanges>());
    m_reader.OnHistoryGone(m_now);
    ReadWhole(40);
    EXPECT_EQ(m_whole.after_outage, outage > milliseconds(1000));
    ASSERT_TRUE(Ask<WatchChanges>());
    m_reader.OnHistoryGone(m_now);
  }
}

TEST_F(StoreReaderTest, ChangesInQuickSuccessionComeTogether) {
  ReadWhole(5);
  ASSERT_TRUE(Ask<WatchChanges>());
  m_reader.OnChanges(m_now, {{"k", "w", 6, false}}, 6);
  EXPECT_FALSE(Ask<WatchChanges>());
  Pass(milliseconds(100));
  EXPECT_EQ(Ask<WatchChanges>()->revision, 6U);
}

}  // namespace
}  // namespace radishrudder::dissemination
