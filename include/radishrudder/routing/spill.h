#ifndef RADISHRUDDER_ROUTING_SPILL_H_
#define RADISHRUDDER_ROUTING_SPILL_H_

#include <cstddef>
#include <span>

#include "radishrudder/kernel/random.h"
#include "radishrudder/routing/policy.h"

namespace radishrudder::routing {

// Mean relative load of the nearer data centres at which calls spill over to
// farther ones: with probability 0 at or below `minimum_load`, rising linearly
// to 1 at `maximum_load`.
struct SpillSettings {
  double minimum_load = 0.5;
  double maximum_load = 1.0;
};

// Returns how many of the candidates, which must be ordered nearest first, a
// call may use: those at the smallest distance and, with a probability that
// grows with the load of the nearer ones, those at the next distances.
std::size_t CountUsableCandidates(std::span<const Candidate> candidates,
                                  const SpillSettings& settings,
                                  kernel::Random& random);

}  // namespace radishrudder::routing

#endif  // RADISHRUDDER_ROUTING_SPILL_H_
