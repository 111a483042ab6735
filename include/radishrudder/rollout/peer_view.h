#ifndef RADISHRUDDER_ROLLOUT_PEER_VIEW_H_
#define RADISHRUDDER_ROLLOUT_PEER_VIEW_H_

#include <vector>

#include "radishrudder/membership/membership.h"
#include "radishrudder/rollout/rollout.h"

namespace radishrudder::rollout {

// Converts a member to the peer state that a rollout uses.
RolloutPeer ToPeer(const membership::Member& member);

// Returns the agents of `service` that are peers of this instance.
std::vector<RolloutPeer> PeersOf(const membership::Membership& membership,
                                 std::string_view service);

}  // namespace radishrudder::rollout

#endif  // RADISHRUDDER_ROLLOUT_PEER_VIEW_H_
