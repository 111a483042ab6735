#ifndef RADISHRUDDER_ADMISSION_SERVICE_ADMISSION_H_
#define RADISHRUDDER_ADMISSION_SERVICE_ADMISSION_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "radishrudder/admission/rank_limits.h"
#include "radishrudder/admission/waiting_calls.h"
#include "radishrudder/kernel/time.h"

namespace radishrudder::admission {

// A call that found no place at an endpoint.
struct UnplacedCall {
  std::uint64_t id = 0;
  std::uint32_t rank = 0;
  double cost = 1;
  std::string workspace{};
  kernel::Time received{};
  kernel::Time deadline{};
  // Time from its arrival in which its answer should begin; 0: none.
  std::chrono::milliseconds latency_target{0};
};

// Decides which calls of one service wait at this entry when its endpoints are
// full, and which are refused. State machine without sockets, threads or
// clocks.
class ServiceAdmission {
 public:
  void OnArrived(kernel::Time now, std::uint32_t rank) {
    m_limits.OnArrived(now, rank);
  }
  double PlacesShare(std::uint32_t rank) const {
    return m_limits.PlacesShare(rank);
  }
  // A call was sent to an endpoint, waiting or not.
  void OnSent(kernel::Time now, std::uint64_t id);
  // An answer began this long after its call was sent.
  void OnFirstByte(kernel::Duration delay);

  // Returns whether the call waits. If not, no place is expected in time and it
  // should be refused.
  bool TryWait(kernel::Time now, const UnplacedCall& call);
  // The call ended otherwise; nothing happens if it did not wait.
  void Remove(std::uint64_t id) { m_waiting.Remove(id); }
  std::vector<WaitingCall> TakeExpired(kernel::Time now) {
    return m_waiting.TakeExpired(now);
  }
  const WaitingCalls& Waiting() const { return m_waiting; }

  // Time in which a place is expected for a call of that rank, if those that
  // wait come first.
  kernel::Duration ExpectedWait(kernel::Time now, std::uint32_t rank) const;

 private:
  // Places that calls of this entry found in a second.
  double PlacesPerSecond(kernel::Time now) const;

  RankLimits m_limits;
  WaitingCalls m_waiting;
  std::optional<kernel::Time> m_window_start{};  // None before a call is sent.
  kernel::Time m_last_placed{};
  std::uint32_t m_placed = 0;  // In the present window.
  double m_places_per_second = 0;
  double m_first_byte_seconds = 0;    // Smoothed; 0: unknown.
  double m_first_byte_deviation = 0;  // Smoothed distance from it.
};

}  // namespace radishrudder::admission

#endif  // RADISHRUDDER_ADMISSION_SERVICE_ADMISSION_H_
