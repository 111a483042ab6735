#include "endpoint_view.h"

#include <algorithm>

namespace radishrudder::rollout {
namespace {

// A status that arrives later than this after its request is ignored, unless
// the read-back interval is longer.
constexpr kernel::Duration kMaximumResponseDelay = std::chrono::seconds(3);

}  // namespace

ReadBack EndpointView::RequestReadBack(kernel::Time now) {
  m_requested_at = now;
  m_next_read_back = now + m_read_back_interval;
  return {++m_last_number, now};
}

bool EndpointView::ApplyStatus(kernel::Time now,
                               const ReadBack& request,
                               const EndpointStatus& status) {
  if (now - m_requested_at >
      std::max(kMaximumResponseDelay, m_read_back_interval)) {
    return false;
  }
  m_has_restarted = false;
  if (!status.reachable) {
    ++m_missed_responses;
    return true;
  }
  m_has_restarted = m_is_known && status.start_id != m_start_id;
  m_missed_responses = 0;
  m_is_known = true;
  m_start_id = status.start_id;
  m_running_digest = status.running_digest;
  return true;
}

}  // namespace radishrudder::rollout
