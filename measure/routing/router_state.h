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
  // Entries whose subset holds an endpoint, over all endpoints.
  std::size_t entries = 0;
  std::size_t fewest_entries = 0;
  std::size_t most_entries = 0;
  // Processor time of one choice, and of choosing the subset anew.
  double choose_microseconds = 0;
  // Of one choice of least-predicted-wait among 58 endpoints.
  double predicted_choose_microseconds = 0;
  double subset_microseconds = 0;
};

// Builds a router at the size expected in two years and measures it.
RouterState MeasureRouterState();

}  // namespace radishrudder::measure

#endif  // RADISHRUDDER_MEASURE_ROUTING_ROUTER_STATE_H_
