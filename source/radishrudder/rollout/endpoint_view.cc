#include "endpoint_view.h"

#include <algorithm>

namespace radishrudder::rollout {
namespace {

// An answer later than this after its question is not acted on.
constexpr kernel::Duration kAnswerWithin = std::chrono::seconds(3);

}  // namespace

void EndpointView::OnAsked(kernel::Time now) {
  m_asked = now;
  m_next = now + m_interval;
}

bool EndpointView::Take(kernel::Time now, const EndpointStatus& status) {
  if (now - m_asked > std::max(kAnswerWithin, m_interval)) {
    return false;
  }
  m_restarted = false;
  if (!status.reachable) {
    ++m_missed;
    return true;
  }
  m_restarted = m_known && status.start_id != m_start_id;
  m_missed = 0;
  m_known = true;
  m_start_id = status.start_id;
  m_digest = status.running_digest;
  return true;
}

}  // namespace radishrudder::rollout
