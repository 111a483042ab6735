#include "radishrudder/calls/endpoint_set.h"

#include <algorithm>
#include <utility>

#include "radishrudder/routing/built_in_policies.h"

namespace radishrudder::calls {

namespace {

// Reported calls of other entries count for less as the report ages.
constexpr kernel::Duration kReportLifetime = std::chrono::seconds(2);
constexpr kernel::Duration kClosedTime = std::chrono::seconds(2);

// Takes the less loaded of two random candidates.
std::size_t LessLoadedOfTwo(const std::vector<routing::Candidate>& candidates,
                            kernel::Random& random) {
  const std::size_t first = random.Below(candidates.size());
  const std::size_t second = random.Below(candidates.size());
  const auto load = [&](std::size_t index) {
    return candidates[index].estimated_calls / candidates[index].capacity;
  };
  return load(second) < load(first) ? second : first;
}

}  // namespace

void EndpointSet::SetPolicy(std::string_view name) {
  if (m_policy && m_policy_name == name) {
    return;
  }
  routing::RegisterBuiltInPolicies();
  m_policy_name = name;
  const auto factory = routing::PolicyRegistry::Instance().Find(name);
  m_policy = factory ? factory() : nullptr;
}

void EndpointSet::Update(kernel::Time now,
                         std::vector<EndpointView> endpoints) {
  std::map<std::string, Endpoint, std::less<>> updated;
  for (EndpointView& view : endpoints) {
    Endpoint endpoint;
    const auto known = m_endpoints.find(view.instance);
    if (known != m_endpoints.end() &&
        known->second.view.incarnation == view.incarnation) {
      endpoint = std::move(known->second);
    }
    const double reported = view.running + view.waiting;
    endpoint.others = std::max(0.0, reported - endpoint.own);
    endpoint.told = now;
    endpoint.view = std::move(view);
    updated.emplace(endpoint.view.instance, std::move(endpoint));
  }
  m_endpoints = std::move(updated);
}

Choice EndpointSet::Choose(kernel::Time now,
                           const routing::CallView& call,
                           const std::set<wire::ProcessKey>& excluded,
                           kernel::Random& random) {
  std::vector<routing::Candidate> candidates;
  bool any = false;
  for (const auto& [name, endpoint] : m_endpoints) {
    const EndpointView& view = endpoint.view;
    if (!IsUsable(now, endpoint) ||
        excluded.contains({view.instance, view.incarnation})) {
      continue;
    }
    any = true;
    const double estimated = EstimatedCalls(now, endpoint);
    if (endpoint.avoid_until > now || estimated >= CapacityOf(endpoint)) {
      continue;
    }
    candidates.push_back({.instance = name,
                          .estimated_calls = estimated,
                          .capacity = CapacityOf(endpoint),
                          .distance_seconds = view.distance_seconds});
  }
  if (candidates.empty()) {
    return {.result = any ? ChoiceResult::kAllBusy : ChoiceResult::kNone};
  }
  const std::size_t index = m_policy
                                ? m_policy->Choose(call, candidates, random)
                                : LessLoadedOfTwo(candidates, random);
  return {.result = ChoiceResult::kChosen,
          .agent = *Find(candidates[index].instance)};
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

void EndpointSet::OnStarted(const wire::ProcessKey& agent) {
  if (Endpoint* endpoint = FindRun(agent)) {
    ++endpoint->own;
  }
}

void EndpointSet::OnEnded(const wire::ProcessKey& agent) {
  Endpoint* endpoint = FindRun(agent);
  if (endpoint != nullptr && endpoint->own > 0) {
    --endpoint->own;
  }
}

void EndpointSet::OnLoad(kernel::Time now,
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
  endpoint->others = std::max(0.0, reported - endpoint->own);
  endpoint->told = now;
}

void EndpointSet::OnClosed(kernel::Time now, const wire::ProcessKey& agent) {
  if (Endpoint* endpoint = FindRun(agent)) {
    endpoint->closed_until = now + kClosedTime;
  }
}

void EndpointSet::Avoid(const wire::ProcessKey& agent, kernel::Time until) {
  if (Endpoint* endpoint = FindRun(agent)) {
    endpoint->avoid_until = std::max(endpoint->avoid_until, until);
  }
}

double EndpointSet::Capacity() const {
  double capacity = 0;
  for (const auto& [name, endpoint] : m_endpoints) {
    if (!endpoint.view.leaving && !endpoint.view.suspected) {
      capacity += CapacityOf(endpoint);
    }
  }
  return capacity;
}

std::string EndpointSet::Explain() const {
  std::string text;
  for (const auto& [name, endpoint] : m_endpoints) {
    text += name + ": " + std::to_string(endpoint.own) +
            " of this entry's calls in progress, " +
            std::to_string(endpoint.view.running) + " running and " +
            std::to_string(endpoint.view.waiting) + " waiting as reported";
    text += endpoint.view.leaving     ? ", leaving"
            : endpoint.view.suspected ? ", suspected"
                                      : "";
    text += '\n';
  }
  return text;
}

bool EndpointSet::IsUsable(kernel::Time now, const Endpoint& endpoint) const {
  return !endpoint.view.leaving && !endpoint.view.suspected &&
         endpoint.closed_until <= now;
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
  const double age =
      std::chrono::duration<double>(now - endpoint.told) / kReportLifetime;
  return endpoint.own + endpoint.others * std::max(0.0, 1 - age);
}

}  // namespace radishrudder::calls
