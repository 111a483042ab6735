#ifndef TESTS_HISTORIES_SCHEDULER_H_
#define TESTS_HISTORIES_SCHEDULER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "radishrudder/kernel/time.h"

namespace radishrudder::histories {

// Runs actions in order of virtual time; actions for the same time run in the
// order in which they were added.
class Scheduler {
 public:
  kernel::Time Now() const { return m_now; }

  void ScheduleAfter(kernel::Duration delay, std::function<void()> action) {
    At(m_now + delay, std::move(action));
  }

  void At(kernel::Time time, std::function<void()> action) {
    m_actions.emplace(std::pair(time, ++m_arrivals), std::move(action));
  }

  void RunAll() {
    while (!m_actions.empty()) {
      auto next = m_actions.extract(m_actions.begin());
      m_now = next.key().first;
      next.mapped()();
    }
  }

 private:
  kernel::Time m_now{std::chrono::hours(1)};
  std::uint64_t m_arrivals = 0;
  std::map<std::pair<kernel::Time, std::uint64_t>, std::function<void()>>
      m_actions;
};

}  // namespace radishrudder::histories

#endif  // TESTS_HISTORIES_SCHEDULER_H_
