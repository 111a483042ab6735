#ifndef RADISHRUDDER_DIRECT_LOAD_REPORT_H_
#define RADISHRUDDER_DIRECT_LOAD_REPORT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "radishrudder/kernel/time.h"

namespace radishrudder::direct {

// An endpoint of which an entry wants load reports.
struct ReportedEndpoint {
  std::string service{};
  std::string id{};
  std::string address{};      // "IP:PORT" of the endpoint.
  std::uint64_t started = 0;  // Unix time in milliseconds.
};

// Load of an endpoint as its agent reported it.
struct EndpointLoadReport {
  std::string service{};
  std::string endpoint{};     // Id.
  std::uint64_t started = 0;  // Of the run, Unix time in milliseconds.
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  double pace = 1;  // Time that work takes, relative to the usual time.
  // The endpoint is loading a version or is about to.
  bool takes_no_new_calls = false;
  std::uint64_t model_version = 0;  // 0: no model is completely loaded.
  kernel::Time measured_at{};
};

}  // namespace radishrudder::direct

#endif  // RADISHRUDDER_DIRECT_LOAD_REPORT_H_
