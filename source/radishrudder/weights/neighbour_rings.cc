#include "radishrudder/weights/neighbour_rings.h"

#include <algorithm>
#include <string_view>

#include "radishrudder/kernel/hash.h"

namespace radishrudder::weights {
namespace {

struct RingPlace {
  std::uint64_t hash = 0;
  std::string_view name;
};

std::vector<RingPlace> BuildRing(std::span<const TransferPeer* const> members,
                                 std::uint32_t number) {
  const std::string salt = "ring-" + std::to_string(number);
  std::vector<RingPlace> ring;
  ring.reserve(members.size());
  for (const TransferPeer* member : members) {
    ring.push_back(
        {kernel::StableHash(salt, member->instance), member->instance});
  }
  std::sort(ring.begin(), ring.end(),
            [](const RingPlace& a, const RingPlace& b) {
              return a.hash != b.hash ? a.hash < b.hash : a.name < b.name;
            });
  return ring;
}

void AddBeside(std::span<const RingPlace> ring,
               std::string_view self,
               std::vector<std::string>& neighbours) {
  const auto found = std::find_if(
      ring.begin(), ring.end(),
      [self](const RingPlace& place) { return place.name == self; });
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
  for (std::uint32_t number = 0; number < std::max(count / 2, 1U); ++number) {
    const auto& members = number == 0 ? region : data_centre;
    AddBeside(BuildRing(members, number), self.instance, neighbours);
  }
  return neighbours;
}

}  // namespace radishrudder::weights
