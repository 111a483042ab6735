#include "radishrudder/direct/endpoint_list.h"

#include <algorithm>
#include <set>

namespace radishrudder::direct {
namespace {

// Removed ids that are remembered; the oldest revisions are forgotten first.
constexpr std::size_t kMaximumRemoved = 4096;

}  // namespace

bool EndpointList::OnEntry(const ListedEndpoint& entry) {
  const auto removed = m_removed.find(entry.id);
  if (removed != m_removed.end()) {
    if (entry.revision <= removed->second) {
      return false;
    }
    m_removed.erase(removed);
  }
  const auto found = m_entries.find(entry.id);
  if (found == m_entries.end()) {
    m_entries.emplace(entry.id, Known{entry, std::nullopt});
    return true;
  }
  Known& known = found->second;
  if (entry.revision < known.entry.revision) {
    return false;
  }
  known.drop_at.reset();
  const std::uint64_t before = known.entry.revision;
  known.entry = entry;
  return entry.revision != before;
}

bool EndpointList::OnRemoved(kernel::Time now,
                             std::string_view id,
                             std::uint64_t revision) {
  const auto found = m_entries.find(id);
  if (found == m_entries.end() || revision < found->second.entry.revision) {
    return false;
  }
  if (MayHaveLapsed(now) && !found->second.entry.leaving) {
    if (!found->second.drop_at) {
      found->second.drop_at =
          (m_returned ? *m_returned : now) + m_settings.lapse_grace;
    }
    return false;
  }
  m_removed[found->first] = revision;
  if (m_removed.size() > kMaximumRemoved) {
    m_removed.erase(std::ranges::min_element(
        m_removed, {}, [](const auto& item) { return item.second; }));
  }
  m_entries.erase(found);
  return true;
}

bool EndpointList::OnSnapshot(kernel::Time now,
                              const std::vector<ListedEndpoint>& entries,
                              std::uint64_t revision) {
  bool changed = false;
  std::set<std::string_view> present;
  for (const ListedEndpoint& entry : entries) {
    present.insert(entry.id);
    changed = OnEntry(entry) || changed;
  }
  std::vector<std::string> missing;
  for (const auto& [id, known] : m_entries) {
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
  m_returned.reset();
}

void EndpointList::OnReachable(kernel::Time now) {
  if (m_unreachable) {
    m_unreachable = false;
    m_returned = now;
    for (auto& [id, known] : m_entries) {
      if (known.drop_at) {
        known.drop_at = now + m_settings.lapse_grace;
      }
    }
  }
}

bool EndpointList::OnTick(kernel::Time now) {
  if (m_unreachable) {
    return false;
  }
  bool changed = false;
  for (auto entry = m_entries.begin(); entry != m_entries.end();) {
    const bool gone = entry->second.drop_at && *entry->second.drop_at <= now;
    changed = changed || gone;
    entry = gone ? m_entries.erase(entry) : std::next(entry);
  }
  return changed;
}

std::vector<ListedEndpoint> EndpointList::Endpoints() const {
  std::vector<ListedEndpoint> endpoints;
  for (const auto& [id, known] : m_entries) {
    endpoints.push_back(known.entry);
  }
  return endpoints;
}

const ListedEndpoint* EndpointList::Find(std::string_view id) const {
  const auto found = m_entries.find(id);
  return found == m_entries.end() ? nullptr : &found->second.entry;
}

bool EndpointList::MayHaveLapsed(kernel::Time now) const {
  return m_unreachable || (m_returned && now - *m_returned < m_settings.settle);
}

}  // namespace radishrudder::direct
