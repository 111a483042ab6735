#ifndef RADISHRUDDER_ROUTING_ENDPOINT_H_
#define RADISHRUDDER_ROUTING_ENDPOINT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "radishrudder/kernel/time.h"

namespace radishrudder::routing {

// Load of an endpoint as reported by the endpoint or by its agent, in calls.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t capacity = 0;  // Maximum concurrent calls; 0: unknown.
  // How long work takes at present, relative to the usual time; nothing: not
  // stated.
  std::optional<double> pace{};
  // Time of the measurement on the clock of this process. A report without it
  // is taken to be `LoadSettings::report_lag` old on arrival.
  std::optional<kernel::Time> measured_at{};
};

// One endpoint of a service according to the membership.
struct Endpoint {
  std::string instance;
  // Identifies the run of the endpoint's agent. The state kept for an endpoint
  // is reset when its incarnation changes.
  std::uint64_t incarnation = 0;
  std::string data_centre;
  double distance_seconds = 0;  // One-way network delay from this entry.
  bool leaving = false;
  bool suspected = false;
  // Manifest digest of the version that it runs; empty for plain services.
  std::string running_digest;
  LoadReport load;
  bool load_known = true;  // False: `load` must be ignored.
};

// Identifies a call among those that one entry has in flight; 0: none.
using CallId = std::uint64_t;

// One run of an endpoint's agent, and optionally an attempt at it.
struct EndpointRun {
  std::string_view instance;
  std::uint64_t incarnation = 0;
  // The attempt whose remaining work is followed; only `Router` uses it. The
  // same value is passed when the attempt is sent, progresses and ends.
  CallId call = 0;
};

// Index of an endpoint within one router; reused after the endpoint has been
// removed.
using Slot = std::uint32_t;

}  // namespace radishrudder::routing

#endif  // RADISHRUDDER_ROUTING_ENDPOINT_H_
