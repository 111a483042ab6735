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

// Draws two candidates and chooses the one with the lower expected latency: the
// smoothed latency, which grows with the relative load, plus the round trip. A
// candidate with unknown latency is given the lowest known one, so that it
// receives calls. The random order of the pair breaks ties.
class LeastExpectedLatencyPolicy : public Policy {
 public:
  std::size_t Choose(const CallView& call,
                     std::span<const Candidate> candidates,
                     kernel::Random& random) override {
    const double default_latency = SmallestKnownLatency(candidates);
    const CandidatePair pair = DrawTwo(candidates.size(), random);
    const double first =
        ExpectedLatency(candidates[pair.first], default_latency);
    const double second =
        ExpectedLatency(candidates[pair.second], default_latency);
    return second < first ? pair.second : pair.first;
  }

 private:
  static double ExpectedLatency(const Candidate& candidate,
                                double default_latency) {
    const double latency = candidate.latency_seconds > 0
                               ? candidate.latency_seconds
                               : default_latency;
    // Without any known latency the base is the same for all candidates.
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
