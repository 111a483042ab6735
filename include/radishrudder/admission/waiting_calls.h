#ifndef RADISHRUDDER_ADMISSION_WAITING_CALLS_H_
#define RADISHRUDDER_ADMISSION_WAITING_CALLS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "radishrudder/kernel/time.h"

namespace radishrudder::admission {

// A call that waits for a place at an endpoint.
struct WaitingCall {
  std::uint64_t id = 0;
  std::uint32_t rank = 0;  // 0 is the most urgent.
  double cost = 1;         // Work, in a unit that all calls of a service share.
  std::string workspace{};
  kernel::Time give_up{};  // When waiting any longer is of no use.
};

// Orders waiting calls by rank, then by how much work their workspace has had
// (start-time fair queueing by cost), then by arrival. A workspace that sends
// much, or repeats its calls at once, so delays only itself.
class WaitingCalls {
 public:
  void Add(WaitingCall call);
  // Returns whether the call waited.
  bool Remove(std::uint64_t id);
  // The call is sent: it is removed, and its work charged to its workspace.
  void OnSent(std::uint64_t id);
  // Removes and returns the calls for which waiting is of no use any more.
  std::vector<WaitingCall> TakeExpired(kernel::Time now);

  bool IsEmpty() const { return m_calls.empty(); }
  std::size_t Size() const { return m_calls.size(); }
  // All waiting calls, first in order first.
  std::vector<std::uint64_t> InOrder() const;
  // Number of waiting calls of that rank or a more urgent one.
  std::size_t CountUpTo(std::uint32_t rank) const;

 private:
  // Rank, virtual start time, arrival number.
  using Position = std::tuple<std::uint32_t, double, std::uint64_t>;
  using Share = std::pair<std::uint32_t, std::string>;  // Rank and workspace.

  // The workspace does not pay for a call that was not sent: its later calls
  // move forward.
  void Refund(const WaitingCall& removed, const Position& removed_at);

  std::map<Position, WaitingCall> m_calls;
  std::map<std::uint64_t, Position> m_positions;
  // Virtual time of each rank, and the virtual finish of each workspace's last
  // call in it.
  std::map<std::uint32_t, double> m_virtual_times;
  std::map<Share, double> m_finishes;
  std::uint64_t m_last_arrival = 0;
};

}  // namespace radishrudder::admission

#endif  // RADISHRUDDER_ADMISSION_WAITING_CALLS_H_
