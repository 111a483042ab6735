#ifndef RADISHRUDDER_TESTS_ROUTING_ROUTING_FIXTURES_H_
#define RADISHRUDDER_TESTS_ROUTING_ROUTING_FIXTURES_H_

#include <string>
#include <vector>

#include "radishrudder/kernel/time.h"
#include "radishrudder/routing/endpoint.h"

namespace radishrudder::routing {

// Returns the time `milliseconds` after the start of a test.
inline kernel::Time At(std::int64_t milliseconds) {
  return kernel::Time(std::chrono::hours(1)) +
         std::chrono::milliseconds(milliseconds);
}

// Returns `count` endpoints in one data centre: "runner-0" and so on, prefixed
// with the name of the data centre unless that is "near".
inline std::vector<Endpoint> Endpoints(std::size_t count,
                                       const std::string& data_centre = "near",
                                       double distance_seconds = 0) {
  std::vector<Endpoint> endpoints(count);
  for (std::size_t i = 0; i < count; ++i) {
    endpoints[i].instance =
        (data_centre == "near" ? "runner-" : data_centre + "-runner-") +
        std::to_string(i);
    endpoints[i].incarnation = 1;
    endpoints[i].data_centre = data_centre;
    endpoints[i].distance_seconds = distance_seconds;
    endpoints[i].load.capacity = 8;
  }
  return endpoints;
}

}  // namespace radishrudder::routing

#endif  // RADISHRUDDER_TESTS_ROUTING_ROUTING_FIXTURES_H_
