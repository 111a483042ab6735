#include "source/radishrudder/direct/service_checks.h"

#include <algorithm>
#include <string>

namespace radishrudder::direct {
namespace {

constexpr double kMillisecondsPerSecond = 1000;

kernel::Place PlaceOf(const ServiceRule& service) {
  return {"service \"" + service.name + "\"", 0, 0, ""};
}

bool IsRouted(const ServiceRule& service, const Configuration& candidate) {
  return std::ranges::any_of(candidate.routes, [&](const RouteRule& route) {
    return std::ranges::find(route.services, service.name,
                             &WeightedService::service) != route.services.end();
  });
}

void CheckEndpoints(const ServiceRule& service,
                    const Configuration& candidate,
                    const CheckContext& context,
                    kernel::Findings& findings) {
  if (!context.endpoints || !service.origin.empty() ||
      CountEndpoints(service.name, *context.endpoints) > 0) {
    return;
  }
  const char* valid = "at least one endpoint that is not leaving";
  if (IsRouted(service, candidate)) {
    findings.Error(PlaceOf(service),
                   "has no endpoint in the list: its calls are rejected with "
                   "503",
                   valid);
  } else {
    findings.Warning(PlaceOf(service),
                     "has no endpoint in the list and no route", valid);
  }
}

// Requests per second that one warm endpoint can complete with every slot in
// use, by the figures for a usual call; 0 if they are not stated.
double EndpointCapacity(const EngineRule& engine) {
  const double step_ms =
      engine.step_ms + engine.step_ms_per_call * engine.slots;
  double call_s = engine.mean_answer_tokens * step_ms / kMillisecondsPerSecond;
  if (engine.prompt_tokens_per_s > 0) {
    call_s += engine.mean_prompt_tokens / engine.prompt_tokens_per_s;
  }
  return call_s > 0 ? engine.slots / call_s : 0;
}

void CheckColdRate(const ServiceRule& service, kernel::Findings& findings) {
  const double rate = service.cold_requests_per_second;
  const double cold_s =
      static_cast<double>(service.cold_start.count()) / kMillisecondsPerSecond;
  if (rate <= 0) {
    if (cold_s > 0) {
      findings.Warning(PlaceOf(service),
                       "the cold start has no effect without a cold rate",
                       "a cold rate above 0");
    }
    return;
  }
  if (cold_s > 0 && rate * cold_s < 1) {
    findings.Error(PlaceOf(service),
                   "can never warm up: the cold rate of " +
                       std::to_string(rate) +
                       " requests/s allows no request in the cold start of " +
                       std::to_string(service.cold_start.count()) + " ms",
                   "a rate of at least " + std::to_string(1 / cold_s));
  }
  const double capacity =
      service.engine ? EndpointCapacity(*service.engine) : 0;
  if (capacity > 0 && rate > capacity) {
    findings.Error(PlaceOf(service),
                   "the cold rate of " + std::to_string(rate) +
                       " requests/s is above what a warm endpoint can handle",
                   "at most " + std::to_string(capacity));
  }
}

}  // namespace

std::size_t CountEndpoints(std::string_view service,
                           const std::vector<ListedEndpoint>& endpoints) {
  return static_cast<std::size_t>(
      std::ranges::count_if(endpoints, [service](const auto& endpoint) {
        return endpoint.service == service && !endpoint.leaving;
      }));
}

void CheckServiceRules(const Configuration& candidate,
                       const CheckContext& context,
                       kernel::Findings& findings) {
  for (const ServiceRule& service : candidate.services) {
    CheckEndpoints(service, candidate, context, findings);
    CheckColdRate(service, findings);
  }
}

}  // namespace radishrudder::direct
