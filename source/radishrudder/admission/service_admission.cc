#include "radishrudder/admission/service_admission.h"

#include <algorithm>
#include <utility>

namespace radishrudder::admission {
namespace {

using Seconds = std::chrono::duration<double>;

constexpr std::chrono::milliseconds kWindow{500};
// Weight of the latest window in the rate at which places come free.
constexpr double kWindowWeight = 0.4;
constexpr double kFirstByteWeight = 0.1;
constexpr double kDefaultFirstByteSeconds = 0.15;
// A service without a stated target: part of a call's time that it may wait.
constexpr double kWaitShareWithoutTarget = 0.1;
// Number of calls that may wait while nothing is known of how fast places come
// free.
constexpr std::size_t kInitialWaiting = 2;
constexpr std::size_t kMaximumWaiting = 256;

kernel::Duration ToDuration(double seconds) {
  return std::chrono::duration_cast<kernel::Duration>(Seconds(seconds));
}

}  // namespace

void ServiceAdmission::OnSent(kernel::Time now, std::uint64_t id) {
  m_waiting.OnSent(id);
  ++m_placed;
  if (now - m_window_start < kWindow) {
    return;
  }
  const double seconds = Seconds(now - m_window_start).count();
  m_window_start = now;
  const double rate = std::exchange(m_placed, 0) / seconds;
  m_places_per_second += kWindowWeight * (rate - m_places_per_second);
}

void ServiceAdmission::OnFirstByte(kernel::Duration delay) {
  const double seconds = Seconds(delay).count();
  m_first_byte_seconds =
      m_first_byte_seconds == 0
          ? seconds
          : m_first_byte_seconds +
                kFirstByteWeight * (seconds - m_first_byte_seconds);
}

double ServiceAdmission::PlacesPerSecond(kernel::Time now) const {
  // Without a place since the window began, the rate is at most this.
  const double seconds = Seconds(now - m_window_start).count();
  return std::min(m_places_per_second,
                  (m_placed + 1) / std::max(seconds, Seconds(kWindow).count()) +
                      m_places_per_second / 2);
}

kernel::Duration ServiceAdmission::ExpectedWait(kernel::Time now,
                                                std::uint32_t rank) const {
  const std::size_t ahead = m_waiting.CountUpTo(rank);
  const double rate = PlacesPerSecond(now);
  if (rate <= 0) {
    return ahead < kInitialWaiting ? kernel::Duration::zero()
                                   : kernel::Duration::max();
  }
  return ToDuration(static_cast<double>(ahead + 1) / rate);
}

bool ServiceAdmission::TryWait(kernel::Time now, const UnplacedCall& call) {
  const double first_byte = m_first_byte_seconds > 0 ? m_first_byte_seconds
                                                     : kDefaultFirstByteSeconds;
  const kernel::Duration wait =
      call.latency_target.count() > 0
          ? kernel::Duration(call.latency_target) - ToDuration(first_byte)
          : std::chrono::duration_cast<kernel::Duration>(
                kWaitShareWithoutTarget * (call.deadline - call.received));
  const kernel::Time give_up = std::min(call.received + wait, call.deadline);
  const kernel::Duration expected = ExpectedWait(now, call.rank);
  if (m_waiting.Size() >= kMaximumWaiting || give_up <= now ||
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
