#include "radishrudder/membership/membership.h"

#include <gtest/gtest.h>

#include "member_network.h"

namespace radishrudder::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kEntries = 4;
constexpr int kAgents = 20;
constexpr int kDataCentres = 3;
constexpr int kOthers = kEntries + kAgents - 1;
constexpr std::size_t kAgent = kEntries + 3;
constexpr kernel::Duration kStartupTime = seconds(8);

TEST(MembershipTest, EveryProcessKnowsAllOthers) {
  MemberNetwork network(1, kEntries, kAgents, kDataCentres);
  network.Start();
  network.RunFor(kStartupTime);
  for (std::size_t i = 0; i < network.Size(); ++i) {
    const Membership& membership = *network.At(i).membership;
    EXPECT_TRUE(membership.HasList());
    EXPECT_EQ(membership.All().size(), static_cast<std::size_t>(kOthers));
    for (const Member* member : membership.All()) {
      EXPECT_EQ(member->incarnation, 100U);
      EXPECT_EQ(member->state, State::kLive);
    }
  }
}

TEST(MembershipTest, ReadinessAndLoadReachAnEntryWithinASecond) {
  MemberNetwork network(2, kEntries, kAgents, kDataCentres);
  network.Start();
  network.RunFor(kStartupTime);
  network.At(kAgent).membership->SetReady("sha256:ab", 7, 6);
  network.At(kAgent).membership->SetLoad({5, 2, 8});
  network.RunFor(seconds(1));
  const std::string name = network.At(kAgent).listed.instance;
  for (std::size_t entry = 0; entry < kEntries; ++entry) {
    const Member* member = network.At(entry).membership->Find(name);
    EXPECT_EQ(member->running_digest, "sha256:ab");
    EXPECT_EQ(member->ready_revision, 7U);
    EXPECT_EQ(member->accepted_revision, 6U);
    EXPECT_EQ(member->load.running, 5U);
    EXPECT_EQ(member->load.waiting, 2U);
  }
}

TEST(MembershipTest, ReportedLeavingReachesAllWithoutList) {
  MemberNetwork network(3, kEntries, kAgents, kDataCentres);
  network.loss = 0.1;
  network.Start();
  network.RunFor(kStartupTime);
  network.list_down = true;
  network.At(kAgent).membership->SetLeaving(network.Now());
  network.RunFor(seconds(2));
  EXPECT_EQ(network.CountSeenAs(kAgent, State::kLeaving), kOthers);
}

TEST(MembershipTest, ListedLeavingReachesAllIncludingTheInstance) {
  MemberNetwork network(4, kEntries, kAgents, kDataCentres);
  network.Start();
  network.RunFor(kStartupTime);
  network.MarkListedLeaving(kAgent);
  network.RunFor(seconds(2));
  EXPECT_EQ(network.CountSeenAs(kAgent, State::kLeaving), kOthers);
  const std::string name = network.At(kAgent).listed.instance;
  EXPECT_EQ(network.At(kAgent).membership->Find(name)->state, State::kLeaving);
}

TEST(MembershipTest, UnresponsiveProcessBecomesSuspectedThenDead) {
  MemberNetwork network(5, kEntries, kAgents, kDataCentres);
  network.Start();
  network.RunFor(kStartupTime);
  network.Kill(kAgent);
  network.RunFor(seconds(5));
  EXPECT_EQ(network.CountSeenAs(kAgent, State::kSuspected), kOthers);
  network.RunFor(seconds(12));
  EXPECT_EQ(network.CountSeenAs(kAgent, State::kDead), kOthers);
}

TEST(MembershipTest, AgentsOfReturnsOnlyAgentsOfTheService) {
  MemberNetwork network(6, kEntries, kAgents, kDataCentres);
  network.Start();
  network.RunFor(kStartupTime);
  const auto agents = network.At(0).membership->AgentsOf("draft");
  EXPECT_EQ(agents.size(), static_cast<std::size_t>(kAgents));
  EXPECT_TRUE(network.At(0).membership->AgentsOf("other").empty());
}

}  // namespace
}  // namespace radishrudder::membership
