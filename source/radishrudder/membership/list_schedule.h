#ifndef RADISHRUDDER_SOURCE_MEMBERSHIP_LIST_SCHEDULE_H_
#define RADISHRUDDER_SOURCE_MEMBERSHIP_LIST_SCHEDULE_H_

#include <optional>

#include "radishrudder/kernel/random.h"
#include "radishrudder/kernel/time.h"
#include "radishrudder/membership/membership.h"

namespace radishrudder::membership {

// Determines when this process reads the platform's instance list. A few
// processes of each data centre watch it. The others read it at random
// intervals, because heartbeats report the changes in between.
class ListSchedule {
 public:
  ListSchedule(kernel::Duration wait,
               kernel::Duration initial_spread,
               kernel::Random random)
      : m_watch_wait(wait),
        m_initial_spread(initial_spread),
        m_random(random) {}

  void Start(kernel::Time now);
  void SetWatcher(bool is_watcher) { m_is_watcher = is_watcher; }
  void OnReadEnded(kernel::Time now, bool succeeded);
  // Returns the read to start at `now`, if one is due, and marks it as in
  // progress.
  std::optional<StartInstanceListRead> TakeDueRead(kernel::Time now,
                                                   std::uint64_t after);
  // Returns when the next read is due; `Time::max()` while one is in progress.
  kernel::Time NextRead() const;

 private:
  // Returns a uniformly random delay below `bound`.
  kernel::Duration RandomDelay(kernel::Duration bound);

  kernel::Duration m_watch_wait;
  kernel::Duration m_initial_spread;
  kernel::Random m_random;
  kernel::Time m_next_read = kernel::Time::max();
  std::uint32_t m_failures = 0;
  bool m_is_watcher = false;
  bool m_read_in_progress = false;
  bool m_started = false;
};

}  // namespace radishrudder::membership

#endif  // RADISHRUDDER_SOURCE_MEMBERSHIP_LIST_SCHEDULE_H_
