#ifndef RADISHRUDDER_ROUTING_SPILL_H_
#define RADISHRUDDER_ROUTING_SPILL_H_

#include <cstddef>
#include <span>

#include "radishrudder/kernel/random.h"
#include "radishrudder/routing/policy.h"

namespace radishrudder::routing {

// Relative loads of the nearer data centres between which calls also go
// farther: none at or below `begin`, all of them at or above `full`.
struct SpillSettings {
  double begin = 0.5;
  double full = 1.0;
};

// Returns how many of the candidates, which are ordered nearest first, are
// within reach of a call now: the nearest data centre, and with a probability
// that grows with its load also the next ones.
std::size_t CandidatesWithinReach(std::span<const Candidate> candidates,
                                  const SpillSettings& settings,
                                  kernel::Random& random);

}  // namespace radishrudder::routing

#endif  // RADISHRUDDER_ROUTING_SPILL_H_
