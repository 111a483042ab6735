#include "orders.h"

#include <algorithm>

namespace radishrudder::rollout {
namespace {

using std::chrono::seconds;

// An order that the shell could not send within this time is dropped.
constexpr kernel::Duration kSendWithin = seconds(2);
constexpr kernel::Duration kFirstBackoff = seconds(2);
constexpr std::uint32_t kBackoffDoublings = 6;

}  // namespace

bool Orders::MayOrder(kernel::Time now) const {
  return !m_stopped && !m_refused && !m_current.has_value() &&
         now >= m_not_before;
}

OrderLoad Orders::Give(kernel::Time now,
                       std::uint64_t revision,
                       std::string_view manifest_digest) {
  ++m_order;
  m_current = Fence{revision, m_incarnation, m_order};
  m_digest = manifest_digest;
  m_deadline = now + m_timeout;
  return {m_digest, *m_current, now + kSendWithin};
}

bool Orders::End(kernel::Time now, const Fence& fence, OrderResult result) {
  if (m_current != fence) {
    return false;
  }
  m_current.reset();
  m_deadline = kernel::Time::max();
  if (result == OrderResult::kRefusedOldFence) {
    m_refused = true;
  } else {
    m_uncertain = result == OrderResult::kUnanswered;
  }
  return true;
}

bool Orders::EndOverdue(kernel::Time now) {
  if (!m_current.has_value() || now < m_deadline) {
    return false;
  }
  m_current.reset();
  m_deadline = kernel::Time::max();
  m_uncertain = true;
  return true;
}

void Orders::OnEndpointRestart() {
  m_refused = false;
  m_uncertain = false;
}

void Orders::Fail(kernel::Time now) {
  const auto bound =
      kFirstBackoff * (1U << std::min(m_failures, kBackoffDoublings));
  ++m_failures;
  m_not_before = now + bound / 2 +
                 std::chrono::duration_cast<kernel::Duration>(
                     bound / 2 * m_random.Uniform());
}

void Orders::Succeed() {
  m_failures = 0;
  m_not_before = {};
}

}  // namespace radishrudder::rollout
