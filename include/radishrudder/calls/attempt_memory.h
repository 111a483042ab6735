#ifndef RADISHRUDDER_CALLS_ATTEMPT_MEMORY_H_
#define RADISHRUDDER_CALLS_ATTEMPT_MEMORY_H_

#include <cstddef>
#include <cstdint>
#include <map>

#include "radishrudder/calls/attempt_key.h"
#include "radishrudder/kernel/time.h"

namespace radishrudder::calls {

// What an agent knows of an attempt that it is asked to run.
enum class AttemptStanding {
  kNew,       // Never seen: it may run.
  kRefused,   // Seen and never run: it stays refused.
  kTaken,     // Seen and possibly run.
  kForgotten  // Too old to tell: it must not run.
};

struct AttemptMemorySettings {
  std::size_t maximum_attempts = 4096;  // Remembered singly for each entry.
  std::size_t maximum_entries = 8192;   // Runs of entries remembered.
};

// Remembers, in bounded space, which attempts an agent has refused or taken.
// For each run of an entry it keeps a floor, below which every attempt counts
// as forgotten, and the single attempts above it.
class AttemptMemory {
 public:
  explicit AttemptMemory(AttemptMemorySettings settings = {})
      : m_settings(settings) {}

  AttemptStanding Find(const AttemptKey& attempt) const;
  // Remembers an attempt singly until `expires`, and by the floor for ever.
  void Refuse(kernel::Time now,
              const AttemptKey& attempt,
              kernel::Time expires);
  void Take(kernel::Time now, const AttemptKey& attempt, kernel::Time expires);
  // Replaces single attempts past their expiry by the floor.
  void Expire(kernel::Time now);

  // Returns the number of attempts remembered singly.
  std::size_t Size() const;

 private:
  struct Record {
    bool taken = false;
    kernel::Time expires;
  };
  struct EntryRecord {
    std::uint64_t floor = 0;
    std::map<std::uint64_t, Record> attempts;
    kernel::Time used;
  };

  void Add(kernel::Time now, const AttemptKey& attempt, Record record);
  void DropOldestEntry();

  AttemptMemorySettings m_settings;
  std::map<wire::ProcessKey, EntryRecord> m_entries;
  // Runs of entries that are not remembered count as forgotten up to this
  // incarnation.
  std::uint64_t m_incarnation_floor = 0;
};

}  // namespace radishrudder::calls

#endif  // RADISHRUDDER_CALLS_ATTEMPT_MEMORY_H_
