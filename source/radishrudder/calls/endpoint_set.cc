#include "radishrudder/calls/endpoint_set.h"

#include <algorithm>
#include <utility>

namespace radishrudder::calls {

namespace {

// The reported calls of other entries lose weight linearly over this time.
constexpr kernel::Duration kReportLifetime = std::chrono::seconds(2);
constexpr kernel::Duration kClosedDuration = std::chrono::seconds(2);

routing::Refusal ToRefusal(wire::RefusalReason reason) {
  switch (reason) {
    case wire::REFUSAL_OVERLOADED:
      return routing::Refusal::kOverloaded;
    case wire::REFUSAL_DRAINING:
      return routing::Refusal::kLeaving;
    case wire::REFUSAL_NOT_READY:
      return routing::Refusal::kNotReady;
    case wire::REFUSAL_ENDPOINT_UNREACHABLE:
      return routing::Refusal::kEndpointUnreachable;
    default:
      return routing::Refusal::kOther;
  }
}

routing::EndpointRun ToRun(const wire::ProcessKey& agent) {
  return {.instance = agent.instance, .incarnation = agent.incarnation};
}

routing::LoadReport ToReport(const wire::EndpointLoad& load) {
  return {.running = load.running(),
          .waiting = load.waiting(),
          .capacity = load.capacity()};
}

routing::Endpoint ToEndpoint(const EndpointView& view) {
  return {.instance = view.instance,
          .incarnation = view.incarnation,
          .data_centre = view.data_centre,
          .distance_seconds = view.distance_seconds,
          .leaving = view.leaving,
          .suspected = view.suspected,
          .running_digest = view.running_digest,
          .load = {.running = view.running,
                   .waiting = view.waiting,
                   .capacity = view.capacity}};
}

}  // namespace

void EndpointSet::Update(kernel::Time now,
                         std::vector<EndpointView> endpoints) {
  std::vector<routing::Endpoint> router_endpoints;
  std::map<std::string, Endpoint, std::less<>> updated;
  for (EndpointView& view : endpoints) {
    Endpoint endpoint;
    const auto known = m_endpoints.find(view.instance);
    if (known != m_endpoints.end() &&
        known->second.view.incarnation == view.incarnation) {
      endpoint = std::move(known->second);
    }
    router_endpoints.push_back(ToEndpoint(view));
    const double reported = view.running + view.waiting;
    endpoint.other_calls = std::max(0.0, reported - endpoint.local_calls);
    endpoint.reported_at = now;
    endpoint.view = std::move(view);
    updated.emplace(endpoint.view.instance, std::move(endpoint));
  }
  m_endpoints = std::move(updated);
  m_router.OnEndpoints(now, router_endpoints);
}

Choice EndpointSet::Choose(kernel::Time now,
                           const routing::CallView& call,
                           const std::set<wire::ProcessKey>& excluded) {
  std::vector<std::string> unavailable;
  bool any_usable = false;
  for (const auto& [name, endpoint] : m_endpoints) {
    const EndpointView& view = endpoint.view;
    const bool usable = IsUsable(now, endpoint) &&
                        !excluded.contains({view.instance, view.incarnation});
    any_usable |= usable;
    if (!usable || EstimatedCalls(now, endpoint) >= CapacityOf(endpoint)) {
      unavailable.push_back(name);
    }
  }
  const routing::Route route =
      unavailable.size() == m_endpoints.size()
          ? routing::Route()
          : m_router.Choose(now, {.call = call, .excluded = unavailable});
  if (route.instance.empty()) {
    return {.result =
                any_usable ? ChoiceResult::kAllBusy : ChoiceResult::kNone};
  }
  return {.result = ChoiceResult::kChosen, .agent = *Find(route.instance)};
}

Choice EndpointSet::ChooseAny(kernel::Time now, kernel::Random& random) const {
  std::vector<wire::ProcessKey> usable;
  for (const auto& [name, endpoint] : m_endpoints) {
    if (IsUsable(now, endpoint) && endpoint.avoid_until <= now) {
      usable.push_back({endpoint.view.instance, endpoint.view.incarnation});
    }
  }
  if (usable.empty()) {
    return {};
  }
  return {.result = ChoiceResult::kChosen,
          .agent = usable[random.Below(usable.size())]};
}

std::optional<wire::ProcessKey> EndpointSet::Find(
    std::string_view instance) const {
  const auto found = m_endpoints.find(instance);
  if (found == m_endpoints.end()) {
    return std::nullopt;
  }
  const EndpointView& view = found->second.view;
  return wire::ProcessKey{view.instance, view.incarnation};
}

void EndpointSet::OnStarted(kernel::Time now,
                            const wire::ProcessKey& agent,
                            const routing::CallView& call) {
  m_router.OnSent(now, ToRun(agent), call);
  if (Endpoint* endpoint = FindRun(agent)) {
    ++endpoint->local_calls;
  }
}

void EndpointSet::OnEnded(kernel::Time now,
                          const wire::ProcessKey& agent,
                          const AttemptResult& result) {
  Endpoint* endpoint = FindRun(agent);
  if (endpoint != nullptr && endpoint->local_calls > 0) {
    --endpoint->local_calls;
  }
  switch (result.ending) {
    case AttemptEnding::kAnswered: {
      routing::Answer answer{.first_byte = result.first_byte};
      if (result.load) {
        answer.load = ToReport(*result.load);
      }
      m_router.OnAnswered(now, ToRun(agent), answer);
      break;
    }
    case AttemptEnding::kRefused:
      m_router.OnRefused(now, ToRun(agent), ToRefusal(result.reason),
                         result.retry_after);
      break;
    case AttemptEnding::kFailed:
      m_router.OnFailed(now, ToRun(agent));
      break;
    case AttemptEnding::kAbandoned:
      m_router.OnAbandoned(now, ToRun(agent));
      break;
  }
  if (result.load) {
    ApplyLoad(now, agent, *result.load);
  }
}

void EndpointSet::ApplyLoad(kernel::Time now,
                            const wire::ProcessKey& agent,
                            const wire::EndpointLoad& load) {
  Endpoint* endpoint = FindRun(agent);
  if (endpoint == nullptr) {
    return;
  }
  endpoint->view.running = load.running();
  endpoint->view.waiting = load.waiting();
  endpoint->view.capacity = load.capacity();
  const double reported = load.running() + load.waiting();
  endpoint->other_calls = std::max(0.0, reported - endpoint->local_calls);
  endpoint->reported_at = now;
}

void EndpointSet::OnClosed(kernel::Time now, const wire::ProcessKey& agent) {
  if (Endpoint* endpoint = FindRun(agent)) {
    endpoint->closed_until = now + kClosedDuration;
  }
}

void EndpointSet::Avoid(const wire::ProcessKey& agent, kernel::Time until) {
  if (Endpoint* endpoint = FindRun(agent)) {
    endpoint->avoid_until = std::max(endpoint->avoid_until, until);
  }
}

bool EndpointSet::IsUsable(kernel::Time now, const Endpoint& endpoint) const {
  return !endpoint.view.leaving && endpoint.closed_until <= now;
}

EndpointSet::Endpoint* EndpointSet::FindRun(const wire::ProcessKey& agent) {
  const auto found = m_endpoints.find(agent.instance);
  const bool same_run = found != m_endpoints.end() &&
                        found->second.view.incarnation == agent.incarnation;
  return same_run ? &found->second : nullptr;
}

double EndpointSet::CapacityOf(const Endpoint& endpoint) const {
  const std::uint32_t capacity = endpoint.view.capacity;
  return std::max(1U, capacity > 0 ? capacity : m_default_capacity);
}

double EndpointSet::EstimatedCalls(kernel::Time now,
                                   const Endpoint& endpoint) const {
  const double age = std::chrono::duration<double>(now - endpoint.reported_at) /
                     kReportLifetime;
  return endpoint.local_calls + endpoint.other_calls * std::max(0.0, 1 - age);
}

}  // namespace radishrudder::calls
