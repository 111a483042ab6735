#include "radishrudder/kernel/token_bucket.h"

#include <algorithm>

namespace radishrudder::kernel {

bool TokenBucket::TryTake(Time now, double amount) {
  Refill(now);
  if (m_tokens < amount) {
    return false;
  }
  m_tokens -= amount;
  return true;
}

void TokenBucket::Take(Time now, double amount) {
  Refill(now);
  m_tokens -= amount;
}

Duration TokenBucket::TimeUntil(Time now, double amount) {
  Refill(now);
  if (m_tokens >= amount) {
    return Duration::zero();
  }
  const std::chrono::duration<double> wait((amount - m_tokens) / m_rate);
  return std::chrono::ceil<Duration>(wait);
}

double TokenBucket::Available(Time now) {
  Refill(now);
  return m_tokens;
}

void TokenBucket::Refill(Time now) {
  if (now <= m_updated) {
    return;
  }
  const std::chrono::duration<double> elapsed = now - m_updated;
  m_tokens = std::min(m_burst, m_tokens + elapsed.count() * m_rate);
  m_updated = now;
}

}  // namespace radishrudder::kernel
