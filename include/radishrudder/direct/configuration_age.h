#ifndef RADISHRUDDER_DIRECT_CONFIGURATION_AGE_H_
#define RADISHRUDDER_DIRECT_CONFIGURATION_AGE_H_

#include <chrono>
#include <optional>

#include "radishrudder/kernel/boot_time.h"

namespace radishrudder::direct {

// Computes how old the configuration can be at most: the time since the sending
// of the latest request whose response showed that nothing newer existed. Uses
// boot time, so that a suspended process or machine counts as time passed.
class ConfigurationAge {
 public:
  // `requested_at` is when the request was sent. The time of the response would
  // be too late: the configuration may have changed on the way.
  void OnConfigurationConfirmed(kernel::BootTime requested_at) {
    if (!m_confirmed_at || requested_at > *m_confirmed_at) {
      m_confirmed_at = requested_at;
    }
  }
  // Returns nothing if no configuration was confirmed yet.
  std::optional<std::chrono::milliseconds> Age(kernel::BootTime now) const {
    if (!m_confirmed_at) {
      return std::nullopt;
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        now - *m_confirmed_at);
  }
  bool IsWithin(kernel::BootTime now, std::chrono::milliseconds limit) const {
    const auto age = Age(now);
    return age && *age <= limit;
  }

 private:
  std::optional<kernel::BootTime> m_confirmed_at;
};

}  // namespace radishrudder::direct

#endif  // RADISHRUDDER_DIRECT_CONFIGURATION_AGE_H_
