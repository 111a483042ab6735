#include "read_schedule.h"

#include <algorithm>

namespace radishrudder::dissemination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Without news from a current peer for this long after the start, or after
// the last such news, a process reads itself.
constexpr kernel::Duration kFirstQuietTime = seconds(3);
constexpr kernel::Duration kQuietTime = seconds(8);
// However much is heard, each process reads itself once in about this time.
constexpr kernel::Duration kOwnReadInterval = std::chrono::minutes(10);
// Own reads of a whole fleet are spread so that they stay below this rate.
constexpr double kFleetReadsPerSecond = 500;
constexpr kernel::Duration kShortestSpread = seconds(1);
constexpr kernel::Duration kFirstBackoff = milliseconds(500);
constexpr kernel::Duration kLongestBackoff = seconds(15);
constexpr std::uint32_t kBackoffDoublings = 5;
constexpr double kReadsPerSecond = 2;
constexpr double kReadBurst = 6;

}  // namespace

ReadSchedule::ReadSchedule(kernel::Duration watch_wait, kernel::Random random)
    : m_watch_wait(watch_wait), m_random(random) {}

void ReadSchedule::SetReader(kernel::Time now, bool is_reader) {
  const bool became = is_reader && !m_is_reader;
  m_is_reader = is_reader;
  if (m_reading) {
    return;
  }
  if (became) {
    Schedule(now, kernel::Duration::zero());
  } else if (!m_next.has_value()) {
    m_own_read = now + kOwnReadInterval / 2 + DrawDelay(kOwnReadInterval);
    Schedule(now, kFirstQuietTime + DrawDelay(SpreadOfFleet()));
  }
}

void ReadSchedule::SetFleetSize(std::size_t processes) {
  m_fleet = std::max<std::size_t>(processes, 1);
}

void ReadSchedule::OnPeerNews(kernel::Time now) {
  if (!m_is_reader && !m_reading) {
    m_failures = 0;
    Schedule(now,
             std::min(kQuietTime + DrawDelay(SpreadOfFleet()),
                      std::max(m_own_read - now, kernel::Duration::zero())));
  }
}

void ReadSchedule::OnReadEnded(kernel::Time now, bool succeeded) {
  m_reading = false;
  if (!succeeded) {
    m_failures = std::min(m_failures + 1, kBackoffDoublings);
    const kernel::Duration bound =
        std::min(kFirstBackoff * (1U << m_failures), kLongestBackoff);
    Schedule(now,
             DrawDelay(std::max(bound, m_is_reader ? bound : SpreadOfFleet())));
    return;
  }
  m_failures = 0;
  Schedule(now, m_is_reader ? kernel::Duration::zero()
                            : kQuietTime + DrawDelay(SpreadOfFleet()));
}

std::optional<StartRead> ReadSchedule::Due(kernel::Time now,
                                           std::uint64_t after) {
  if (m_reading || !m_next.has_value() || now < *m_next) {
    return std::nullopt;
  }
  if (!m_budget.has_value()) {
    m_budget.emplace(kReadsPerSecond, kReadBurst, now);
  }
  if (!m_budget->TryTake(now, 1)) {
    m_next = now + m_budget->TimeUntil(now, 1);
    return std::nullopt;
  }
  m_reading = true;
  m_own_read = now + kOwnReadInterval / 2 + DrawDelay(kOwnReadInterval);
  const kernel::Duration wait =
      m_is_reader && after != 0 ? m_watch_wait : kernel::Duration::zero();
  return StartRead{after, std::chrono::duration_cast<milliseconds>(wait)};
}

kernel::Time ReadSchedule::Next() const {
  return m_reading || !m_next.has_value() ? kernel::Time::max() : *m_next;
}

kernel::Duration ReadSchedule::DrawDelay(kernel::Duration bound) {
  return std::chrono::duration_cast<kernel::Duration>(bound *
                                                      m_random.Uniform());
}

kernel::Duration ReadSchedule::SpreadOfFleet() const {
  const std::chrono::duration<double> spread(static_cast<double>(m_fleet) /
                                             kFleetReadsPerSecond);
  return std::max(std::chrono::duration_cast<kernel::Duration>(spread),
                  kShortestSpread);
}

void ReadSchedule::Schedule(kernel::Time now, kernel::Duration delay) {
  m_next = now + delay;
}

}  // namespace radishrudder::dissemination
