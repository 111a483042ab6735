#ifndef TESTS_STAGING_AGENDA_H_
#define TESTS_STAGING_AGENDA_H_

#include <functional>
#include <map>
#include <utility>

#include "radishrudder/kernel/time.h"

namespace radishrudder::staging {

// Runs functions at virtual times, in the order of their times.
class Agenda {
 public:
  // `clock` is the virtual time. The agenda advances it.
  explicit Agenda(kernel::Time& clock) : m_clock(clock) {}

  kernel::Time Now() const { return m_clock; }

  void After(kernel::Duration delay, std::function<void()> run) {
    m_entries.emplace(m_clock + delay, std::move(run));
  }

  // Runs all that is due until `end`, including what is added meanwhile.
  void RunUntil(kernel::Time end) {
    while (!m_entries.empty() && m_entries.begin()->first <= end) {
      auto entry = m_entries.extract(m_entries.begin());
      m_clock = entry.key();
      entry.mapped()();
    }
    m_clock = end;
  }

 private:
  kernel::Time& m_clock;
  std::multimap<kernel::Time, std::function<void()>> m_entries;
};

}  // namespace radishrudder::staging

#endif  // TESTS_STAGING_AGENDA_H_
