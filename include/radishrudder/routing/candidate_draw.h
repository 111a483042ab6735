#ifndef RADISHRUDDER_ROUTING_CANDIDATE_DRAW_H_
#define RADISHRUDDER_ROUTING_CANDIDATE_DRAW_H_

#include <cstddef>
#include <span>

#include "radishrudder/kernel/random.h"
#include "radishrudder/routing/policy.h"

namespace radishrudder::routing {

// Two candidates drawn at random; the same one twice if there is only one.
struct CandidatePair {
  std::size_t first = 0;
  std::size_t second = 0;
};

// Draws two different candidates with equal probability. `count` is positive.
CandidatePair DrawTwo(std::size_t count, kernel::Random& random);

// Returns the estimated calls for each call that can run at once.
double RelativeLoad(const Candidate& candidate);

// Returns the mean of `RelativeLoad` weighted by capacity; 0 without
// candidates.
double MeanRelativeLoad(std::span<const Candidate> candidates);

}  // namespace radishrudder::routing

#endif  // RADISHRUDDER_ROUTING_CANDIDATE_DRAW_H_
