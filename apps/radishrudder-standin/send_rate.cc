#include "send_rate.h"

#include <algorithm>
#include <chrono>

namespace radishrudder::standin {

kernel::Duration SendRate::Reserve(kernel::Time now, std::size_t bytes) {
  if (m_bytes_per_second <= 0) {
    return {};
  }
  const std::chrono::duration<double> length(static_cast<double>(bytes) /
                                             m_bytes_per_second);
  m_free_from = std::max(m_free_from, now) +
                std::chrono::duration_cast<kernel::Duration>(length);
  return m_free_from - now;
}

}  // namespace radishrudder::standin
