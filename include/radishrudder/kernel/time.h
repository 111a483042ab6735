#ifndef RADISHRUDDER_KERNEL_TIME_H_
#define RADISHRUDDER_KERNEL_TIME_H_

#include <chrono>
#include <concepts>

namespace radishrudder::kernel {

// Monotonic time as the state machines see it. They never read a clock: each
// input carries the time at which it happened.
using Time = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

// Wall-clock time, used only for what other processes compare: incarnations
// and the expiry of idempotency keys.
using WallTime = std::chrono::system_clock::time_point;

// A source of time for the shells around the state machines.
template <typename T>
concept Clock = requires(T clock) {
  { clock.Now() } -> std::same_as<Time>;
  { clock.WallNow() } -> std::same_as<WallTime>;
};

// The clocks of the machine.
struct SystemClock {
  Time Now() const { return std::chrono::steady_clock::now(); }
  WallTime WallNow() const { return std::chrono::system_clock::now(); }
};

}  // namespace radishrudder::kernel

#endif  // RADISHRUDDER_KERNEL_TIME_H_
