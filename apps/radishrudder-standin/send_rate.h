#ifndef RADISHRUDDER_STANDIN_SEND_RATE_H_
#define RADISHRUDDER_STANDIN_SEND_RATE_H_

#include <cstddef>

#include "radishrudder/kernel/time.h"

namespace radishrudder::standin {

// Spaces what is sent over one link so that its rate is kept.
class SendRate {
 public:
  // `bytes_per_second` 0 is no limit.
  explicit SendRate(double bytes_per_second)
      : m_bytes_per_second(bytes_per_second) {}

  // Returns how long to wait before `bytes` may follow all earlier ones.
  kernel::Duration Reserve(kernel::Time now, std::size_t bytes);

 private:
  double m_bytes_per_second;
  kernel::Time m_free_from{};
};

}  // namespace radishrudder::standin

#endif  // RADISHRUDDER_STANDIN_SEND_RATE_H_
