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

// Chooses the processes that `self` exchanges gossip with: its two neighbours
// on each of `local_rings` hash rings over its own data centre, and on one
// ring over all data centres. The choice is symmetric between processes with
// the same list, so that both ends share one channel, and a change of the
// list moves only the neighbours of what changed. Returns names in
// alphabetical order, at most `2 * local_rings + 2` of them.
std::vector<std::string> ChooseNeighbours(const GossipNode& self,
                                          std::span<const GossipNode> others,
                                          std::uint32_t local_rings);

// Returns whether `self` is among the `count` processes of its data centre
// that stand first in the rendezvous order of `purpose`.
bool IsChosen(std::string_view purpose,
              const GossipNode& self,
              std::span<const GossipNode> others,
              std::size_t count);

}  // namespace radishrudder::dissemination

#endif  // RADISHRUDDER_DISSEMINATION_NEIGHBOURS_H_
