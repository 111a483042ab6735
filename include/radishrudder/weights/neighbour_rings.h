#ifndef RADISHRUDDER_WEIGHTS_NEIGHBOUR_RINGS_H_
#define RADISHRUDDER_WEIGHTS_NEIGHBOUR_RINGS_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "radishrudder/weights/transfer.h"

namespace radishrudder::weights {

// Chooses the instances with which `self` exchanges chunks: those next to it on
// `count` / 2 rings, at least one, each ordered by a different hash. The
// relation is symmetric, and a failure changes only the neighbours of the
// failed instance. The first ring spans the data centres of the region; the
// others contain only the local data centre. Only live peers of the region are
// chosen, at most `count` if that is at least 2.
std::vector<std::string> ChooseNeighbours(const TransferPeer& self,
                                          std::span<const TransferPeer> peers,
                                          std::uint32_t count);

}  // namespace radishrudder::weights

#endif  // RADISHRUDDER_WEIGHTS_NEIGHBOUR_RINGS_H_
