#include "radishrudder/direct/endpoint_list.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace radishrudder::direct {
namespace {

// Maximum number of remembered removals; those with the lowest revisions are
// dropped first.
constexpr std::size_t kMaximumRememberedRemovals = 4096;
// An entry that arrived less than this many heartbeat intervals ago has not
// expired: its last interval of silence may have been on the way.
constexpr int kIntervalsOfExpiredEntry = 2;

}  // namespace

void EndpointList::OnStoreAnswered(kernel::Time now,
                                   kernel::Time requested_at) {
  const bool returned = IsAway(requested_at);
  m_answered_at = now;
  if (!returned) {
    return;
  }
  m_returned_at = now;
  for (auto& [id, tracked] : m_endpoints) {
    if (tracked.remove_at && tracked.returns < m_settings.maximum_returns) {
      KeepExpired(now, tracked);
    }
  }
}

void EndpointList::OnListAnswered(kernel::Time now, kernel::Time requested_at) {
  OnStoreAnswered(now, requested_at);
  m_unread_since.reset();
  if (m_list_answered_at &&
      requested_at - *m_list_answered_at >= m_settings.heartbeat_interval) {
    m_unread_since = m_list_answered_at;
  }
  m_list_answered_at = now;
}

bool EndpointList::OnUpdate(kernel::Time now, const ListedEndpoint& endpoint) {
  const auto removed = m_removed.find(endpoint.id);
  bool leaving = endpoint.leaving;
  // A run that leaves does not come back.
  const auto stays_leaving = [&endpoint](std::uint64_t started, bool known) {
    return known && started != 0 && started == endpoint.started;
  };
  if (removed != m_removed.end()) {
    const Removal& removal = removed->second;
    if (std::tie(endpoint.era, endpoint.revision) <=
        std::tie(removal.era, removal.revision)) {
      return false;
    }
    leaving = leaving || stays_leaving(removal.started, removal.leaving);
    m_removed.erase(removed);
  }
  const auto found = m_endpoints.find(endpoint.id);
  if (found == m_endpoints.end()) {
    TrackedEndpoint added{endpoint, m_unread_since.value_or(now), std::nullopt,
                          /*returns=*/0};
    added.endpoint.leaving = leaving;
    m_endpoints.emplace(endpoint.id, std::move(added));
    return true;
  }
  TrackedEndpoint& tracked = found->second;
  ListedEndpoint& known = tracked.endpoint;
  if (std::tie(endpoint.era, endpoint.revision) <
      std::tie(known.era, known.revision)) {
    return false;
  }
  leaving = leaving || stays_leaving(known.started, known.leaving);
  tracked.remove_at.reset();
  tracked.returns = 0;
  const bool changed = std::tie(endpoint.era, endpoint.revision) !=
                       std::tie(known.era, known.revision);
  if (changed) {
    tracked.heard_at = m_unread_since.value_or(now);
  }
  known = endpoint;
  known.leaving = leaving;
  return changed;
}

bool EndpointList::OnRemoved(kernel::Time now,
                             std::string_view id,
                             std::uint64_t revision,
                             std::uint64_t era) {
  const auto found = m_endpoints.find(id);
  if (found == m_endpoints.end()) {
    return false;
  }
  TrackedEndpoint& tracked = found->second;
  const ListedEndpoint& known = tracked.endpoint;
  if (std::tie(era, revision) < std::tie(known.era, known.revision) ||
      tracked.remove_at) {
    return false;
  }
  if (MayHaveExpired(now, tracked)) {
    KeepExpired(*m_returned_at, tracked);
    return false;
  }
  m_removed[found->first] = {era, revision, known.started, known.leaving};
  if (m_removed.size() > kMaximumRememberedRemovals) {
    m_removed.erase(
        std::ranges::min_element(m_removed, {}, [](const auto& item) {
          return std::pair(item.second.era, item.second.revision);
        }));
  }
  m_endpoints.erase(found);
  return true;
}

bool EndpointList::IsOutdatedCopy(const ListedEndpoint& copied) {
  const auto removed = m_removed.find(copied.id);
  if (removed != m_removed.end() && copied.started <= removed->second.started) {
    removed->second.era = copied.era;
    removed->second.revision = copied.revision;
    return true;
  }
  const auto found = m_endpoints.find(copied.id);
  if (found != m_endpoints.end() &&
      copied.started < found->second.endpoint.started) {
    found->second.endpoint.era = copied.era;
    found->second.endpoint.revision = copied.revision;
    return true;
  }
  return false;
}

bool EndpointList::OnSnapshot(kernel::Time now,
                              const std::vector<ListedEndpoint>& endpoints,
                              std::uint64_t revision,
                              std::uint64_t era) {
  const bool new_era = m_era && era > *m_era;
  m_era = std::max(m_era.value_or(0), era);
  bool changed = false;
  std::set<std::string_view> present;
  for (const ListedEndpoint& endpoint : endpoints) {
    present.insert(endpoint.id);
    if (!new_era || !IsOutdatedCopy(endpoint)) {
      changed = OnUpdate(now, endpoint) || changed;
    }
  }
  std::vector<std::string> missing;
  for (auto& [id, tracked] : m_endpoints) {
    if (present.contains(id)) {
      continue;
    }
    // The older copy may lack the entry; a live endpoint writes it again.
    if (new_era && !tracked.endpoint.leaving && !tracked.remove_at) {
      KeepExpired(now, tracked);
    }
    missing.push_back(id);
  }
  for (const std::string& id : missing) {
    changed = OnRemoved(now, id, revision, era) || changed;
  }
  return changed;
}

bool EndpointList::OnTick(kernel::Time now) {
  if (IsAway(now)) {
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

bool EndpointList::IsAway(kernel::Time now) const {
  // An absence shorter than an interval prevents one heartbeat at most, and an
  // entry expires after three.
  return m_answered_at && now - *m_answered_at >= m_settings.heartbeat_interval;
}

bool EndpointList::MayHaveExpired(kernel::Time now,
                                  const TrackedEndpoint& tracked) const {
  return !tracked.endpoint.leaving && m_returned_at &&
         now - *m_returned_at < m_settings.expired_endpoint_grace &&
         now - tracked.heard_at >=
             kIntervalsOfExpiredEntry * m_settings.heartbeat_interval;
}

void EndpointList::KeepExpired(kernel::Time returned_at,
                               TrackedEndpoint& tracked) const {
  tracked.remove_at = returned_at + m_settings.expired_endpoint_grace;
  ++tracked.returns;
}

}  // namespace radishrudder::direct
