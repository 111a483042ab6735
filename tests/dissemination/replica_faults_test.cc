#include <algorithm>

#include <gtest/gtest.h>

#include "replica_network.h"

namespace radishrudder::dissemination {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr int kProcesses = 40;
constexpr int kDataCentres = 4;
constexpr kernel::Duration kStartTime = seconds(8);
constexpr kernel::Duration kInForceWithin = seconds(3);
constexpr double kReadsPerSecondLimit = 2000;

class ReplicaFaultsTest : public testing::TestWithParam<std::uint64_t> {
 protected:
  ReplicaFaultsTest() : m_network(GetParam(), kProcesses, kDataCentres) {
    m_network.Service().Publish("draft", "one");
    m_network.Service().Publish("shop", "one");
  }

  void Start() {
    m_network.Start();
    m_network.RunFor(kStartTime);
    ASSERT_EQ(m_network.InForce("draft", 1), kProcesses);
  }

  ReplicaNetwork m_network;
};

TEST_P(ReplicaFaultsTest, FreshProcessIsNotCurrentOnAStaleReadAlone) {
  Start();
  m_network.Service().Publish("draft", "two");
  m_network.RunFor(kInForceWithin);
  m_network.Service().stale_at = 2;
  m_network.StartOne(5);
  // The stale read ends before any peer can answer.
  m_network.At(5).replica->OnRead(m_network.Now(), m_network.Service().Read(0));
  EXPECT_FALSE(m_network.At(5).replica->IsCurrent());
  m_network.RunFor(seconds(1));
  EXPECT_TRUE(m_network.At(5).replica->IsCurrent());
  EXPECT_EQ(m_network.At(5).replica->Find("draft")->revision, 3U);
}

TEST_P(ReplicaFaultsTest, FreshProcessThatNobodyAnswersHoldsBackForAWhile) {
  m_network.StartOne(5);
  DocumentReplica& replica = *m_network.At(5).replica;
  replica.OnRead(m_network.Now(), m_network.Service().Read(0));
  EXPECT_FALSE(replica.IsCurrent());
  m_network.RunFor(seconds(4));
  EXPECT_TRUE(replica.IsCurrent());
}

TEST_P(ReplicaFaultsTest, ServiceDownForHoursKeepsDocumentsAndFewReads) {
  Start();
  m_network.Service().down = true;
  m_network.RunFor(minutes(60));
  const int before = m_network.Reads();
  m_network.RunFor(minutes(10));
  const double rate = (m_network.Reads() - before) / 600.0;
  EXPECT_LE(rate, kReadsPerSecondLimit * kProcesses / 2800);
  EXPECT_EQ(m_network.InForce("draft", 1), kProcesses);
  EXPECT_TRUE(m_network.At(3).replica->IsCurrent());
  m_network.StartOne(7);
  m_network.RunFor(seconds(3));
  EXPECT_EQ(m_network.InForce("draft", 1), kProcesses);
  EXPECT_TRUE(m_network.At(7).replica->IsCurrent());
}

TEST_P(ReplicaFaultsTest, ServiceThatComesBackIsReadWithinItsRate) {
  Start();
  m_network.Service().down = true;
  m_network.RunFor(minutes(20));
  m_network.Service().Publish("draft", "two");
  m_network.Service().down = false;
  const int before = m_network.Reads();
  m_network.RunFor(seconds(1));
  EXPECT_LE(m_network.Reads() - before,
            kReadsPerSecondLimit * kProcesses / 2800);
  m_network.RunFor(seconds(15) + kInForceWithin);
  EXPECT_EQ(m_network.InForce("draft", 3), kProcesses);
}

TEST_P(ReplicaFaultsTest, PartitionedHalvesMeetAfterHealing) {
  Start();
  m_network.is_cut = [](std::size_t a, std::size_t b) {
    return (a % kDataCentres < 2) != (b % kDataCentres < 2);
  };
  m_network.RunFor(seconds(30));
  m_network.Service().Publish("draft", "two");
  m_network.RunFor(kInForceWithin);
  // Both halves have readers of their own.
  EXPECT_EQ(m_network.InForce("draft", 3), kProcesses);
  m_network.is_cut = nullptr;
  m_network.RunFor(kInForceWithin);
  EXPECT_EQ(m_network.Reverts(), 0);
}

TEST_P(ReplicaFaultsTest, HalfCutOffFromTheServiceLearnsAfterHealing) {
  Start();
  m_network.is_cut = [](std::size_t a, std::size_t b) {
    return (a % kDataCentres < 2) != (b % kDataCentres < 2);
  };
  m_network.cannot_read = [](std::size_t p) { return p % kDataCentres < 2; };
  m_network.RunFor(seconds(30));
  m_network.Service().Publish("draft", "two");
  m_network.RunFor(seconds(30));
  EXPECT_EQ(m_network.InForce("draft", 3), kProcesses / 2);
  m_network.is_cut = nullptr;
  m_network.RunFor(kInForceWithin);
  EXPECT_EQ(m_network.InForce("draft", 3), kProcesses);
}

TEST_P(ReplicaFaultsTest, PausedProcessDoesNotBringBackWhatItKnew) {
  Start();
  m_network.At(9).paused_until = m_network.Now() + minutes(5);
  for (int i = 0; i < 10; ++i) {
    m_network.Service().Publish("draft", "later");
    m_network.RunFor(seconds(10));
  }
  const std::uint64_t newest = m_network.Service().Revision();
  m_network.RunFor(minutes(4));
  EXPECT_EQ(m_network.InForce("draft", newest), kProcesses);
  EXPECT_EQ(m_network.Reverts(), 0);
}

TEST_P(ReplicaFaultsTest, DeletedDocumentStaysDeletedUntilMadeAgain) {
  Start();
  m_network.At(9).paused_until = m_network.Now() + seconds(40);
  m_network.Service().Delete("draft");
  m_network.RunFor(minutes(1));
  EXPECT_EQ(m_network.InForce("draft", 3), kProcesses);
  EXPECT_TRUE(m_network.At(9).replica->Find("draft")->deleted);
  m_network.Service().Publish("draft", "again");
  m_network.RunFor(kInForceWithin);
  EXPECT_EQ(m_network.InForce("draft", 4), kProcesses);
  EXPECT_FALSE(m_network.At(9).replica->Find("draft")->deleted);
}

TEST_P(ReplicaFaultsTest, DeletionThatNoRunningReaderSawIsFound) {
  Start();
  // Everything is replaced while the document goes; an old copy survives on
  // one paused process.
  m_network.At(9).paused_until = m_network.Now() + minutes(2);
  m_network.Service().Forget("draft");
  for (std::size_t i = 0; i < m_network.Size(); ++i) {
    if (i != 9) {
      m_network.StartOne(i);
    }
  }
  m_network.RunFor(minutes(3));
  for (std::size_t i = 0; i < m_network.Size(); ++i) {
    const PublishedDocument* document = m_network.At(i).replica->Find("draft");
    EXPECT_TRUE(document == nullptr || document->deleted) << i;
  }
  EXPECT_EQ(m_network.Reverts(), 0);
}

TEST_P(ReplicaFaultsTest, SameContentUnderAHigherRevisionIsAccepted) {
  Start();
  m_network.Service().Publish("draft", "one");
  m_network.RunFor(kInForceWithin);
  EXPECT_EQ(m_network.InForce("draft", 3), kProcesses);
}

TEST_P(ReplicaFaultsTest, LargeDocumentsArePulledOnceByEachProcess) {
  Start();
  constexpr std::size_t kLarge = 1U << 20U;
  m_network.update_bytes = 0;
  m_network.Service().Publish("large", std::string(kLarge, 'x'));
  m_network.RunFor(kInForceWithin);
  EXPECT_EQ(m_network.InForce("large", 3), kProcesses);
  constexpr double kCopiesEach = 1.1;
  EXPECT_LE(static_cast<double>(m_network.update_bytes),
            kCopiesEach * kLarge * kProcesses);
}

TEST_P(ReplicaFaultsTest, LargeDocumentsComeInTimeWithLoss) {
  Start();
  m_network.loss = 0.1;
  m_network.Service().Publish("large", std::string(1U << 20U, 'x'));
  m_network.RunFor(kInForceWithin);
  EXPECT_EQ(m_network.InForce("large", 3), kProcesses);
}

TEST_P(ReplicaFaultsTest, StaleServiceNeverTakesBackAnything) {
  Start();
  m_network.Service().Publish("draft", "two");
  m_network.RunFor(kInForceWithin);
  m_network.Service().stale_at = 1;
  m_network.RunFor(minutes(2));
  EXPECT_EQ(m_network.InForce("draft", 3), kProcesses);
  m_network.Service().stale_at = 0;
  m_network.Service().Publish("shop", "two");
  m_network.RunFor(kInForceWithin);
  EXPECT_EQ(m_network.InForce("shop", 4), kProcesses);
  EXPECT_EQ(m_network.Reverts(), 0);
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         ReplicaFaultsTest,
                         testing::Range<std::uint64_t>(1, 6));

struct HerdCase {
  const char* name;
  bool service_down;
};

class HerdTest : public testing::TestWithParam<HerdCase> {};

TEST_P(HerdTest, TwoThousandEightHundredStartingTogetherStayUnderTheRate) {
  constexpr int kHerd = 2800;
  ReplicaNetwork network(1, kHerd, 7);
  network.Service().Publish("draft", "one");
  network.Service().down = GetParam().service_down;
  network.Start();
  int most = 0;
  for (int second = 0; second < 20; ++second) {
    const int before = network.Reads();
    network.RunFor(seconds(1));
    most = std::max(most, network.Reads() - before);
  }
  EXPECT_LE(most, kReadsPerSecondLimit);
  EXPECT_EQ(network.InForce("draft", 1), GetParam().service_down ? 0 : kHerd);
}

INSTANTIATE_TEST_SUITE_P(All,
                         HerdTest,
                         testing::Values(HerdCase{"ServiceUp", false},
                                         HerdCase{"ServiceDown", true}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace radishrudder::dissemination
