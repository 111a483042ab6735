#ifndef RADISHRUDDER_TESTS_DIRECT_VALID_CONFIGURATION_H_
#define RADISHRUDDER_TESTS_DIRECT_VALID_CONFIGURATION_H_

#include <string>

#include "radishrudder/direct/configuration.h"
#include "radishrudder/direct/endpoint_list.h"

namespace radishrudder::direct {

// A configuration of version 7 in which the check finds nothing.
inline Configuration ValidConfiguration() {
  Configuration configuration;
  configuration.version = 7;
  RouteRule first{.name = "r-1", .host = "h.example", .prefix = "/a/"};
  first.kind = RouteKind::kStream;
  first.maximum_attempts = 2;
  first.timeout = std::chrono::milliseconds(6000);
  first.latency_target = std::chrono::milliseconds(400);
  first.services = {{"s", 1}};
  RouteRule second{.name = "r-2", .host = "h.example", .prefix = "/b/"};
  second.services = {{"s", 90}, {"t", 10}};
  configuration.routes = {first, second};
  // With every slot in use, a usual call takes 100 tokens of 10 ms.
  const EngineRule engine{
      .slots = 16, .step_ms = 10, .mean_answer_tokens = 100};
  configuration.services = {{.name = "s",
                             .engine = engine,
                             .cold_start = std::chrono::milliseconds(20000),
                             .cold_requests_per_second = 4},
                            {.name = "t"}};
  configuration.workspaces = {
      {.name = "w-1", .keys = {"key-one"}, .allowed_regions = {"eu"}},
      {.name = "w-2", .keys = {"key-two"}}};
  return configuration;
}

inline ListedEndpoint Endpoint(const std::string& id,
                               const std::string& service) {
  ListedEndpoint endpoint;
  endpoint.id = id;
  endpoint.service = service;
  return endpoint;
}

}  // namespace radishrudder::direct

#endif  // RADISHRUDDER_TESTS_DIRECT_VALID_CONFIGURATION_H_
