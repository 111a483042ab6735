#include "failure_detector.h"

#include <algorithm>
#include <utility>

namespace radishrudder::membership {

void FailureDetector::SetMonitored(kernel::Time now,
                                   const std::set<std::string>& neighbours,
                                   const std::set<std::string>& followed) {
  std::map<std::string, Monitored, std::less<>> monitored;
  for (const std::string& member : neighbours) {
    AddMonitored(now, member, m_suspect_after, monitored);
  }
  for (const std::string& member : followed) {
    AddMonitored(now, member, 2 * m_suspect_after, monitored);
  }
  m_monitored = std::move(monitored);
}

void FailureDetector::AddMonitored(
    kernel::Time now,
    const std::string& member,
    kernel::Duration timeout,
    std::map<std::string, Monitored, std::less<>>& monitored) const {
  const auto before = m_monitored.find(member);
  const kernel::Time since =
      before == m_monitored.end() ? now : before->second.since;
  monitored.emplace(member, Monitored{since, timeout});
}

void FailureDetector::OnSuspected(std::string_view instance) {
  m_suspected.emplace(instance);
}

std::vector<std::string> FailureDetector::MarkUnresponsive(kernel::Time now) {
  const bool was_paused = now - m_last_check > m_suspect_after / 2;
  m_last_check = now;
  if (was_paused) {
    for (auto& entry : m_monitored) {
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
                                     const Monitored& monitored) const {
  const kernel::Time last =
      std::max({record.last_direct_heartbeat, record.member.last_heartbeat,
                monitored.since});
  return now - last > monitored.timeout;
}

void FailureDetector::MarkSuspected(kernel::Time now,
                                    std::vector<std::string>& changed) {
  for (const auto& [name, monitored] : m_monitored) {
    Record* record = m_table.Find(name);
    if (record == nullptr || record->member.state != State::kLive ||
        !IsUnresponsive(now, *record, monitored)) {
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
