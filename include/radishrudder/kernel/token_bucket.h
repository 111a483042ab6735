#ifndef RADISHRUDDER_KERNEL_TOKEN_BUCKET_H_
#define RADISHRUDDER_KERNEL_TOKEN_BUCKET_H_

#include "radishrudder/kernel/time.h"

namespace radishrudder::kernel {

// Token bucket with the time passed in. Tokens may be bytes, calls or reads.
class TokenBucket {
 public:
  // `rate` is in tokens a second, `burst` the most that may be saved up.
  TokenBucket(double rate, double burst, Time now)
      : m_rate(rate), m_burst(burst), m_tokens(burst), m_updated(now) {}

  // Takes `amount` tokens if they are there; returns whether they were.
  bool TryTake(Time now, double amount);
  // Takes `amount` tokens even below zero; later callers wait for the debt.
  void Take(Time now, double amount);
  // Returns how long until `amount` tokens are there; zero if they are.
  Duration TimeUntil(Time now, double amount);
  // Returns the tokens there at `now`; negative while in debt.
  double Available(Time now);

 private:
  void Refill(Time now);

  double m_rate;
  double m_burst;
  double m_tokens;
  Time m_updated;
};

}  // namespace radishrudder::kernel

#endif  // RADISHRUDDER_KERNEL_TOKEN_BUCKET_H_
