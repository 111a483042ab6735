#include "radishrudder/routing/spill.h"

#include "radishrudder/routing/candidate_draw.h"

namespace radishrudder::routing {
namespace {

// Returns the end of the range of candidates that starts at `begin` and has the
// same distance.
std::size_t EndOfEqualDistance(std::span<const Candidate> candidates,
                               std::size_t begin) {
  const double distance = candidates[begin].distance_seconds;
  std::size_t end = begin;
  while (end < candidates.size() &&
         candidates[end].distance_seconds <= distance) {
    ++end;
  }
  return end;
}

}  // namespace

std::size_t CountUsableCandidates(std::span<const Candidate> candidates,
                                  const SpillSettings& settings,
                                  kernel::Random& random) {
  std::size_t end = 0;
  while (end < candidates.size()) {
    end = EndOfEqualDistance(candidates, end);
    const double load = MeanRelativeLoad(candidates.first(end));
    const double probability = (load - settings.minimum_load) /
                               (settings.maximum_load - settings.minimum_load);
    if (random.Uniform() >= probability) {
      break;
    }
  }
  return end;
}

}  // namespace radishrudder::routing
