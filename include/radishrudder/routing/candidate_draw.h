#ifndef RADISHRUDDER_ROUTING_CANDIDATE_DRAW_H_
#define RADISHRUDDER_ROUTING_CANDIDATE_DRAW_H_

#include <array>
#include <cstddef>
#include <span>

#include "radishrudder/kernel/random.h"
#include "radishrudder/routing/policy.h"

namespace radishrudder::routing {

// Indices of two candidates; equal if there is only one candidate.
struct CandidatePair {
  std::size_t first = 0;
  std::size_t second = 0;
};

// Draws two different candidates out of `count`, uniformly and in random
// order. With a single candidate both indices are 0. `count` must be positive.
CandidatePair DrawTwo(std::size_t count, kernel::Random& random);

// Draws up to three different indices below `count`, uniformly and in random
// order. The result has as many as there are, at most three.
class CandidateDraw {
 public:
  CandidateDraw(std::size_t count, kernel::Random& random);
  std::span<const std::size_t> Indices() const {
    return std::span(m_indices).first(m_size);
  }

 private:
  static constexpr std::size_t kMaximum = 3;

  std::array<std::size_t, kMaximum> m_indices{};
  std::size_t m_size = 0;
};

// Returns the estimated calls divided by the capacity, which counts as at
// least one call.
double RelativeLoad(const Candidate& candidate);

// Returns the mean of `RelativeLoad` weighted by capacity, or 0 without
// candidates.
double MeanRelativeLoad(std::span<const Candidate> candidates);

}  // namespace radishrudder::routing

#endif  // RADISHRUDDER_ROUTING_CANDIDATE_DRAW_H_
