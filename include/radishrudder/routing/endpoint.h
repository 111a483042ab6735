#ifndef RADISHRUDDER_ROUTING_ENDPOINT_H_
#define RADISHRUDDER_ROUTING_ENDPOINT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "radishrudder/kernel/time.h"

namespace radishrudder::routing {

// Load of an endpoint as it or its agent reported it.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t capacity = 0;  // Calls that run at once; 0: unknown.
  // When the load was like this, on this process's clock. Without it the
  // report counts as older than its arrival by `LoadSettings::report_lag`.
  std::optional<kernel::Time> measured{};
};

// One endpoint of a service as membership knows it.
struct Endpoint {
  std::string instance;
  std::uint64_t incarnation = 0;  // Run of its agent; a new one starts afresh.
  std::string data_centre;
  double distance_seconds = 0;  // One-way delay from here.
  bool leaving = false;
  bool suspected = false;
  std::string running_digest;  // What it really runs; empty for plain services.
  LoadReport load;
  bool load_known = true;  // False: `load` says nothing.
};

// One run of an endpoint's agent.
struct EndpointRun {
  std::string_view instance;
  std::uint64_t incarnation = 0;
};

// Number of an endpoint inside one router; reused after the endpoint is gone.
using Slot = std::uint32_t;

}  // namespace radishrudder::routing

#endif  // RADISHRUDDER_ROUTING_ENDPOINT_H_
