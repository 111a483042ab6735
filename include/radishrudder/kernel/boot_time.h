#ifndef RADISHRUDDER_KERNEL_BOOT_TIME_H_
#define RADISHRUDDER_KERNEL_BOOT_TIME_H_

#include <chrono>

#include "radishrudder/kernel/time.h"

namespace radishrudder::kernel {

// Time since boot that goes on while the machine is suspended, unlike `Time`.
// For what must not look younger than it is.
using BootTime = std::chrono::nanoseconds;

BootTime BootTimeNow();

// The same as a `Time`, for deadlines that do not stand still while the
// machine does. Not comparable with times of the steady clock.
inline Time Now() {
  return Time(std::chrono::duration_cast<Duration>(BootTimeNow()));
}

}  // namespace radishrudder::kernel

#endif  // RADISHRUDDER_KERNEL_BOOT_TIME_H_
