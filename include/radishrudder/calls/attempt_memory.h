#ifndef RADISHRUDDER_CALLS_ATTEMPT_MEMORY_H_
#define RADISHRUDDER_CALLS_ATTEMPT_MEMORY_H_

#include <cstddef>
#include <cstdint>
#include <map>

#include "radishrudder/calls/attempt_key.h"
#include "radishrudder/kernel/time.h"

namespace radishrudder::calls {

// What an agent knows about a requested attempt.
enum class AttemptStatus {
  kNew,       // Not seen before: it may run.
  kRefused,   // Seen and not run: it stays refused.
  kAccepted,  // Seen and possibly run.
  kExpired    // Its record has expired: it must not run.
};

struct AttemptMemorySettings {
  std::size_t maximum_attempts =
      4096;  // Single records for each run of an entry.
  std::size_t maximum_entries = 8192;  // Runs of entries with records.
};

// Records in bounded space which attempts an agent has refused or accepted.
// For each run of an entry it keeps single records of recent attempts and a
// floor: attempts without a record whose sequence is not above the floor count
// as expired.
class AttemptMemory {
 public:
  explicit AttemptMemory(AttemptMemorySettings settings = {})
      : m_settings(settings) {}

  AttemptStatus Find(const AttemptKey& attempt) const;
  // Keeps a single record of an attempt until `expires`. After that the floor
  // covers the attempt permanently.
  void Refuse(kernel::Time now,
              const AttemptKey& attempt,
              kernel::Time expires);
  void Accept(kernel::Time now,
              const AttemptKey& attempt,
              kernel::Time expires);
  // Removes expired records and raises the floor to cover them.
  void Expire(kernel::Time now);

  // Returns the number of single records.
  std::size_t Size() const;

 private:
  struct Record {
    bool accepted = false;
    kernel::Time expires;
  };
  struct EntryRecord {
    std::uint64_t floor = 0;
    std::map<std::uint64_t, Record> attempts;
    kernel::Time last_used;
  };

  void Add(kernel::Time now, const AttemptKey& attempt, Record record);
  void DropOldestEntry();

  AttemptMemorySettings m_settings;
  std::map<wire::ProcessKey, EntryRecord> m_entries;
  // Attempts of entry runs without a record count as expired if the run's
  // incarnation is not above this one.
  std::uint64_t m_incarnation_floor = 0;
};

}  // namespace radishrudder::calls

#endif  // RADISHRUDDER_CALLS_ATTEMPT_MEMORY_H_
