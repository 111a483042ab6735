#ifndef RADISHRUDDER_ROLLOUT_PEER_VIEW_H_
#define RADISHRUDDER_ROLLOUT_PEER_VIEW_H_

#include <vector>

#include "radishrudder/membership/membership.h"
#include "radishrudder/rollout/rollout.h"

namespace radishrudder::rollout {

// Returns what a rollout must know of a member.
RolloutPeer ToPeer(const membership::Member& member);

// Returns the peers of an agent of `service`.
std::vector<RolloutPeer> PeersOf(const membership::Membership& membership,
                                 std::string_view service);

}  // namespace radishrudder::rollout

#endif  // RADISHRUDDER_ROLLOUT_PEER_VIEW_H_
