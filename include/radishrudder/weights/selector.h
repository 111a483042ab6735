#ifndef RADISHRUDDER_WEIGHTS_SELECTOR_H_
#define RADISHRUDDER_WEIGHTS_SELECTOR_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <string_view>

#include "radishrudder/kernel/random.h"
#include "radishrudder/kernel/registry.h"

namespace radishrudder::weights {

// A missing chunk that a neighbour offers.
struct ChunkCandidate {
  std::uint32_t index = 0;
  std::uint32_t copies = 0;  // Number of neighbours that have it.
};

// Returns the position in `candidates`, which is not empty, of the chunk to
// request next.
using ChunkSelector =
    std::function<std::size_t(std::span<const ChunkCandidate> candidates,
                              kernel::Random& random)>;

// Returns the selector with that name, or an empty function if there is none.
ChunkSelector FindSelector(std::string_view name);

}  // namespace radishrudder::weights

#endif  // RADISHRUDDER_WEIGHTS_SELECTOR_H_
