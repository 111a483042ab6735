#include "radishrudder/calls/retry_budget.h"

#include <algorithm>

namespace radishrudder::calls {

void RetryBudget::Earn() {
  m_tokens = std::min(m_tokens + m_share, m_maximum);
}

bool RetryBudget::TryTake() {
  if (m_tokens < 1) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

bool RetryBudget::TryTakeOnCredit() {
  if (m_tokens - 1 < -kMaximumCredit) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

}  // namespace radishrudder::calls
