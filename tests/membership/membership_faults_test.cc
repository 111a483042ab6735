#include <gtest/gtest.h>

#include "member_network.h"

namespace radishrudder::membership {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr int kEntries = 6;
constexpr int kAgents = 34;
constexpr int kDataCentres = 4;
constexpr int kOthers = kEntries + kAgents - 1;
constexpr std::size_t kAgent = kEntries + 5;
constexpr kernel::Duration kStartupTime = seconds(10);

class MembershipFaultsTest : public testing::TestWithParam<std::uint64_t> {
 protected:
  MembershipFaultsTest()
      : m_network(GetParam(), kEntries, kAgents, kDataCentres) {
    m_network.Start();
    m_network.RunFor(kStartupTime);
  }

  const Member& SeenBy(std::size_t process, std::size_t other) {
    return *m_network.At(process).membership->Find(
        m_network.At(other).listed.instance);
  }

  MemberNetwork m_network;
};

TEST_P(MembershipFaultsTest, JitterAndLossCauseFewFalseSuspicions) {
  m_network.loss = 0.1;
  m_network.jitter_milliseconds = 500;
  m_network.RunFor(minutes(10));
  // All other processes see each false suspicion. The limit is fewer than one
  // suspicion of each process per hour.
  const int suspicions = m_network.FalseSuspicions() / kOthers;
  RecordProperty("alarms_in_ten_minutes", suspicions);
  EXPECT_LT(suspicions, (kOthers + 1) * 10 / 60);
  EXPECT_EQ(m_network.CountSeenAs(kAgent, State::kLive), kOthers);
}

TEST_P(MembershipFaultsTest, ReportedReadinessNeverDecreases) {
  m_network.loss = 0.1;
  for (std::uint64_t revision = 1; revision <= 20; ++revision) {
    m_network.At(kAgent).membership->SetReady(
        "sha256:" + std::to_string(revision), revision, revision);
    for (int second = 0; second < 3; ++second) {
      std::vector<std::uint64_t> before;
      for (std::size_t i = 0; i < m_network.Size(); ++i) {
        before.push_back(i == kAgent ? 0 : SeenBy(i, kAgent).ready_revision);
      }
      m_network.RunFor(seconds(1));
      for (std::size_t i = 0; i < m_network.Size(); ++i) {
        if (i != kAgent) {
          ASSERT_GE(SeenBy(i, kAgent).ready_revision, before[i]) << i;
        }
      }
    }
    for (std::size_t i = 0; i < m_network.Size(); ++i) {
      if (i != kAgent) {
        ASSERT_EQ(SeenBy(i, kAgent).ready_revision, revision) << i;
      }
    }
  }
}

TEST_P(MembershipFaultsTest, UnchangedFleetSendsNoUpdates) {
  m_network.RunFor(seconds(20));
  m_network.update_messages = 0;
  m_network.RunFor(seconds(30));
  EXPECT_EQ(m_network.update_messages, 0);
}

TEST_P(MembershipFaultsTest, LaterRunReplacesEarlierRun) {
  m_network.StartProcess(kAgent, 200);
  m_network.RunFor(seconds(3));
  for (std::size_t i = 0; i < m_network.Size(); ++i) {
    if (i != kAgent) {
      EXPECT_EQ(SeenBy(i, kAgent).incarnation, 200U) << i;
    }
  }
}

TEST_P(MembershipFaultsTest, AcceptsLowerIncarnationOnceOldRunIsDead) {
  m_network.Kill(kAgent);
  m_network.RunFor(seconds(17));
  EXPECT_EQ(m_network.CountSeenAs(kAgent, State::kDead), kOthers);
  m_network.StartProcess(kAgent, 50);
  m_network.RunFor(seconds(15));
  EXPECT_EQ(m_network.CountSeenAs(kAgent, State::kLive), kOthers);
  EXPECT_EQ(SeenBy(0, kAgent).incarnation, 50U);
}

TEST_P(MembershipFaultsTest, OldRunIsNotifiedThatItIsSuperseded) {
  const std::string name = m_network.At(kAgent).listed.instance;
  wire::Envelope message;
  wire::Heartbeat* heartbeat = message.mutable_heartbeat();
  heartbeat->mutable_process()->set_instance(name);
  heartbeat->mutable_process()->set_incarnation(200);
  heartbeat->set_role("agent");
  m_network.Inject(kAgent, message);
  m_network.RunFor(seconds(1));
  EXPECT_TRUE(m_network.At(kAgent).membership->IsSuperseded());
}

TEST_P(MembershipFaultsTest, ResumedProcessSuspectsNoOtherProcess) {
  m_network.At(kAgent).paused_until = m_network.Now() + seconds(30);
  m_network.RunFor(seconds(8));
  EXPECT_EQ(m_network.CountSeenAs(kAgent, State::kSuspected), kOthers);
  m_network.RunFor(seconds(30));
  EXPECT_EQ(m_network.At(kAgent).false_suspicions, 0);
  EXPECT_EQ(m_network.CountSeenAs(kAgent, State::kLive), kOthers);
}

TEST_P(MembershipFaultsTest, AllProcessesAreLiveAfterPartitionHeals) {
  m_network.is_partitioned = [](std::size_t a, std::size_t b) {
    return (a % kDataCentres == 0) != (b % kDataCentres == 0);
  };
  m_network.RunFor(seconds(60));
  m_network.At(kAgent).membership->SetReady("sha256:ab", 7, 7);
  m_network.RunFor(seconds(5));
  m_network.is_partitioned = nullptr;
  m_network.RunFor(seconds(30));
  for (std::size_t i = 0; i < m_network.Size(); ++i) {
    EXPECT_EQ(m_network.CountSeenAs(i, State::kLive), kOthers) << i;
    if (i != kAgent) {
      EXPECT_EQ(SeenBy(i, kAgent).ready_revision, 7U) << i;
    }
  }
}

TEST_P(MembershipFaultsTest, InstanceRemovedFromListIsNoLongerAnAgent) {
  m_network.Kill(kAgent);
  m_network.RemoveFromList(kAgent);
  m_network.RunFor(seconds(40));
  EXPECT_EQ(m_network.At(0).membership->AgentsOf("draft").size(),
            static_cast<std::size_t>(kAgents - 1));
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         MembershipFaultsTest,
                         testing::Range<std::uint64_t>(1, 4));

}  // namespace
}  // namespace radishrudder::membership
