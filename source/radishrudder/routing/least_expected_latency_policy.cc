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

// Draws two candidates and chooses the one whose smoothed latency, grown by
// the calls it has per slot, is smaller. One with unknown latency counts as
// the fastest, so that it is tried. The draw is in random order, which breaks
// ties.
class LeastExpectedLatencyPolicy : public Policy {
 public:
  std::size_t Choose(const CallView& call,
                     std::span<const Candidate> candidates,
                     kernel::Random& random) override {
    const double unknown = SmallestKnownLatency(candidates);
    const CandidatePair pair = DrawTwo(candidates.size(), random);
    const double first = Cost(candidates[pair.first], unknown);
    const double second = Cost(candidates[pair.second], unknown);
    return second < first ? pair.second : pair.first;
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
