#ifndef RADISHRUDDER_DIRECT_SOURCE_AGE_H_
#define RADISHRUDDER_DIRECT_SOURCE_AGE_H_

#include <chrono>
#include <optional>

#include "radishrudder/kernel/boot_time.h"

namespace radishrudder::direct {

// Tells how old the newest configuration can be: the time since the request
// was sent whose answer last showed that nothing newer existed. A pause of the
// process or the machine counts.
class SourceAge {
 public:
  // `asked` is when the request was sent, before its answer can have been made.
  void OnConfirmed(kernel::BootTime asked) {
    if (!m_confirmed || asked > *m_confirmed) {
      m_confirmed = asked;
    }
  }
  // Returns nothing while the source was never read.
  std::optional<std::chrono::milliseconds> Age(kernel::BootTime now) const {
    if (!m_confirmed) {
      return std::nullopt;
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(now -
                                                                 *m_confirmed);
  }
  bool IsWithin(kernel::BootTime now, std::chrono::milliseconds limit) const {
    const auto age = Age(now);
    return age && *age <= limit;
  }

 private:
  std::optional<kernel::BootTime> m_confirmed;
};

}  // namespace radishrudder::direct

#endif  // RADISHRUDDER_DIRECT_SOURCE_AGE_H_
