#include "failure_detector.h"

#include <algorithm>
#include <utility>

namespace radishrudder::membership {

void FailureDetector::SetWatched(kernel::Time now,
                                 const std::set<std::string>& neighbours,
                                 const std::set<std::string>& followed) {
  std::map<std::string, Watched, std::less<>> watched;
  for (const std::string& member : neighbours) {
    WatchOne(now, member, m_suspect_after, watched);
  }
  for (const std::string& member : followed) {
    WatchOne(now, member, 2 * m_suspect_after, watched);
  }
  m_watched = std::move(watched);
}

void FailureDetector::WatchOne(
    kernel::Time now,
    const std::string& member,
    kernel::Duration timeout,
    std::map<std::string, Watched, std::less<>>& watched) const {
  const auto before = m_watched.find(member);
  const kernel::Time since =
      before == m_watched.end() ? now : before->second.since;
  watched.emplace(member, Watched{since, timeout});
}

void FailureDetector::OnSuspected(std::string_view instance) {
  m_suspected.emplace(instance);
}

std::vector<std::string> FailureDetector::Check(kernel::Time now) {
  const bool was_paused = now - m_last_check > m_suspect_after / 2;
  m_last_check = now;
  if (was_paused) {
    for (auto& entry : m_watched) {
      entry.second.since = now;
    }
  }
  std::vector<std::string> changed;
  MarkSuspected(now, changed);
  MarkDead(now, changed);
  return changed;
}

bool FailureDetector::IsUnresponsive(kernel::Time now,
                                     const Record& record,
                                     const Watched& watched) const {
  const kernel::Time last =
      std::max({record.last_direct_heartbeat, record.member.last_heartbeat,
                watched.since});
  return now - last > watched.timeout;
}

void FailureDetector::MarkSuspected(kernel::Time now,
                                    std::vector<std::string>& changed) {
  for (const auto& [name, watched] : m_watched) {
    Record* record = m_table.Find(name);
    if (record == nullptr || record->member.state != State::kLive ||
        !IsUnresponsive(now, *record, watched)) {
      continue;
    }
    record->member.state = State::kSuspected;
    record->suspected_at = now;
    m_suspected.insert(name);
    changed.push_back(name);
  }
}

void FailureDetector::MarkDead(kernel::Time now,
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
