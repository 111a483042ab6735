#ifndef RADISHRUDDER_ROUTING_POLICY_ANCHORS_H_
#define RADISHRUDDER_ROUTING_POLICY_ANCHORS_H_

namespace radishrudder::routing {

// One empty function in the source file of each built-in policy; a reference
// to it links that file, and with it the policy's registration.
void AnchorRandomPolicy();
void AnchorRoundRobinPolicy();
void AnchorLeastLoadedOfTwoPolicy();
void AnchorLeastExpectedLatencyPolicy();
void AnchorPrefixAffinityPolicy();

}  // namespace radishrudder::routing

#endif  // RADISHRUDDER_ROUTING_POLICY_ANCHORS_H_
