#ifndef RADISHRUDDER_ROUTING_ENDPOINT_SUBSET_H_
#define RADISHRUDDER_ROUTING_ENDPOINT_SUBSET_H_

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

#include "radishrudder/routing/endpoint.h"

namespace radishrudder::routing {

struct SubsetSettings {
  // Endpoints that one entry follows and sends to.
  std::uint32_t size = 32;
  // Share of the places kept for other data centres than the nearest, so that
  // there is somewhere to go when the nearest is full or gone.
  double farther_share = 0.25;
};

// Chooses the endpoints that the entry named `entry` sends to: the nearest
// data centre first, inside a data centre by rendezvous hashing, so that one
// endpoint more or less changes at most one place, and entries together cover
// all endpoints evenly. Leaving endpoints are left out. Suspected ones take no
// place; they stay in the subset beside those that replace them.
// Returns indices into `endpoints`, nearest first.
std::vector<std::size_t> SelectSubset(std::string_view entry,
                                      std::span<const Endpoint> endpoints,
                                      const SubsetSettings& settings);

}  // namespace radishrudder::routing

#endif  // RADISHRUDDER_ROUTING_ENDPOINT_SUBSET_H_
