#include "radishrudder/routing/built_in_policies.h"

#include "radishrudder/routing/policy_anchors.h"

namespace radishrudder::routing {

void RegisterBuiltInPolicies() {
  AnchorRandomPolicy();
  AnchorRoundRobinPolicy();
  AnchorLeastLoadedOfTwoPolicy();
  AnchorLeastExpectedLatencyPolicy();
  AnchorLeastPredictedWaitPolicy();
  AnchorPrefixAffinityPolicy();
}

}  // namespace radishrudder::routing
