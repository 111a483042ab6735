#ifndef RADISHRUDDER_KERNEL_BOOT_TIME_H_
#define RADISHRUDDER_KERNEL_BOOT_TIME_H_

#include <chrono>

#include "radishrudder/kernel/time.h"

namespace radishrudder::kernel {

// Time since boot, including the time the machine was suspended, which `Time`
// excludes. Used where an age must not be underestimated after a suspend.
using BootTime = std::chrono::nanoseconds;

BootTime BootTimeNow();

// Returns a boot time as a `Time` that is comparable with `Now`.
inline Time ToTime(BootTime time) {
  return Time(std::chrono::duration_cast<Duration>(time));
}

// Returns the boot time as a `Time`, for deadlines that also advance while the
// machine is suspended. Not comparable with times of the steady clock.
inline Time Now() {
  return ToTime(BootTimeNow());
}

}  // namespace radishrudder::kernel

#endif  // RADISHRUDDER_KERNEL_BOOT_TIME_H_
