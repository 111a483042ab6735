#include "radishrudder/rollout/peer_view.h"

namespace radishrudder::rollout {

RolloutPeer ToPeer(const membership::Member& member) {
  RolloutPeer peer;
  peer.instance = member.listed.instance;
  peer.leaving = member.state == membership::State::kLeaving;
  peer.suspected = member.state == membership::State::kSuspected;
  peer.dead = member.state == membership::State::kDead;
  peer.running_digest = member.running_digest;
  peer.ready_revision = member.ready_revision;
  peer.accepted_revision = member.accepted_revision;
  return peer;
}

std::vector<RolloutPeer> PeersOf(const membership::Membership& membership,
                                 std::string_view service) {
  std::vector<RolloutPeer> peers;
  for (const membership::Member* member : membership.AgentsOf(service)) {
    peers.push_back(ToPeer(*member));
  }
  return peers;
}

}  // namespace radishrudder::rollout
