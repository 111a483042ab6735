#ifndef RADISHRUDDER_CALLS_RETRY_BUDGET_H_
#define RADISHRUDDER_CALLS_RETRY_BUDGET_H_

namespace radishrudder::calls {

// Limits retries to a share of the calls with a token bucket. Every call adds a
// fraction of a token; a retry takes one token.
class RetryBudget {
 public:
  // `share` is the number of tokens that each call adds, for example 0.1;
  // `maximum` limits the number of tokens available.
  explicit RetryBudget(double share, double maximum = kMaximumTokens)
      : m_share(share), m_maximum(maximum) {}

  void SetShare(double share) { m_share = share; }
  // Adds the tokens for one call.
  void Earn();
  // Takes a token if one is available; returns whether it did.
  bool TryTake();
  // Takes a token even if none is available, up to a credit limit; returns
  // whether it did. For refusals that each endpoint gives only once, such as
  // those of a drain.
  bool TryTakeOnCredit();

 private:
  static constexpr double kMaximumTokens = 32;
  static constexpr double kMaximumCredit = 32;

  double m_share;
  double m_maximum;
  double m_tokens = 0;
};

}  // namespace radishrudder::calls

#endif  // RADISHRUDDER_CALLS_RETRY_BUDGET_H_
