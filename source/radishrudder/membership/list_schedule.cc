#include "list_schedule.h"

#include <algorithm>

namespace radishrudder::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr kernel::Duration kFirstBackoff = seconds(2);
constexpr kernel::Duration kLongestBackoff = seconds(20);
constexpr std::uint32_t kBackoffDoublings = 4;
// Shortest time between two reads of a watcher.
constexpr kernel::Duration kWatchPause = milliseconds(250);

}  // namespace

void ListSchedule::Begin(kernel::Time now) {
  if (!m_begun) {
    m_begun = true;
    m_next = now + Draw(m_first_spread);
  }
}

void ListSchedule::OnReadEnded(kernel::Time now, bool succeeded) {
  m_reading = false;
  if (!succeeded) {
    m_failures = std::min(m_failures + 1, kBackoffDoublings);
    m_next = now + Draw(std::min(kFirstBackoff * (1U << m_failures),
                                 kLongestBackoff));
    return;
  }
  m_failures = 0;
  m_next = now + (m_is_watcher ? kWatchPause : m_wait / 2 + Draw(m_wait));
}

std::optional<ReadInstances> ListSchedule::Due(kernel::Time now,
                                               std::uint64_t after) {
  if (m_reading || now < m_next) {
    return std::nullopt;
  }
  m_reading = true;
  const kernel::Duration wait =
      m_is_watcher && after != 0 ? m_wait : kernel::Duration::zero();
  return ReadInstances{after, std::chrono::duration_cast<milliseconds>(wait)};
}

kernel::Time ListSchedule::Next() const {
  return m_reading ? kernel::Time::max() : m_next;
}

kernel::Duration ListSchedule::Draw(kernel::Duration bound) {
  return std::chrono::duration_cast<kernel::Duration>(bound *
                                                      m_random.Uniform());
}

}  // namespace radishrudder::membership
