#ifndef RADISHRUDDER_SOURCE_DISSEMINATION_READ_SCHEDULE_H_
#define RADISHRUDDER_SOURCE_DISSEMINATION_READ_SCHEDULE_H_

#include <optional>

#include "radishrudder/dissemination/document_replica.h"
#include "radishrudder/kernel/random.h"
#include "radishrudder/kernel/time.h"
#include "radishrudder/kernel/token_bucket.h"

namespace radishrudder::dissemination {

// Determines when this process reads the configuration service. Readers watch
// it continuously. Other processes read it only after a time without a digest
// from a current peer, with a random delay that spreads the reads of the fleet
// over several seconds.
class ReadSchedule {
 public:
  ReadSchedule(kernel::Duration watch_wait, kernel::Random random);

  void SetReader(kernel::Time now, bool is_reader);
  void SetFleetSize(std::size_t processes);
  // Postpones the next read, because a peer that is current sent a digest.
  void OnCurrentPeerDigest(kernel::Time now);
  void OnReadEnded(kernel::Time now, bool succeeded);

  // Returns the read to start at `now`, if one is due, and marks it as in
  // progress.
  std::optional<StartDocumentRead> TakeDueRead(kernel::Time now,
                                               std::uint64_t after);
  // Returns when the next read is due; `Time::max()` if none is scheduled or
  // one is in progress.
  kernel::Time NextRead() const;
  bool IsReader() const { return m_is_reader; }

 private:
  // Returns a uniformly random delay below `bound` (full jitter).
  kernel::Duration RandomDelay(kernel::Duration bound);
  // Returns the time over which the reads of the fleet are spread.
  kernel::Duration FleetSpread() const;
  void ScheduleRead(kernel::Time now, kernel::Duration delay);

  kernel::Duration m_watch_wait;
  kernel::Random m_random;
  std::optional<kernel::TokenBucket> m_rate_limit;
  std::optional<kernel::Time> m_next_read;
  kernel::Time m_next_periodic_read = kernel::Time::max();
  // Assumes a large fleet until the list of peers is known.
  std::size_t m_fleet_size = 3000;
  std::uint32_t m_failures = 0;
  bool m_is_reader = false;
  bool m_read_in_progress = false;
};

}  // namespace radishrudder::dissemination

#endif  // RADISHRUDDER_SOURCE_DISSEMINATION_READ_SCHEDULE_H_
