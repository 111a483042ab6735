#ifndef RADISHRUDDER_MEASURE_ROUTING_ROUTER_STATE_H_
#define RADISHRUDDER_MEASURE_ROUTING_ROUTER_STATE_H_

#include <cstddef>

namespace radishrudder::measure {

// State of one entry's router for one service of many endpoints.
struct RouterState {
  std::size_t endpoints = 0;
  std::size_t endpoints_followed = 0;
  std::size_t prefixes = 0;
  // Allocated bytes: for the endpoints with calls in flight at each of them,
  // and for a full prefix index.
  std::size_t endpoint_bytes = 0;
  std::size_t prefix_bytes = 0;
};

// Builds a router at the size expected in two years and measures it.
RouterState MeasureRouterState();

}  // namespace radishrudder::measure

#endif  // RADISHRUDDER_MEASURE_ROUTING_ROUTER_STATE_H_
