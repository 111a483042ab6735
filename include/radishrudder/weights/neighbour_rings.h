#ifndef RADISHRUDDER_WEIGHTS_NEIGHBOUR_RINGS_H_
#define RADISHRUDDER_WEIGHTS_NEIGHBOUR_RINGS_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "radishrudder/weights/transfer.h"

namespace radishrudder::weights {

// Chooses the instances with which this one exchanges chunks: those beside it
// on `count` / 2 rings, each ring ordered by another hash. Neighbours choose
// each other, and a failure changes only the neighbours of the one that failed.
// One ring joins the data centres of the region, the others stay inside this
// data centre. Only live peers of this region are chosen, at most `count`.
std::vector<std::string> ChooseNeighbours(const TransferPeer& self,
                                          std::span<const TransferPeer> peers,
                                          std::uint32_t count);

}  // namespace radishrudder::weights

#endif  // RADISHRUDDER_WEIGHTS_NEIGHBOUR_RINGS_H_
