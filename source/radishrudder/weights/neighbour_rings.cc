#include "radishrudder/weights/neighbour_rings.h"

#include <algorithm>
#include <string_view>

#include "radishrudder/kernel/hash.h"

namespace radishrudder::weights {
namespace {

struct RingEntry {
  std::uint64_t hash = 0;
  std::string_view name;
};

std::vector<RingEntry> BuildRing(std::span<const TransferPeer* const> members,
                                 std::uint32_t ring_number) {
  const std::string salt = "ring-" + std::to_string(ring_number);
  std::vector<RingEntry> ring;
  ring.reserve(members.size());
  for (const TransferPeer* member : members) {
    ring.push_back(
        {kernel::StableHash(salt, member->instance), member->instance});
  }
  std::sort(ring.begin(), ring.end(),
            [](const RingEntry& a, const RingEntry& b) {
              return a.hash != b.hash ? a.hash < b.hash : a.name < b.name;
            });
  return ring;
}

void AddAdjacent(std::span<const RingEntry> ring,
                 std::string_view self,
                 std::vector<std::string>& neighbours) {
  const auto found = std::find_if(
      ring.begin(), ring.end(),
      [self](const RingEntry& entry) { return entry.name == self; });
  const auto at = static_cast<std::size_t>(found - ring.begin());
  for (const std::size_t step : {std::size_t{1}, ring.size() - 1}) {
    const std::string name(ring[(at + step) % ring.size()].name);
    if (name != self && std::find(neighbours.begin(), neighbours.end(), name) ==
                            neighbours.end()) {
      neighbours.push_back(name);
    }
  }
}

}  // namespace

std::vector<std::string> ChooseNeighbours(const TransferPeer& self,
                                          std::span<const TransferPeer> peers,
                                          std::uint32_t count) {
  std::vector<const TransferPeer*> region = {&self};
  std::vector<const TransferPeer*> data_centre = {&self};
  for (const TransferPeer& peer : peers) {
    if (!peer.alive || peer.region != self.region ||
        peer.instance == self.instance) {
      continue;
    }
    region.push_back(&peer);
    if (peer.data_centre == self.data_centre) {
      data_centre.push_back(&peer);
    }
  }
  std::vector<std::string> neighbours;
  for (std::uint32_t ring_number = 0; ring_number < std::max(count / 2, 1U);
       ++ring_number) {
    const auto& members = ring_number == 0 ? region : data_centre;
    AddAdjacent(BuildRing(members, ring_number), self.instance, neighbours);
  }
  return neighbours;
}

}  // namespace radishrudder::weights
