#include "list_schedule.h"

#include <algorithm>

namespace radishrudder::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The backoff after the first failure is random up to twice `kBaseBackoff`; the
// bound doubles with each consecutive failure.
constexpr kernel::Duration kBaseBackoff = seconds(2);
constexpr kernel::Duration kMaximumBackoff = seconds(20);
constexpr std::uint32_t kMaximumBackoffDoublings = 4;
// Minimum time from the end of a watcher's read to its next read.
constexpr kernel::Duration kMinimumWatchInterval = milliseconds(250);

}  // namespace

void ListSchedule::Start(kernel::Time now) {
  if (!m_started) {
    m_started = true;
    m_next_read = now + RandomDelay(m_initial_spread);
  }
}

void ListSchedule::OnReadEnded(kernel::Time now, bool succeeded) {
  m_read_in_progress = false;
  if (!succeeded) {
    m_failures = std::min(m_failures + 1, kMaximumBackoffDoublings);
    m_next_read = now + RandomDelay(std::min(kBaseBackoff * (1U << m_failures),
                                             kMaximumBackoff));
    return;
  }
  m_failures = 0;
  m_next_read =
      now + (m_is_watcher ? kMinimumWatchInterval
                          : m_watch_wait / 2 + RandomDelay(m_watch_wait));
}

std::optional<StartInstanceListRead> ListSchedule::TakeDueRead(
    kernel::Time now,
    std::uint64_t after) {
  if (m_read_in_progress || now < m_next_read) {
    return std::nullopt;
  }
  m_read_in_progress = true;
  const kernel::Duration wait =
      m_is_watcher && after != 0 ? m_watch_wait : kernel::Duration::zero();
  return StartInstanceListRead{after,
                               std::chrono::duration_cast<milliseconds>(wait)};
}

kernel::Time ListSchedule::NextRead() const {
  return m_read_in_progress ? kernel::Time::max() : m_next_read;
}

kernel::Duration ListSchedule::RandomDelay(kernel::Duration bound) {
  return std::chrono::duration_cast<kernel::Duration>(bound *
                                                      m_random.Uniform());
}

}  // namespace radishrudder::membership
