#ifndef RADISHRUDDER_ROUTING_ENDPOINT_SUBSET_H_
#define RADISHRUDDER_ROUTING_ENDPOINT_SUBSET_H_

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

#include "radishrudder/routing/endpoint.h"

namespace radishrudder::routing {

struct SubsetSettings {
  // Number of endpoints that one entry tracks and sends calls to.
  std::uint32_t size = 32;
  // Fraction of the subset reserved for data centres other than the nearest,
  // so that calls can still be routed when the nearest one is at capacity or
  // unavailable.
  double remote_fraction = 0.25;
  // Endpoints of each data centre that the subset has in any case, beyond its
  // size if need be, for calls that may use only some data centres.
  std::uint32_t minimum_per_data_centre = 0;
};

// Selects the endpoints that the entry named `entry` sends calls to. Endpoints
// are ordered by distance, and by rendezvous hashing within one distance, so
// that adding or removing one endpoint changes at most one member of the subset
// and the subsets of all entries cover the endpoints evenly. Leaving endpoints
// are excluded. Suspected endpoints do not count towards the size: they stay in
// the subset in addition to their replacements.
// Returns indices into `endpoints`, nearest first.
std::vector<std::size_t> SelectSubset(std::string_view entry,
                                      std::span<const Endpoint> endpoints,
                                      const SubsetSettings& settings);

}  // namespace radishrudder::routing

#endif  // RADISHRUDDER_ROUTING_ENDPOINT_SUBSET_H_
