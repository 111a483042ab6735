#include "radishrudder/calls/attempt_memory.h"

#include <algorithm>

namespace radishrudder::calls {

AttemptStanding AttemptMemory::Find(const AttemptKey& attempt) const {
  const auto entry = m_entries.find(attempt.entry);
  if (entry == m_entries.end()) {
    return attempt.entry.incarnation <= m_incarnation_floor
               ? AttemptStanding::kForgotten
               : AttemptStanding::kNew;
  }
  const auto record = entry->second.attempts.find(attempt.sequence);
  if (record != entry->second.attempts.end()) {
    return record->second.taken ? AttemptStanding::kTaken
                                : AttemptStanding::kRefused;
  }
  return attempt.sequence <= entry->second.floor ? AttemptStanding::kForgotten
                                                 : AttemptStanding::kNew;
}

void AttemptMemory::Refuse(kernel::Time now,
                           const AttemptKey& attempt,
                           kernel::Time expires) {
  Add(now, attempt, {.taken = false, .expires = expires});
}

void AttemptMemory::Take(kernel::Time now,
                         const AttemptKey& attempt,
                         kernel::Time expires) {
  Add(now, attempt, {.taken = true, .expires = expires});
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
  entry.used = now;
  entry.attempts[attempt.sequence] = record;
  while (entry.attempts.size() > m_settings.maximum_attempts) {
    entry.floor = std::max(entry.floor, entry.attempts.begin()->first);
    entry.attempts.erase(entry.attempts.begin());
  }
}

void AttemptMemory::DropOldestEntry() {
  const auto oldest = std::min_element(m_entries.begin(), m_entries.end(),
                                       [](const auto& a, const auto& b) {
                                         return a.second.used < b.second.used;
                                       });
  m_incarnation_floor =
      std::max(m_incarnation_floor, oldest->first.incarnation);
  m_entries.erase(oldest);
}

}  // namespace radishrudder::calls
