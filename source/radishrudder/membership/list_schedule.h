#ifndef RADISHRUDDER_SOURCE_MEMBERSHIP_LIST_SCHEDULE_H_
#define RADISHRUDDER_SOURCE_MEMBERSHIP_LIST_SCHEDULE_H_

#include <optional>

#include "radishrudder/kernel/random.h"
#include "radishrudder/kernel/time.h"
#include "radishrudder/membership/membership.h"

namespace radishrudder::membership {

// Decides when this process reads the platform's list of instances. A few
// processes of a data centre watch it; the others read it now and then, since
// heartbeats bring them what changes in between.
class ListSchedule {
 public:
  ListSchedule(kernel::Duration wait,
               kernel::Duration first_spread,
               kernel::Random random)
      : m_wait(wait), m_first_spread(first_spread), m_random(random) {}

  void Begin(kernel::Time now);
  void SetWatcher(bool is_watcher) { m_is_watcher = is_watcher; }
  void OnReadEnded(kernel::Time now, bool succeeded);
  std::optional<ReadInstances> Due(kernel::Time now, std::uint64_t after);
  kernel::Time Next() const;

 private:
  kernel::Duration Draw(kernel::Duration bound);

  kernel::Duration m_wait;
  kernel::Duration m_first_spread;
  kernel::Random m_random;
  kernel::Time m_next = kernel::Time::max();
  std::uint32_t m_failures = 0;
  bool m_is_watcher = false;
  bool m_reading = false;
  bool m_begun = false;
};

}  // namespace radishrudder::membership

#endif  // RADISHRUDDER_SOURCE_MEMBERSHIP_LIST_SCHEDULE_H_
