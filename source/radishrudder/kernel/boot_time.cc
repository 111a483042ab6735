#include "radishrudder/kernel/boot_time.h"

#include <ctime>

namespace radishrudder::kernel {

BootTime BootTimeNow() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

}  // namespace radishrudder::kernel
