#ifndef RADISHRUDDER_KERNEL_TIME_H_
#define RADISHRUDDER_KERNEL_TIME_H_

#include <chrono>
#include <concepts>

namespace radishrudder::kernel {

// Monotonic time, as passed to the state machines. They never read a clock:
// each input carries the time at which it occurred.
using Time = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

// Wall-clock time, used only for values that are compared between processes:
// incarnations and the expiry of idempotency keys.
using WallTime = std::chrono::system_clock::time_point;

// A clock for the code that drives the state machines.
template <typename T>
concept Clock = requires(T clock) {
  { clock.Now() } -> std::same_as<Time>;
  { clock.WallNow() } -> std::same_as<WallTime>;
};

// The steady and the system clock of the machine.
struct SystemClock {
  Time Now() const { return std::chrono::steady_clock::now(); }
  WallTime WallNow() const { return std::chrono::system_clock::now(); }
};

}  // namespace radishrudder::kernel

#endif  // RADISHRUDDER_KERNEL_TIME_H_
