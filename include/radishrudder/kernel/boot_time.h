#ifndef RADISHRUDDER_KERNEL_BOOT_TIME_H_
#define RADISHRUDDER_KERNEL_BOOT_TIME_H_

#include <chrono>

namespace radishrudder::kernel {

// Time since boot that goes on while the machine is suspended, unlike `Time`.
// For what must not look younger than it is.
using BootTime = std::chrono::nanoseconds;

BootTime BootTimeNow();

}  // namespace radishrudder::kernel

#endif  // RADISHRUDDER_KERNEL_BOOT_TIME_H_
