#include "measure/routing/router_state.h"

#include <malloc.h>
#include <algorithm>
#include <ctime>
#include <span>
#include <string>
#include <vector>

#include "measure/routing/engine.h"
#include "radishrudder/routing/router.h"

namespace radishrudder::measure {
namespace {

constexpr std::size_t kEndpoints = 940;
constexpr std::size_t kEntries = 400;
constexpr std::size_t kDataCentres = 7;
constexpr std::size_t kCallsInFlight = 32;  // At each endpoint followed.

std::size_t AllocatedBytes() {
  return mallinfo2().uordblks;
}

double DistanceSeconds(std::size_t entry, std::size_t endpoint) {
  return entry % kDataCentres == endpoint % kDataCentres ? 0.0005 : 0.005;
}

std::vector<routing::Endpoint> Endpoints() {
  std::vector<routing::Endpoint> endpoints(kEndpoints);
  for (std::size_t i = 0; i < kEndpoints; ++i) {
    const std::size_t data_centre = i % kDataCentres;
    endpoints[i].instance = "draft-llm-runner-" + std::to_string(i);
    endpoints[i].incarnation = 1;
    endpoints[i].data_centre = "data-centre-" + std::to_string(data_centre);
    endpoints[i].distance_seconds = DistanceSeconds(0, i);
    endpoints[i].running_digest = "sha256:" + std::string(64, 'a');
    endpoints[i].load.capacity = 16;
  }
  return endpoints;
}

// Returns the processor time of one run of `action`, the mean of `times`.
template <typename Action>
double MicrosecondsOf(std::size_t times, const Action& action) {
  const std::clock_t begin = std::clock();
  for (std::size_t i = 0; i < times; ++i) {
    action();
  }
  const double seconds =
      static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
  return seconds * 1e6 / static_cast<double>(times);
}

void MeasureCoverage(std::span<const routing::Endpoint> endpoints,
                     RouterState& state) {
  std::vector<std::size_t> entries_of(endpoints.size());
  for (std::size_t entry = 0; entry < kEntries; ++entry) {
    // An entry is near to one data centre.
    std::vector<routing::Endpoint> seen(endpoints.begin(), endpoints.end());
    for (std::size_t i = 0; i < seen.size(); ++i) {
      seen[i].distance_seconds = DistanceSeconds(entry, i);
    }
    const std::string name = "entry-" + std::to_string(entry);
    for (const std::size_t index : routing::SelectSubset(name, seen, {})) {
      ++entries_of[index];
    }
  }
  state.entries = kEntries;
  state.fewest_entries = std::ranges::min(entries_of);
  state.most_entries = std::ranges::max(entries_of);
}

void MeasureTime(routing::Router& router,
                 std::span<const routing::Endpoint> endpoints,
                 kernel::Time now,
                 RouterState& state) {
  constexpr std::size_t kChoices = 20'000;
  constexpr std::size_t kSubsets = 200;
  state.choose_microseconds = MicrosecondsOf(
      kChoices, [&] { router.Choose(now, {.call = {.prefix_hash = 1}}); });
  state.subset_microseconds =
      MicrosecondsOf(kSubsets, [&] { router.OnEndpoints(now, endpoints); });
}

// Returns the processor time of one choice of least-predicted-wait, with eight
// calls of this entry at each endpoint.
double MeasurePredictedChoice(kernel::Time now) {
  constexpr std::size_t kChoices = 20'000;
  constexpr std::size_t kServiceEndpoints = 58;
  constexpr std::size_t kOwnCalls = 8;
  std::vector<routing::Endpoint> endpoints = Endpoints();
  endpoints.resize(kServiceEndpoints);
  routing::Router router({.entry = "entry-0",
                          .policy = "least-predicted-wait",
                          .subset = {.size = kServiceEndpoints}},
                         kernel::Random(1));
  router.SetEngine(PublishedFigures());
  const routing::CallCost cost{1'000, 100, 200};
  routing::CallId next_call = 1;
  for (routing::Endpoint& endpoint : endpoints) {
    endpoint.load.pace = 1.5;
    endpoint.load.measured_at = now;
  }
  router.OnEndpoints(now, endpoints);
  for (const routing::Endpoint& endpoint : endpoints) {
    for (std::size_t i = 0; i < kOwnCalls; ++i) {
      router.OnSent(now, {endpoint.instance, 1, next_call}, {.cost = &cost});
      ++next_call;
    }
  }
  return MicrosecondsOf(kChoices,
                        [&] { router.Choose(now, {.call = {.cost = &cost}}); });
}

}  // namespace

RouterState MeasureRouterState() {
  const std::vector<routing::Endpoint> endpoints = Endpoints();
  const kernel::Time now(std::chrono::hours(1));
  const std::size_t before = AllocatedBytes();
  routing::Router router({.entry = "entry-0", .policy = "prefix-affinity"},
                         kernel::Random(1));
  router.OnEndpoints(now, endpoints);
  for (std::size_t i = 0; i < kCallsInFlight; ++i) {
    for (const routing::Endpoint& endpoint : endpoints) {
      router.OnSent(now, {endpoint.instance, 1}, {});
    }
  }
  router.Choose(now, {});
  RouterState state;
  state.endpoints = endpoints.size();
  state.endpoints_followed = router.TrackedEndpointCount();
  const std::size_t with_endpoints = AllocatedBytes();
  state.endpoint_bytes = with_endpoints - before;
  state.prefixes = routing::PrefixSettings().maximum_prefixes;
  for (std::size_t prefix = 1; prefix <= state.prefixes; ++prefix) {
    for (const routing::Endpoint& endpoint : endpoints) {
      router.OnSent(now, {endpoint.instance, 1}, {.prefix_hash = prefix});
    }
  }
  state.prefix_bytes = AllocatedBytes() - with_endpoints;
  MeasureTime(router, endpoints, now, state);
  state.predicted_choose_microseconds = MeasurePredictedChoice(now);
  MeasureCoverage(endpoints, state);
  return state;
}

}  // namespace radishrudder::measure
