#include "radishrudder/routing/policy.h"
#include "radishrudder/routing/policy_anchors.h"

namespace radishrudder::routing {
namespace {

// Chooses every candidate with the same probability. It ignores the load, so a
// stale report cannot make all entries choose the same endpoint. It is the
// baseline for the other policies.
class RandomPolicy : public Policy {
 public:
  std::size_t Choose(const CallView& call,
                     std::span<const Candidate> candidates,
                     kernel::Random& random) override {
    return random.Below(candidates.size());
  }
};

const kernel::Registration<PolicyFactory> registration("random", [] {
  return std::make_unique<RandomPolicy>();
});

}  // namespace

void AnchorRandomPolicy() {}

}  // namespace radishrudder::routing
