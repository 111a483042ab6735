#ifndef RADISHRUDDER_CALLS_RETRY_BUDGET_H_
#define RADISHRUDDER_CALLS_RETRY_BUDGET_H_

namespace radishrudder::calls {

// Bounds retries to a share of the calls. Every call earns a part of a token;
// a retry costs a whole one.
class RetryBudget {
 public:
  // `share` is the number of retries each call earns, for example 0.1;
  // `maximum` bounds what is saved up.
  explicit RetryBudget(double share, double maximum = kMaximumTokens)
      : m_share(share), m_maximum(maximum) {}

  void SetShare(double share) { m_share = share; }
  // Adds what one call earns.
  void Earn();
  // Takes a token if there is one; returns whether there was.
  bool TryTake();
  // Takes a token, also on credit up to a limit. For refusals that each
  // endpoint gives only once, such as those of a drain.
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
