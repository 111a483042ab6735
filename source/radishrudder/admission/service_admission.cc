#include "radishrudder/admission/service_admission.h"

#include <algorithm>
#include <cmath>

namespace radishrudder::admission {
namespace {

using Seconds = std::chrono::duration<double>;

constexpr std::chrono::milliseconds kWindow{500};
// Weight of the latest window in the rate at which places come free.
constexpr double kWindowWeight = 0.4;
constexpr double kFirstByteWeight = 0.1;
// Deviations that a waiting call leaves for its first byte beyond the mean: in
// a lasting shortage, calls are sent shortly before they give up, and half of
// them would be late.
constexpr double kFirstByteDeviations = 2;
constexpr double kDefaultFirstByteSeconds = 0.15;
// A service without a stated target: part of a call's time that it may wait.
constexpr double kWaitShareWithoutTarget = 0.1;
// Number of calls that may wait while nothing is known of how fast places come
// free.
constexpr std::size_t kInitialWaiting = 2;
// Waiting calls of a rank and the more urgent ones; less urgent calls take no
// room from them.
constexpr std::size_t kMaximumWaiting = 256;
// Expected waits are cut off here, so that a low rate overflows no duration.
constexpr double kMaximumExpectedSeconds = 3600;

kernel::Duration ToDuration(double seconds) {
  return std::chrono::duration_cast<kernel::Duration>(Seconds(seconds));
}

// Weight of a window that is longer than usual, as after a pause.
double WeightOf(Seconds length) {
  return 1 - std::pow(1 - kWindowWeight, length / Seconds(kWindow));
}

}  // namespace

void ServiceAdmission::OnSent(kernel::Time now, std::uint64_t id) {
  m_waiting.OnSent(id);
  ++m_placed;
  m_last_placed = now;
  if (!m_window_start) {
    m_window_start = now;
  }
  if (now - *m_window_start < kWindow) {
    return;
  }
  const Seconds length = now - *m_window_start;
  const double rate = m_placed / length.count();
  m_places_per_second =
      m_places_per_second == 0
          ? rate
          : m_places_per_second +
                WeightOf(length) * (rate - m_places_per_second);
  m_window_start = now;
  m_placed = 0;
}

void ServiceAdmission::OnFirstByte(kernel::Duration delay) {
  const double seconds = Seconds(delay).count();
  if (m_first_byte_seconds == 0) {
    m_first_byte_seconds = seconds;
    return;
  }
  const double error = seconds - m_first_byte_seconds;
  m_first_byte_seconds += kFirstByteWeight * error;
  m_first_byte_deviation +=
      kFirstByteWeight * (std::abs(error) - m_first_byte_deviation);
}

double ServiceAdmission::PlacesPerSecond(kernel::Time now) const {
  // While no place comes free, no window ends: the rate is at most that of a
  // place that comes now.
  const Seconds gap = now - m_last_placed;
  return gap > kWindow ? std::min(m_places_per_second, 1 / gap.count())
                       : m_places_per_second;
}

kernel::Duration ServiceAdmission::ExpectedWait(kernel::Time now,
                                                std::uint32_t rank) const {
  const std::size_t ahead = m_waiting.CountUpTo(rank);
  const double rate = PlacesPerSecond(now);
  if (rate <= 0) {
    return ahead < kInitialWaiting ? kernel::Duration::zero()
                                   : kernel::Duration::max();
  }
  return ToDuration(
      std::min(kMaximumExpectedSeconds, static_cast<double>(ahead + 1) / rate));
}

bool ServiceAdmission::TryWait(kernel::Time now, const UnplacedCall& call) {
  const double first_byte =
      m_first_byte_seconds > 0
          ? m_first_byte_seconds + kFirstByteDeviations * m_first_byte_deviation
          : kDefaultFirstByteSeconds;
  const kernel::Duration wait =
      call.latency_target.count() > 0
          ? kernel::Duration(call.latency_target) - ToDuration(first_byte)
          : std::chrono::duration_cast<kernel::Duration>(
                kWaitShareWithoutTarget * (call.deadline - call.received));
  const kernel::Time give_up = std::min(call.received + wait, call.deadline);
  const kernel::Duration expected = ExpectedWait(now, call.rank);
  if (m_waiting.CountUpTo(call.rank) >= kMaximumWaiting || give_up <= now ||
      expected > give_up - now) {
    return false;
  }
  m_waiting.Add({.id = call.id,
                 .rank = call.rank,
                 .cost = call.cost,
                 .workspace = call.workspace,
                 .give_up = give_up});
  return true;
}

}  // namespace radishrudder::admission
