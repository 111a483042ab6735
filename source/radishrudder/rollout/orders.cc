#include "orders.h"

#include <algorithm>

namespace radishrudder::rollout {
namespace {

using std::chrono::seconds;

// Orders that could not be sent within this time are dropped by the sender.
constexpr kernel::Duration kSendTimeout = seconds(2);
constexpr kernel::Duration kInitialBackoff = seconds(2);
constexpr std::uint32_t kMaximumBackoffDoublings = 6;

}  // namespace

bool Orders::CanIssue(kernel::Time now) const {
  return !m_is_stopped && !m_is_refused && !m_order_in_progress.has_value() &&
         now >= m_not_before;
}

OrderLoad Orders::Issue(kernel::Time now,
                        std::uint64_t revision,
                        std::string_view manifest_digest) {
  ++m_order_number;
  m_order_in_progress = Fence{revision, m_incarnation, m_order_number};
  m_ordered_digest = manifest_digest;
  m_deadline = now + m_timeout;
  return {m_ordered_digest, *m_order_in_progress, now + kSendTimeout};
}

bool Orders::Finish(kernel::Time now, const Fence& fence, OrderResult result) {
  if (m_order_in_progress != fence) {
    return false;
  }
  m_order_in_progress.reset();
  m_deadline = kernel::Time::max();
  if (result == OrderResult::kRefusedOldFence) {
    m_is_refused = true;
  } else {
    m_is_uncertain = result == OrderResult::kUnanswered;
  }
  return true;
}

bool Orders::ExpireOverdue(kernel::Time now) {
  if (!m_order_in_progress.has_value() || now < m_deadline) {
    return false;
  }
  m_order_in_progress.reset();
  m_deadline = kernel::Time::max();
  m_is_uncertain = true;
  return true;
}

void Orders::OnEndpointRestart() {
  m_is_refused = false;
  m_is_uncertain = false;
}

void Orders::RecordFailure(kernel::Time now) {
  const auto backoff =
      kInitialBackoff *
      (1U << std::min(m_consecutive_failures, kMaximumBackoffDoublings));
  ++m_consecutive_failures;
  m_not_before = now + backoff / 2 +
                 std::chrono::duration_cast<kernel::Duration>(
                     backoff / 2 * m_random.Uniform());
}

void Orders::RecordSuccess() {
  m_consecutive_failures = 0;
  m_not_before = {};
}

}  // namespace radishrudder::rollout
