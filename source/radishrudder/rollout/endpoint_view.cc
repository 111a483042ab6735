#include "endpoint_view.h"

#include <algorithm>

namespace radishrudder::rollout {
namespace {

// A status that arrives later than this after its request is ignored, unless
// the read-back interval is longer.
constexpr kernel::Duration kMaximumResponseDelay = std::chrono::seconds(3);

}  // namespace

ReadBack EndpointView::RequestReadBack(kernel::Time now) {
  m_next_read_back = now + m_read_back_interval;
  return {++m_last_number, now};
}

StatusUse EndpointView::ApplyStatus(kernel::Time now,
                                    const ReadBack& request,
                                    const EndpointStatus& status) {
  if (request.number < m_first_valid_number) {
    return StatusUse::kIgnored;
  }
  if (now - request.requested_at >
      std::max(kMaximumResponseDelay, m_read_back_interval)) {
    return request.number == m_last_number ? StatusUse::kMustRepeat
                                           : StatusUse::kIgnored;
  }
  m_first_valid_number = request.number + 1;
  m_has_restarted = false;
  if (!status.reachable) {
    ++m_missed_responses;
    return StatusUse::kApplied;
  }
  m_has_restarted = m_is_known && status.start_id != m_start_id;
  m_missed_responses = 0;
  m_is_known = true;
  m_start_id = status.start_id;
  m_running_digest = status.running_digest;
  return StatusUse::kApplied;
}

}  // namespace radishrudder::rollout
