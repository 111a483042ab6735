#ifndef RADISHRUDDER_ROUTING_POLICY_ANCHORS_H_
#define RADISHRUDDER_ROUTING_POLICY_ANCHORS_H_

namespace radishrudder::routing {

// Each of these functions is empty and defined in the source file of a built-in
// policy. A reference to it links that file, and with it the registration of
// the policy.
void AnchorRandomPolicy();
void AnchorRoundRobinPolicy();
void AnchorLeastLoadedOfTwoPolicy();
void AnchorLeastExpectedLatencyPolicy();
void AnchorLeastPredictedWaitPolicy();
void AnchorPrefixAffinityPolicy();

}  // namespace radishrudder::routing

#endif  // RADISHRUDDER_ROUTING_POLICY_ANCHORS_H_
