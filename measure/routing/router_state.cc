#include "measure/routing/router_state.h"

#include <malloc.h>
#include <string>
#include <vector>

#include "radishrudder/routing/router.h"

namespace radishrudder::measure {
namespace {

constexpr std::size_t kEndpoints = 940;
constexpr std::size_t kDataCentres = 7;
constexpr std::size_t kCallsInFlight = 32;  // At each endpoint followed.

std::size_t AllocatedBytes() {
  return mallinfo2().uordblks;
}

std::vector<routing::Endpoint> Endpoints() {
  std::vector<routing::Endpoint> endpoints(kEndpoints);
  for (std::size_t i = 0; i < kEndpoints; ++i) {
    const std::size_t data_centre = i % kDataCentres;
    endpoints[i].instance = "draft-llm-runner-" + std::to_string(i);
    endpoints[i].incarnation = 1;
    endpoints[i].data_centre = "data-centre-" + std::to_string(data_centre);
    endpoints[i].distance_seconds = data_centre == 0 ? 0.0005 : 0.005;
    endpoints[i].running_digest = "sha256:" + std::string(64, 'a');
    endpoints[i].load.capacity = 16;
  }
  return endpoints;
}

}  // namespace

RouterState MeasureRouterState() {
  const std::vector<routing::Endpoint> endpoints = Endpoints();
  const kernel::Time now(std::chrono::hours(1));
  const std::size_t before = AllocatedBytes();
  routing::Router router({.entry = "entry-0"}, kernel::Random(1));
  router.OnEndpoints(now, endpoints);
  for (std::size_t i = 0; i < kCallsInFlight; ++i) {
    for (const routing::Endpoint& endpoint : endpoints) {
      router.OnSent(now, endpoint.instance, {});
    }
  }
  router.Choose(now, {});
  RouterState state;
  state.endpoints = endpoints.size();
  state.endpoints_followed = router.EndpointsFollowed();
  const std::size_t with_endpoints = AllocatedBytes();
  state.endpoint_bytes = with_endpoints - before;
  state.prefixes = routing::PrefixSettings().maximum_prefixes;
  for (std::size_t prefix = 1; prefix <= state.prefixes; ++prefix) {
    for (const routing::Endpoint& endpoint : endpoints) {
      router.OnSent(now, endpoint.instance, {.prefix_hash = prefix});
    }
  }
  state.prefix_bytes = AllocatedBytes() - with_endpoints;
  return state;
}

}  // namespace radishrudder::measure
