#include "radishrudder/routing/candidate_draw.h"
#include "radishrudder/routing/policy.h"
#include "radishrudder/routing/policy_anchors.h"

namespace radishrudder::routing {
namespace {

// Draws two candidates and chooses the one with the lower relative load.
// Entries with the same stale reports draw different pairs, so they do not all
// choose the endpoint that appears idle. The random order of the pair breaks
// ties.
class LeastLoadedOfTwoPolicy : public Policy {
 public:
  std::size_t Choose(const CallView& call,
                     std::span<const Candidate> candidates,
                     kernel::Random& random) override {
    const CandidatePair pair = DrawTwo(candidates.size(), random);
    const double first = RelativeLoad(candidates[pair.first]);
    const double second = RelativeLoad(candidates[pair.second]);
    return second < first ? pair.second : pair.first;
  }
};

const kernel::Registration<PolicyFactory> registration(
    "least-loaded-of-two",
    [] { return std::make_unique<LeastLoadedOfTwoPolicy>(); });

}  // namespace

void AnchorLeastLoadedOfTwoPolicy() {}

}  // namespace radishrudder::routing
