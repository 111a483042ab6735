#include "failure_detector.h"

#include <algorithm>
#include <utility>

namespace radishrudder::membership {

void FailureDetector::Watch(kernel::Time now,
                            const std::set<std::string>& members) {
  std::map<std::string, kernel::Time, std::less<>> watched;
  for (const std::string& member : members) {
    const auto before = m_watched_since.find(member);
    watched[member] = before == m_watched_since.end() ? now : before->second;
  }
  m_watched_since = std::move(watched);
}

void FailureDetector::OnSuspected(std::string_view instance) {
  m_suspected.emplace(instance);
}

std::vector<std::string> FailureDetector::Check(kernel::Time now) {
  const bool was_paused = now - m_last_check > m_suspect_after / 2;
  m_last_check = now;
  if (was_paused) {
    for (auto& entry : m_watched_since) {
      entry.second = now;
    }
  }
  std::vector<std::string> changed;
  Suspect(now, changed);
  Bury(now, changed);
  return changed;
}

bool FailureDetector::IsSilent(kernel::Time now,
                               const Record& record,
                               kernel::Time watched_since) const {
  const kernel::Time last =
      std::max({record.heard_directly, record.member.heard, watched_since});
  return now - last > m_suspect_after;
}

void FailureDetector::Suspect(kernel::Time now,
                              std::vector<std::string>& changed) {
  for (const auto& [name, since] : m_watched_since) {
    Record* record = m_table.Find(name);
    if (record == nullptr || record->member.state != State::kLive ||
        !IsSilent(now, *record, since)) {
      continue;
    }
    record->member.state = State::kSuspected;
    record->suspected_at = now;
    m_suspected.insert(name);
    changed.push_back(name);
  }
}

void FailureDetector::Bury(kernel::Time now,
                           std::vector<std::string>& changed) {
  for (auto name = m_suspected.begin(); name != m_suspected.end();) {
    Record* record = m_table.Find(*name);
    if (record == nullptr || record->member.state != State::kSuspected) {
      name = m_suspected.erase(name);
      continue;
    }
    if (now - record->suspected_at <= m_dead_after) {
      ++name;
      continue;
    }
    record->member.state = State::kDead;
    changed.push_back(*name);
    name = m_suspected.erase(name);
  }
}

}  // namespace radishrudder::membership
