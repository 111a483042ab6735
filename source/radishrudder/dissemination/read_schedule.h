#ifndef RADISHRUDDER_SOURCE_DISSEMINATION_READ_SCHEDULE_H_
#define RADISHRUDDER_SOURCE_DISSEMINATION_READ_SCHEDULE_H_

#include <optional>

#include "radishrudder/dissemination/document_replica.h"
#include "radishrudder/kernel/random.h"
#include "radishrudder/kernel/time.h"
#include "radishrudder/kernel/token_bucket.h"

namespace radishrudder::dissemination {

// Decides when this process reads the configuration service. Readers watch
// all the time; the others read only after a time without news from a peer,
// at a random moment that spreads the whole fleet over several seconds.
class ReadSchedule {
 public:
  ReadSchedule(kernel::Duration watch_wait, kernel::Random random);

  void SetReader(kernel::Time now, bool is_reader);
  void SetFleetSize(std::size_t processes);
  // A peer that is current was heard; puts off this process's own read.
  void OnPeerNews(kernel::Time now);
  void OnReadEnded(kernel::Time now, bool succeeded);

  // Returns the read to start now, if one is due.
  std::optional<StartRead> Due(kernel::Time now, std::uint64_t after);
  // Returns when a read is due next; far away while one is in progress.
  kernel::Time Next() const;
  bool IsReader() const { return m_is_reader; }

 private:
  // Draws the delay of the next read by full jitter.
  kernel::Duration DrawDelay(kernel::Duration bound);
  kernel::Duration SpreadOfFleet() const;
  void Schedule(kernel::Time now, kernel::Duration delay);

  kernel::Duration m_watch_wait;
  kernel::Random m_random;
  std::optional<kernel::TokenBucket> m_budget;
  std::optional<kernel::Time> m_next;
  kernel::Time m_own_read = kernel::Time::max();
  // Before the list of peers is known, a large fleet is assumed.
  std::size_t m_fleet = 3000;
  std::uint32_t m_failures = 0;
  bool m_is_reader = false;
  bool m_reading = false;
};

}  // namespace radishrudder::dissemination

#endif  // RADISHRUDDER_SOURCE_DISSEMINATION_READ_SCHEDULE_H_
