#ifndef RADISHRUDDER_DISSEMINATION_NEIGHBOURS_H_
#define RADISHRUDDER_DISSEMINATION_NEIGHBOURS_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace radishrudder::dissemination {

// A process as a node of the gossip graph.
struct GossipNode {
  std::string instance;
  std::string data_centre;
};

// Selects the processes that `self` exchanges gossip with: its two neighbours
// on each of `local_rings` hash rings over its data centre, and on one ring
// over all data centres. Processes with the same list select each other
// symmetrically, so that both share one channel. Adding or removing a process
// changes the selection only of the processes next to it on a ring. Returns
// instance names in alphabetical order, at most `2 * local_rings + 2` of them.
std::vector<std::string> ChooseNeighbours(const GossipNode& self,
                                          std::span<const GossipNode> others,
                                          std::uint32_t local_rings);

// Returns whether `self` is among the `count` processes of its data centre with
// the highest rendezvous hashes for `purpose`.
bool IsSelectedByRendezvous(std::string_view purpose,
                            const GossipNode& self,
                            std::span<const GossipNode> others,
                            std::size_t count);

}  // namespace radishrudder::dissemination

#endif  // RADISHRUDDER_DISSEMINATION_NEIGHBOURS_H_
