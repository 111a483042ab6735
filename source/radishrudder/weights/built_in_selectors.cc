#include "built_in_selectors.h"

#include "radishrudder/weights/selector.h"

namespace radishrudder::weights {
namespace {

// Selects a chunk with the fewest copies; ties are broken randomly.
std::size_t SelectRarest(std::span<const ChunkCandidate> candidates,
                         kernel::Random& random) {
  std::size_t best = 0;
  std::uint64_t equal = 1;
  for (std::size_t i = 1; i < candidates.size(); ++i) {
    if (candidates[i].copies > candidates[best].copies) {
      continue;
    }
    equal = candidates[i].copies < candidates[best].copies ? 1 : equal + 1;
    if (random.Below(equal) == 0) {
      best = i;
    }
  }
  return best;
}

std::size_t SelectRandom(std::span<const ChunkCandidate> candidates,
                         kernel::Random& random) {
  return random.Below(candidates.size());
}

std::size_t SelectFirst(std::span<const ChunkCandidate> candidates,
                        kernel::Random& random) {
  return 0;
}

const kernel::Registration<ChunkSelector> rarest_first("rarest-first",
                                                       SelectRarest);
const kernel::Registration<ChunkSelector> random_order("random", SelectRandom);
const kernel::Registration<ChunkSelector> in_order("in-order", SelectFirst);

}  // namespace

void LinkBuiltInSelectors() {}

}  // namespace radishrudder::weights
