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
                        std::string_view manifest_digest,
                        std::string_view running) {
  ++m_order_number;
  m_order_in_progress = Fence{revision, m_incarnation, m_order_number};
  m_ordered_digest = manifest_digest;
  m_is_effect_visible = manifest_digest != running &&
                        !m_unanswered_digests.contains(manifest_digest);
  m_is_reported_since = false;
  m_deadline = now + m_timeout;
  return {m_ordered_digest, *m_order_in_progress, now + kSendTimeout};
}

bool Orders::Finish(kernel::Time now, const Fence& fence, OrderResult result) {
  if (m_order_in_progress != fence) {
    return false;
  }
  m_order_in_progress.reset();
  m_deadline = kernel::Time::max();
  switch (result) {
    case OrderResult::kDone:
      m_unanswered_digests.clear();
      break;
    case OrderResult::kRefusedOldFence:
      m_is_refused = true;
      break;
    case OrderResult::kFailed:
      break;
    case OrderResult::kUnanswered:
      m_unanswered_digests.insert(m_ordered_digest);
      break;
  }
  return true;
}

bool Orders::ExpireOverdue(kernel::Time now) {
  if (!m_order_in_progress.has_value() || now < m_deadline) {
    return false;
  }
  m_order_in_progress.reset();
  m_deadline = kernel::Time::max();
  m_unanswered_digests.insert(m_ordered_digest);
  return true;
}

void Orders::ObserveRunning(std::string_view running) {
  m_is_reported_since = !m_order_in_progress.has_value();
  if (m_is_effect_visible && running == m_ordered_digest) {
    m_unanswered_digests.clear();
  }
}

bool Orders::IsUncertain(std::string_view running) const {
  return std::any_of(
      m_unanswered_digests.begin(), m_unanswered_digests.end(),
      [&](const std::string& digest) { return digest != running; });
}

void Orders::OnEndpointRestart() {
  m_is_refused = false;
  std::erase_if(m_unanswered_digests, [this](const std::string& digest) {
    return m_is_reported_since || digest != m_ordered_digest;
  });
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
