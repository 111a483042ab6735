#include "radishrudder/routing/spill.h"

#include "radishrudder/routing/candidate_draw.h"

namespace radishrudder::routing {
namespace {

// Returns the end of the candidates as near as the one at `begin`.
std::size_t EndOfDistance(std::span<const Candidate> candidates,
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

std::size_t CandidatesWithinReach(std::span<const Candidate> candidates,
                                  const SpillSettings& settings,
                                  kernel::Random& random) {
  std::size_t end = 0;
  while (end < candidates.size()) {
    end = EndOfDistance(candidates, end);
    const double load = MeanRelativeLoad(candidates.first(end));
    const double share =
        (load - settings.begin) / (settings.full - settings.begin);
    if (random.Uniform() >= share) {
      break;
    }
  }
  return end;
}

}  // namespace radishrudder::routing
