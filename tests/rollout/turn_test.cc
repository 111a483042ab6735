#include "source/radishrudder/rollout/turn.h"

#include <gtest/gtest.h>

namespace radishrudder::rollout {
namespace {

struct MaximumOutCase {
  const char* name;
  std::size_t instances;
  double floor;
  std::uint32_t pace;
  std::size_t maximum_out;
};

class MaximumOutOfServiceTest : public testing::TestWithParam<MaximumOutCase> {
};

TEST_P(MaximumOutOfServiceTest, KeepsTheReadyFloor) {
  const MaximumOutCase& test = GetParam();
  EXPECT_EQ(MaximumOutOfService(test.instances, {test.floor, test.pace}),
            test.maximum_out);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    MaximumOutOfServiceTest,
    testing::Values(MaximumOutCase{"Quarter", 16, 0.75, 0, 4},
                    MaximumOutCase{"RoundsTheFloorUp", 11, 0.75, 0, 2},
                    MaximumOutCase{"ExactFloor", 4, 0.75, 0, 1},
                    MaximumOutCase{"NoFloor", 5, 0, 0, 5},
                    MaximumOutCase{"PaceBelowFloor", 16, 0.5, 2, 2},
                    MaximumOutCase{"OneInstance", 1, 0.75, 0, 1},
                    MaximumOutCase{"FullFloorAllowsOneInstance", 3, 1, 0, 1}),
    [](const auto& info) { return std::string(info.param.name); });

std::vector<RolloutPeer> Peers(int count,
                               std::uint64_t ready,
                               std::uint64_t accepted) {
  std::vector<RolloutPeer> peers;
  for (int i = 0; i < count; ++i) {
    RolloutPeer peer;
    peer.instance = "a" + std::to_string(i);
    peer.ready_revision = ready;
    peer.accepted_revision = accepted;
    peers.push_back(peer);
  }
  return peers;
}

TEST(DecideTurnTest, WaitsWhileNoPeerHasAccepted) {
  EXPECT_FALSE(DecideTurn("self", 5, {0.75, 0}, Peers(7, 4, 4)).may_go_out);
}

TEST(DecideTurnTest, OnlyTheAllowedNumberMayGoOutAfterAllHaveAccepted) {
  const std::vector<RolloutPeer> all = Peers(8, 4, 5);
  int going_out = 0;
  for (const RolloutPeer& self : all) {
    std::vector<RolloutPeer> others = all;
    std::erase_if(others,
                  [&](const auto& o) { return o.instance == self.instance; });
    going_out += DecideTurn(self.instance, 5, {0.75, 0}, others).may_go_out;
  }
  EXPECT_EQ(going_out, 2);
}

TEST(DecideTurnTest, DeadAndSuspectedPeersCountAsOutOfService) {
  std::vector<RolloutPeer> peers = Peers(7, 5, 5);
  EXPECT_TRUE(DecideTurn("self", 5, {0.75, 0}, peers).may_go_out);
  peers[0].dead = true;
  EXPECT_TRUE(DecideTurn("self", 5, {0.75, 0}, peers).may_go_out);
  peers[1].suspected = true;
  EXPECT_FALSE(DecideTurn("self", 5, {0.75, 0}, peers).may_go_out);
}

TEST(DecideTurnTest, LeavingPeersAreNotCounted) {
  std::vector<RolloutPeer> peers = Peers(4, 0, 0);
  for (RolloutPeer& peer : peers) {
    peer.leaving = true;
  }
  const Turn turn = DecideTurn("self", 5, {0.75, 0}, peers);
  EXPECT_TRUE(turn.may_go_out);
  EXPECT_EQ(turn.instances, 1U);
}

TEST(DecideTurnTest, WaitsIfAPeerKnowsANewerRevision) {
  std::vector<RolloutPeer> peers = Peers(7, 5, 5);
  peers[0].accepted_revision = 6;
  const Turn turn = DecideTurn("self", 5, {0.75, 0}, peers);
  EXPECT_FALSE(turn.may_go_out);
  EXPECT_EQ(turn.newer_revision, 6U);
}

}  // namespace
}  // namespace radishrudder::rollout
