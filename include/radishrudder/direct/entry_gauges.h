#ifndef RADISHRUDDER_DIRECT_ENTRY_GAUGES_H_
#define RADISHRUDDER_DIRECT_ENTRY_GAUGES_H_

#include <cstddef>
#include <string>
#include <vector>

namespace radishrudder::direct {

// What an entry has of one service at present.
struct ServiceGauges {
  std::string service{};
  std::size_t waiting_calls = 0;  // For a place at an endpoint.
  std::size_t cold_endpoints = 0;
};

// State of an entry for metrics.
struct EntryGauges {
  std::vector<ServiceGauges> services{};
  // Data centres of the settings that are evacuated.
  std::size_t evacuated_data_centres = 0;
  // Error of the estimated answer lengths relative to the actual ones, over
  // recent complete answers; 0: no answers.
  double median_cost_error = 0;
  double high_cost_error = 0;  // 90th percentile.
};

}  // namespace radishrudder::direct

#endif  // RADISHRUDDER_DIRECT_ENTRY_GAUGES_H_
