#include <algorithm>
#include <cstdio>

#include "radishrudder/routing/router.h"

namespace radishrudder::routing {
namespace {

// Returns `value` with one decimal place.
std::string FormatNumber(double value) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.1f", value);
  return text;
}

std::string FormatSeconds(kernel::Duration duration) {
  return FormatNumber(std::chrono::duration<double>(duration).count()) + " s";
}

std::string RefusalText(Refusal refusal) {
  switch (refusal) {
    case Refusal::kOverloaded:
      return "refused as overloaded";
    case Refusal::kLeaving:
      return "refused as leaving";
    case Refusal::kNotReady:
      return "refused as not ready";
    case Refusal::kEndpointUnreachable:
      return "could not reach its endpoint";
    case Refusal::kOther:
      break;
  }
  return "refused";
}

}  // namespace

Route Router::MakeNoRoute(kernel::Time now, const RouteRequest& request) const {
  Route route{.reason = NoRoute::kNoEndpoints};
  kernel::Time earliest_retry = kernel::Time::max();
  const auto raise_reason = [&route](NoRoute reason) {
    route.reason = std::max(route.reason, reason);
  };
  for (const Slot slot : m_subset) {
    const Tracked& tracked = m_tracked[slot];
    const bool refusing = now < tracked.refusing_until;
    if (tracked.endpoint.leaving ||
        (refusing && tracked.refusal == Refusal::kLeaving)) {
      continue;
    }
    if (!request.manifest_digest.empty() &&
        request.manifest_digest != tracked.endpoint.running_digest) {
      raise_reason(NoRoute::kVersionMismatch);
    } else if (refusing) {
      raise_reason(NoRoute::kRefusing);
      earliest_retry = std::min(earliest_retry, tracked.refusing_until);
    } else if (request.require_free_capacity &&
               !HasFreeCapacity(now, slot, request.places_share)) {
      raise_reason(NoRoute::kNoFreeCapacity);
    } else {
      raise_reason(NoRoute::kAllExcluded);
    }
  }
  if (route.reason == NoRoute::kRefusing) {
    route.retry_after = earliest_retry - now;
  }
  return route;
}

std::string Router::Explain(kernel::Time now) const {
  std::string text = "policy " + m_settings.policy + "; " +
                     std::to_string(m_subset.size()) + " of " +
                     std::to_string(m_known_endpoint_count) +
                     " endpoints are in this entry's subset\n";
  LoadView loads = m_loads;
  loads.Refresh(now);
  for (const Slot slot : m_subset) {
    const Endpoint& endpoint = m_tracked[slot].endpoint;
    text += endpoint.instance + " in " + endpoint.data_centre + ": " +
            ExplainEndpoint(now, slot) + "; estimated " +
            FormatNumber(loads.EstimatedCalls(now, slot)) + " calls of " +
            FormatNumber(loads.Capacity(slot)) + ", " +
            std::to_string(loads.LocalCalls(slot)) + " from here\n";
  }
  return text;
}

std::string Router::ExplainEndpoint(kernel::Time now, Slot slot) const {
  const Tracked& tracked = m_tracked[slot];
  if (tracked.endpoint.leaving) {
    return "not used, leaving";
  }
  if (now < tracked.refusing_until) {
    return "not used for " + FormatSeconds(tracked.refusing_until - now) +
           ", " + RefusalText(tracked.refusal);
  }
  if (tracked.endpoint.suspected) {
    return "used only if no other is left, suspected";
  }
  if (m_ejection.IsEjected(slot)) {
    const kernel::Time until = m_ejection.EjectedUntil(slot);
    return now < until
               ? "ejected for " + FormatSeconds(until - now) + " after failures"
               : "ejected after failures, waiting for a probe call";
  }
  return tracked.endpoint.running_digest.empty()
             ? "used"
             : "used, runs " + tracked.endpoint.running_digest;
}

}  // namespace radishrudder::routing
