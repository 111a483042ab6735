#include "read_schedule.h"

#include <algorithm>

namespace radishrudder::dissemination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A process that isn't a reader reads the configuration service if no digest
// from a current peer arrives for this long after its start.
constexpr kernel::Duration kInitialDigestTimeout = seconds(3);
// The same timeout after a digest from a current peer or a successful read.
constexpr kernel::Duration kDigestTimeout = seconds(8);
// Each process reads the configuration service about once per this interval,
// even if digests from current peers arrive.
constexpr kernel::Duration kPeriodicReadInterval = std::chrono::minutes(10);
// The reads of the complete fleet are spread so that they stay below this rate.
constexpr double kMaximumFleetReadsPerSecond = 500;
constexpr kernel::Duration kMinimumFleetSpread = seconds(1);
// The backoff after the first failure is random up to twice `kBaseBackoff`; the
// bound doubles with each consecutive failure.
constexpr kernel::Duration kBaseBackoff = milliseconds(500);
constexpr kernel::Duration kMaximumBackoff = seconds(15);
constexpr std::uint32_t kMaximumBackoffDoublings = 5;
// Rate limit of the reads of this process.
constexpr double kMaximumReadsPerSecond = 2;
constexpr double kMaximumReadBurst = 6;

}  // namespace

ReadSchedule::ReadSchedule(kernel::Duration watch_wait, kernel::Random random)
    : m_watch_wait(watch_wait), m_random(random) {}

void ReadSchedule::SetReader(kernel::Time now, bool is_reader) {
  const bool becomes_reader = is_reader && !m_is_reader;
  m_is_reader = is_reader;
  if (m_read_in_progress) {
    return;
  }
  if (becomes_reader) {
    ScheduleRead(now, kernel::Duration::zero());
  } else if (!m_next_read.has_value()) {
    m_next_periodic_read =
        now + kPeriodicReadInterval / 2 + RandomDelay(kPeriodicReadInterval);
    ScheduleRead(now, kInitialDigestTimeout + RandomDelay(FleetSpread()));
  }
}

void ReadSchedule::SetFleetSize(std::size_t processes) {
  m_fleet_size = std::max<std::size_t>(processes, 1);
}

void ReadSchedule::OnCurrentPeerDigest(kernel::Time now) {
  if (!m_is_reader && !m_read_in_progress) {
    m_failures = 0;
    ScheduleRead(now, std::min(kDigestTimeout + RandomDelay(FleetSpread()),
                               std::max(m_next_periodic_read - now,
                                        kernel::Duration::zero())));
  }
}

void ReadSchedule::OnReadEnded(kernel::Time now, bool succeeded) {
  m_read_in_progress = false;
  if (!succeeded) {
    m_failures = std::min(m_failures + 1, kMaximumBackoffDoublings);
    const kernel::Duration bound =
        std::min(kBaseBackoff * (1U << m_failures), kMaximumBackoff);
    ScheduleRead(
        now, RandomDelay(std::max(bound, m_is_reader ? bound : FleetSpread())));
    return;
  }
  m_failures = 0;
  ScheduleRead(now, m_is_reader ? kernel::Duration::zero()
                                : kDigestTimeout + RandomDelay(FleetSpread()));
}

std::optional<StartDocumentRead> ReadSchedule::TakeDueRead(
    kernel::Time now,
    std::uint64_t after) {
  if (m_read_in_progress || !m_next_read.has_value() || now < *m_next_read) {
    return std::nullopt;
  }
  if (!m_rate_limit.has_value()) {
    m_rate_limit.emplace(kMaximumReadsPerSecond, kMaximumReadBurst, now);
  }
  if (!m_rate_limit->TryTake(now, 1)) {
    m_next_read = now + m_rate_limit->TimeUntil(now, 1);
    return std::nullopt;
  }
  m_read_in_progress = true;
  m_next_periodic_read =
      now + kPeriodicReadInterval / 2 + RandomDelay(kPeriodicReadInterval);
  const kernel::Duration wait =
      m_is_reader && after != 0 ? m_watch_wait : kernel::Duration::zero();
  return StartDocumentRead{after,
                           std::chrono::duration_cast<milliseconds>(wait)};
}

kernel::Time ReadSchedule::NextRead() const {
  return m_read_in_progress || !m_next_read.has_value() ? kernel::Time::max()
                                                        : *m_next_read;
}

kernel::Duration ReadSchedule::RandomDelay(kernel::Duration bound) {
  return std::chrono::duration_cast<kernel::Duration>(bound *
                                                      m_random.Uniform());
}

kernel::Duration ReadSchedule::FleetSpread() const {
  const std::chrono::duration<double> spread(static_cast<double>(m_fleet_size) /
                                             kMaximumFleetReadsPerSecond);
  return std::max(std::chrono::duration_cast<kernel::Duration>(spread),
                  kMinimumFleetSpread);
}

void ReadSchedule::ScheduleRead(kernel::Time now, kernel::Duration delay) {
  m_next_read = now + delay;
}

}  // namespace radishrudder::dissemination
