#include <algorithm>

#include "radishrudder/routing/candidate_draw.h"
#include "radishrudder/routing/policy.h"
#include "radishrudder/routing/policy_anchors.h"

namespace radishrudder::routing {
namespace {

// Returns the smallest known latency, or 0 if none is known.
double SmallestKnownLatency(std::span<const Candidate> candidates) {
  double smallest = 0;
  for (const Candidate& candidate : candidates) {
    const double latency = candidate.latency_seconds;
    if (latency > 0 && (smallest == 0 || latency < smallest)) {
      smallest = latency;
    }
  }
  return smallest;
}

// Chooses the candidate whose smoothed latency, grown by the calls it has per
// slot, is smallest over all candidates. One with unknown latency counts as
// the fastest, so that it is tried. Equal ones are chosen at random.
class LeastExpectedLatencyPolicy : public Policy {
 public:
  std::size_t Choose(const CallView& call,
                     std::span<const Candidate> candidates,
                     kernel::Random& random) override {
    const double unknown = SmallestKnownLatency(candidates);
    std::size_t best = 0;
    std::size_t ties = 1;
    double best_cost = Cost(candidates[0], unknown);
    for (std::size_t i = 1; i < candidates.size(); ++i) {
      const double cost = Cost(candidates[i], unknown);
      if (cost < best_cost) {
        best = i;
        best_cost = cost;
        ties = 1;
      } else if (cost == best_cost && random.Below(++ties) == 0) {
        best = i;
      }
    }
    return best;
  }

 private:
  static double Cost(const Candidate& candidate, double unknown) {
    const double latency =
        candidate.latency_seconds > 0 ? candidate.latency_seconds : unknown;
    // Without any known latency the load alone decides.
    const double base = latency > 0 ? latency : 1;
    return base * (1 + RelativeLoad(candidate)) +
           2 * candidate.distance_seconds;
  }
};

const kernel::Registration<PolicyFactory> registration(
    "least-expected-latency",
    [] { return std::make_unique<LeastExpectedLatencyPolicy>(); });

}  // namespace

void AnchorLeastExpectedLatencyPolicy() {}

}  // namespace radishrudder::routing
