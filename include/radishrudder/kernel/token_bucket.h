#ifndef RADISHRUDDER_KERNEL_TOKEN_BUCKET_H_
#define RADISHRUDDER_KERNEL_TOKEN_BUCKET_H_

#include "radishrudder/kernel/time.h"

namespace radishrudder::kernel {

// Token bucket rate limiter; callers pass in the current time. A token may
// stand for a byte, a call or a read.
class TokenBucket {
 public:
  // `rate` is in tokens per second, `burst` is the capacity in tokens. The
  // bucket starts full.
  TokenBucket(double rate, double burst, Time now)
      : m_rate(rate), m_burst(burst), m_tokens(burst), m_updated(now) {}

  // Takes `amount` tokens if they are available; returns whether it did.
  bool TryTake(Time now, double amount);
  // Takes `amount` tokens, even if the balance becomes negative; later callers
  // wait until the deficit is refilled.
  void Take(Time now, double amount);
  // Returns the time until `amount` tokens are available, rounded up; zero if
  // they are.
  Duration TimeUntil(Time now, double amount);
  // Returns the balance in tokens at `now`; negative during a deficit.
  double Available(Time now);

 private:
  // Adds the tokens earned since the last refill. A time before the last refill
  // changes nothing.
  void Refill(Time now);

  double m_rate;
  double m_burst;
  double m_tokens;
  Time m_updated;
};

}  // namespace radishrudder::kernel

#endif  // RADISHRUDDER_KERNEL_TOKEN_BUCKET_H_
