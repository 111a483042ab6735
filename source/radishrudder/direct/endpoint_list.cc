#include "radishrudder/direct/endpoint_list.h"

#include <algorithm>
#include <set>

namespace radishrudder::direct {
namespace {

// Maximum number of remembered removals; those with the lowest revisions are
// dropped first.
constexpr std::size_t kMaximumRememberedRemovals = 4096;

}  // namespace

bool EndpointList::OnUpdate(const ListedEndpoint& endpoint) {
  const auto removed = m_removed.find(endpoint.id);
  if (removed != m_removed.end()) {
    if (endpoint.revision <= removed->second) {
      return false;
    }
    m_removed.erase(removed);
  }
  const auto found = m_endpoints.find(endpoint.id);
  if (found == m_endpoints.end()) {
    m_endpoints.emplace(endpoint.id, TrackedEndpoint{endpoint, std::nullopt});
    return true;
  }
  TrackedEndpoint& tracked = found->second;
  if (endpoint.revision < tracked.endpoint.revision) {
    return false;
  }
  tracked.remove_at.reset();
  const std::uint64_t before = tracked.endpoint.revision;
  tracked.endpoint = endpoint;
  return endpoint.revision != before;
}

bool EndpointList::OnRemoved(kernel::Time now,
                             std::string_view id,
                             std::uint64_t revision) {
  const auto found = m_endpoints.find(id);
  if (found == m_endpoints.end() ||
      revision < found->second.endpoint.revision) {
    return false;
  }
  if (MayHaveExpired(now) && !found->second.endpoint.leaving) {
    if (!found->second.remove_at) {
      found->second.remove_at = (m_reachable_since ? *m_reachable_since : now) +
                                m_settings.expired_endpoint_grace;
    }
    return false;
  }
  m_removed[found->first] = revision;
  if (m_removed.size() > kMaximumRememberedRemovals) {
    m_removed.erase(std::ranges::min_element(
        m_removed, {}, [](const auto& item) { return item.second; }));
  }
  m_endpoints.erase(found);
  return true;
}

bool EndpointList::OnSnapshot(kernel::Time now,
                              const std::vector<ListedEndpoint>& endpoints,
                              std::uint64_t revision) {
  bool changed = false;
  std::set<std::string_view> present;
  for (const ListedEndpoint& endpoint : endpoints) {
    present.insert(endpoint.id);
    changed = OnUpdate(endpoint) || changed;
  }
  std::vector<std::string> missing;
  for (const auto& [id, tracked] : m_endpoints) {
    if (!present.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const std::string& id : missing) {
    changed = OnRemoved(now, id, revision) || changed;
  }
  return changed;
}

void EndpointList::OnUnreachable(kernel::Time now) {
  m_unreachable = true;
  m_reachable_since.reset();
}

void EndpointList::OnReachable(kernel::Time now) {
  if (m_unreachable) {
    m_unreachable = false;
    m_reachable_since = now;
    for (auto& [id, tracked] : m_endpoints) {
      if (tracked.remove_at) {
        tracked.remove_at = now + m_settings.expired_endpoint_grace;
      }
    }
  }
}

bool EndpointList::OnTick(kernel::Time now) {
  if (m_unreachable) {
    return false;
  }
  bool changed = false;
  for (auto endpoint = m_endpoints.begin(); endpoint != m_endpoints.end();) {
    const bool expired =
        endpoint->second.remove_at && *endpoint->second.remove_at <= now;
    changed = changed || expired;
    endpoint = expired ? m_endpoints.erase(endpoint) : std::next(endpoint);
  }
  return changed;
}

std::vector<ListedEndpoint> EndpointList::Endpoints() const {
  std::vector<ListedEndpoint> endpoints;
  for (const auto& [id, tracked] : m_endpoints) {
    endpoints.push_back(tracked.endpoint);
  }
  return endpoints;
}

const ListedEndpoint* EndpointList::Find(std::string_view id) const {
  const auto found = m_endpoints.find(id);
  return found == m_endpoints.end() ? nullptr : &found->second.endpoint;
}

bool EndpointList::MayHaveExpired(kernel::Time now) const {
  return m_unreachable || (m_reachable_since &&
                           now - *m_reachable_since < m_settings.settling_time);
}

}  // namespace radishrudder::direct
