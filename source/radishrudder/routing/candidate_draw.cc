#include "radishrudder/routing/candidate_draw.h"

#include <algorithm>

namespace radishrudder::routing {
namespace {

constexpr double kMinimumCapacityCalls = 1;

double Capacity(const Candidate& candidate) {
  return std::max(candidate.capacity, kMinimumCapacityCalls);
}

}  // namespace

CandidatePair DrawTwo(std::size_t count, kernel::Random& random) {
  if (count < 2) {
    return {};
  }
  CandidatePair pair;
  pair.first = random.Below(count);
  pair.second = random.Below(count - 1);
  if (pair.second >= pair.first) {
    ++pair.second;
  }
  return pair;
}

CandidateDraw::CandidateDraw(std::size_t count, kernel::Random& random) {
  while (m_size < std::min(count, kMaximum)) {
    const std::size_t drawn = random.Below(count);
    if (std::ranges::find(Indices(), drawn) == Indices().end()) {
      m_indices[m_size] = drawn;
      ++m_size;
    }
  }
}

double RelativeLoad(const Candidate& candidate) {
  return candidate.estimated_calls / Capacity(candidate);
}

double MeanRelativeLoad(std::span<const Candidate> candidates) {
  double calls = 0;
  double capacity = 0;
  for (const Candidate& candidate : candidates) {
    calls += candidate.estimated_calls;
    capacity += Capacity(candidate);
  }
  return capacity > 0 ? calls / capacity : 0;
}

}  // namespace radishrudder::routing
