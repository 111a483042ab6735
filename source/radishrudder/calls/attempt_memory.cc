#include "radishrudder/calls/attempt_memory.h"

#include <algorithm>

namespace radishrudder::calls {

AttemptStatus AttemptMemory::Find(const AttemptKey& attempt) const {
  const auto entry = m_entries.find(attempt.entry);
  if (entry == m_entries.end()) {
    return attempt.entry.incarnation <= m_incarnation_floor
               ? AttemptStatus::kExpired
               : AttemptStatus::kNew;
  }
  const auto record = entry->second.attempts.find(attempt.sequence);
  if (record != entry->second.attempts.end()) {
    return record->second.accepted ? AttemptStatus::kAccepted
                                   : AttemptStatus::kRefused;
  }
  return attempt.sequence <= entry->second.floor ? AttemptStatus::kExpired
                                                 : AttemptStatus::kNew;
}

void AttemptMemory::Refuse(kernel::Time now,
                           const AttemptKey& attempt,
                           kernel::Time expires) {
  Add(now, attempt, {.accepted = false, .expires = expires});
}

void AttemptMemory::Accept(kernel::Time now,
                           const AttemptKey& attempt,
                           kernel::Time expires) {
  Add(now, attempt, {.accepted = true, .expires = expires});
}

void AttemptMemory::Expire(kernel::Time now) {
  for (auto& [key, entry] : m_entries) {
    auto& attempts = entry.attempts;
    while (!attempts.empty() && attempts.begin()->second.expires <= now) {
      entry.floor = std::max(entry.floor, attempts.begin()->first);
      attempts.erase(attempts.begin());
    }
  }
}

std::size_t AttemptMemory::Size() const {
  std::size_t size = 0;
  for (const auto& [key, entry] : m_entries) {
    size += entry.attempts.size();
  }
  return size;
}

void AttemptMemory::Add(kernel::Time now,
                        const AttemptKey& attempt,
                        Record record) {
  if (!m_entries.contains(attempt.entry) &&
      m_entries.size() >= m_settings.maximum_entries) {
    DropOldestEntry();
  }
  EntryRecord& entry = m_entries[attempt.entry];
  entry.last_used = now;
  entry.attempts[attempt.sequence] = record;
  while (entry.attempts.size() > m_settings.maximum_attempts) {
    entry.floor = std::max(entry.floor, entry.attempts.begin()->first);
    entry.attempts.erase(entry.attempts.begin());
  }
}

void AttemptMemory::DropOldestEntry() {
  const auto oldest = std::min_element(
      m_entries.begin(), m_entries.end(), [](const auto& a, const auto& b) {
        return a.second.last_used < b.second.last_used;
      });
  m_incarnation_floor =
      std::max(m_incarnation_floor, oldest->first.incarnation);
  m_entries.erase(oldest);
}

}  // namespace radishrudder::calls
