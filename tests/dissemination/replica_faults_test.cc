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
constexpr kernel::Duration kStartupTime = seconds(8);
constexpr kernel::Duration kPropagationTimeout = seconds(3);
constexpr double kMaximumReadsPerSecond = 2000;
// `kMaximumReadsPerSecond` applies to a fleet of this many processes; a smaller
// fleet gets a proportional share.
constexpr int kReferenceFleetSize = 2800;

class ReplicaFaultsTest : public testing::TestWithParam<std::uint64_t> {
 protected:
  ReplicaFaultsTest() : m_network(GetParam(), kProcesses, kDataCentres) {
    m_network.Service().Publish("draft", "one");
    m_network.Service().Publish("shop", "one");
  }

  void Start() {
    m_network.Start();
    m_network.RunFor(kStartupTime);
    ASSERT_EQ(m_network.CountInForce("draft", 1), kProcesses);
  }

  ReplicaNetwork m_network;
};

TEST_P(ReplicaFaultsTest, StartedProcessIsNotCurrentAfterStaleReadAlone) {
  Start();
  m_network.Service().Publish("draft", "two");
  m_network.RunFor(kPropagationTimeout);
  m_network.Service().readable_revision_limit = 2;
  m_network.StartProcess(5);
  // The stale read ends before any peer can respond.
  m_network.At(5).replica->OnRead(m_network.Now(), m_network.Service().Read(0));
  EXPECT_FALSE(m_network.At(5).replica->IsCurrent());
  m_network.RunFor(seconds(1));
  EXPECT_TRUE(m_network.At(5).replica->IsCurrent());
  EXPECT_EQ(m_network.At(5).replica->Find("draft")->revision, 3U);
}

TEST_P(ReplicaFaultsTest,
       StartedProcessWithoutResponsesBecomesCurrentAfterTimeout) {
  m_network.StartProcess(5);
  DocumentReplica& replica = *m_network.At(5).replica;
  replica.OnRead(m_network.Now(), m_network.Service().Read(0));
  EXPECT_FALSE(replica.IsCurrent());
  m_network.RunFor(seconds(4));
  EXPECT_TRUE(replica.IsCurrent());
}

TEST_P(ReplicaFaultsTest, KeepsDocumentsAndLimitsReadsDuringLongServiceOutage) {
  Start();
  m_network.Service().down = true;
  m_network.RunFor(minutes(60));
  const int before = m_network.TotalReads();
  m_network.RunFor(minutes(10));
  const double rate = (m_network.TotalReads() - before) / 600.0;
  EXPECT_LE(rate, kMaximumReadsPerSecond * kProcesses / kReferenceFleetSize);
  EXPECT_EQ(m_network.CountInForce("draft", 1), kProcesses);
  EXPECT_TRUE(m_network.At(3).replica->IsCurrent());
  m_network.StartProcess(7);
  m_network.RunFor(seconds(3));
  EXPECT_EQ(m_network.CountInForce("draft", 1), kProcesses);
  EXPECT_TRUE(m_network.At(7).replica->IsCurrent());
}

TEST_P(ReplicaFaultsTest, LimitsReadRateAfterServiceRecovers) {
  Start();
  m_network.Service().down = true;
  m_network.RunFor(minutes(20));
  m_network.Service().Publish("draft", "two");
  m_network.Service().down = false;
  const int before = m_network.TotalReads();
  m_network.RunFor(seconds(1));
  EXPECT_LE(m_network.TotalReads() - before,
            kMaximumReadsPerSecond * kProcesses / kReferenceFleetSize);
  m_network.RunFor(seconds(15) + kPropagationTimeout);
  EXPECT_EQ(m_network.CountInForce("draft", 3), kProcesses);
}

TEST_P(ReplicaFaultsTest,
       PartitionedHalvesReceiveUpdateAndHealWithoutRegression) {
  Start();
  m_network.is_partitioned = [](std::size_t a, std::size_t b) {
    return (a % kDataCentres < 2) != (b % kDataCentres < 2);
  };
  m_network.RunFor(seconds(30));
  m_network.Service().Publish("draft", "two");
  m_network.RunFor(kPropagationTimeout);
  // Each half contains readers.
  EXPECT_EQ(m_network.CountInForce("draft", 3), kProcesses);
  m_network.is_partitioned = nullptr;
  m_network.RunFor(kPropagationTimeout);
  EXPECT_EQ(m_network.Regressions(), 0);
}

TEST_P(ReplicaFaultsTest, HalfWithoutServiceCatchesUpAfterPartitionHeals) {
  Start();
  m_network.is_partitioned = [](std::size_t a, std::size_t b) {
    return (a % kDataCentres < 2) != (b % kDataCentres < 2);
  };
  m_network.is_service_unreachable = [](std::size_t p) {
    return p % kDataCentres < 2;
  };
  m_network.RunFor(seconds(30));
  m_network.Service().Publish("draft", "two");
  m_network.RunFor(seconds(30));
  EXPECT_EQ(m_network.CountInForce("draft", 3), kProcesses / 2);
  m_network.is_partitioned = nullptr;
  m_network.RunFor(kPropagationTimeout);
  EXPECT_EQ(m_network.CountInForce("draft", 3), kProcesses);
}

TEST_P(ReplicaFaultsTest, PausedProcessDoesNotRestoreOldRevisions) {
  Start();
  m_network.At(9).paused_until = m_network.Now() + minutes(5);
  for (int i = 0; i < 10; ++i) {
    m_network.Service().Publish("draft", "later");
    m_network.RunFor(seconds(10));
  }
  const std::uint64_t newest = m_network.Service().Revision();
  m_network.RunFor(minutes(4));
  EXPECT_EQ(m_network.CountInForce("draft", newest), kProcesses);
  EXPECT_EQ(m_network.Regressions(), 0);
}

TEST_P(ReplicaFaultsTest, DeletedDocumentStaysDeletedUntilRepublished) {
  Start();
  m_network.At(9).paused_until = m_network.Now() + seconds(40);
  m_network.Service().Delete("draft");
  m_network.RunFor(minutes(1));
  EXPECT_EQ(m_network.CountInForce("draft", 3), kProcesses);
  EXPECT_TRUE(m_network.At(9).replica->Find("draft")->deleted);
  m_network.Service().Publish("draft", "again");
  m_network.RunFor(kPropagationTimeout);
  EXPECT_EQ(m_network.CountInForce("draft", 4), kProcesses);
  EXPECT_FALSE(m_network.At(9).replica->Find("draft")->deleted);
}

TEST_P(ReplicaFaultsTest, DetectsDeletionThatNoRunningReaderObserved) {
  Start();
  // All processes except a paused one restart while the document is deleted.
  // The paused process keeps an old copy.
  m_network.At(9).paused_until = m_network.Now() + minutes(2);
  m_network.Service().DeleteWithHistory("draft");
  for (std::size_t i = 0; i < m_network.Size(); ++i) {
    if (i != 9) {
      m_network.StartProcess(i);
    }
  }
  m_network.RunFor(minutes(3));
  for (std::size_t i = 0; i < m_network.Size(); ++i) {
    const PublishedDocument* document = m_network.At(i).replica->Find("draft");
    EXPECT_TRUE(document == nullptr || document->deleted) << i;
  }
  EXPECT_EQ(m_network.Regressions(), 0);
}

TEST_P(ReplicaFaultsTest, AcceptsSameContentWithHigherRevision) {
  Start();
  m_network.Service().Publish("draft", "one");
  m_network.RunFor(kPropagationTimeout);
  EXPECT_EQ(m_network.CountInForce("draft", 3), kProcesses);
}

TEST_P(ReplicaFaultsTest, EachProcessPullsLargeDocumentOnce) {
  Start();
  constexpr std::size_t kLargeContentBytes = 1U << 20U;
  m_network.update_bytes = 0;
  m_network.Service().Publish("large", std::string(kLargeContentBytes, 'x'));
  m_network.RunFor(kPropagationTimeout);
  EXPECT_EQ(m_network.CountInForce("large", 3), kProcesses);
  constexpr double kMaximumCopiesPerProcess = 1.1;
  EXPECT_LE(static_cast<double>(m_network.update_bytes),
            kMaximumCopiesPerProcess * kLargeContentBytes * kProcesses);
}

TEST_P(ReplicaFaultsTest, LargeDocumentTakesEffectInTimeDespiteMessageLoss) {
  Start();
  m_network.loss = 0.1;
  m_network.Service().Publish("large", std::string(1U << 20U, 'x'));
  m_network.RunFor(kPropagationTimeout);
  EXPECT_EQ(m_network.CountInForce("large", 3), kProcesses);
}

TEST_P(ReplicaFaultsTest, StaleServiceCausesNoRegression) {
  Start();
  m_network.Service().Publish("draft", "two");
  m_network.RunFor(kPropagationTimeout);
  m_network.Service().readable_revision_limit = 1;
  m_network.RunFor(minutes(2));
  EXPECT_EQ(m_network.CountInForce("draft", 3), kProcesses);
  m_network.Service().readable_revision_limit = 0;
  m_network.Service().Publish("shop", "two");
  m_network.RunFor(kPropagationTimeout);
  EXPECT_EQ(m_network.CountInForce("shop", 4), kProcesses);
  EXPECT_EQ(m_network.Regressions(), 0);
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         ReplicaFaultsTest,
                         testing::Range<std::uint64_t>(1, 6));

struct SimultaneousStartCase {
  const char* name;
  bool service_down;
};

class SimultaneousStartTest
    : public testing::TestWithParam<SimultaneousStartCase> {};

TEST_P(SimultaneousStartTest, SimultaneousStartStaysBelowReadRateLimit) {
  constexpr int kStartingProcesses = kReferenceFleetSize;
  ReplicaNetwork network(1, kStartingProcesses, 7);
  network.Service().Publish("draft", "one");
  network.Service().down = GetParam().service_down;
  network.Start();
  int maximum_reads_per_second = 0;
  for (int second = 0; second < 20; ++second) {
    const int before = network.TotalReads();
    network.RunFor(seconds(1));
    maximum_reads_per_second =
        std::max(maximum_reads_per_second, network.TotalReads() - before);
  }
  EXPECT_LE(maximum_reads_per_second, kMaximumReadsPerSecond);
  EXPECT_EQ(network.CountInForce("draft", 1),
            GetParam().service_down ? 0 : kStartingProcesses);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    SimultaneousStartTest,
    testing::Values(SimultaneousStartCase{"ServiceUp", false},
                    SimultaneousStartCase{"ServiceDown", true}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace radishrudder::dissemination
