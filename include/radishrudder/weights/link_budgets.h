#ifndef RADISHRUDDER_WEIGHTS_LINK_BUDGETS_H_
#define RADISHRUDDER_WEIGHTS_LINK_BUDGETS_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "radishrudder/kernel/time.h"
#include "radishrudder/kernel/token_bucket.h"

namespace radishrudder::weights {

// A link limited by a token bucket. A message may be sent while the bucket has
// no debt, and may itself cause debt.
class RateLimitedLink {
 public:
  // `rate` in bytes per second, 0 for no limit; `burst` in bytes.
  RateLimitedLink(double rate, double burst, kernel::Time now);

  bool IsReady(kernel::Time now) {
    return TimeUntilReady(now) <= kernel::Duration::zero();
  }
  // Returns the time until the bucket has no debt.
  kernel::Duration TimeUntilReady(kernel::Time now);
  void Charge(kernel::Time now, double bytes);
  // Returns the bytes sent ahead of the rate.
  double Debt(kernel::Time now);
  double Rate() const { return m_rate; }

 private:
  double m_rate;
  std::optional<kernel::TokenBucket> m_bucket;
};

// Rate limits of all links that the transfers of one instance use. While calls
// need the links, each transferred byte costs more tokens.
class LinkBudgets {
 public:
  // Rates in bytes per second, 0 for no limit; `burst` in bytes.
  LinkBudgets(double instance_rate, double burst, kernel::Time now);

  // `pressure` from 0 (no calls) to 1 (calls need the links).
  void SetPressure(double pressure);
  // Set this instance's share of the link to another region and of the origin's
  // link, in bytes per second.
  void SetRegionRate(std::string_view region, double rate, kernel::Time now);
  void SetOriginRate(double rate, kernel::Time now);

  // `region` is the receiver's region, or empty for the local region.
  bool CanUpload(kernel::Time now, std::string_view region);
  void ChargeUpload(kernel::Time now, std::string_view region, double bytes);
  kernel::Duration TimeUntilUpload(kernel::Time now);

  bool CanRequest(kernel::Time now, double allowed_debt);
  void ChargeDownload(kernel::Time now, double bytes);

  bool CanFetch(kernel::Time now) { return m_origin.IsReady(now); }
  void ChargeFetch(kernel::Time now, double bytes);
  kernel::Duration TimeUntilFetch(kernel::Time now) {
    return m_origin.TimeUntilReady(now);
  }

 private:
  RateLimitedLink* FindRegion(std::string_view region);

  double m_burst;
  double m_tokens_per_byte = 1;  // Tokens per byte.
  RateLimitedLink m_upload;
  RateLimitedLink m_download;
  RateLimitedLink m_origin;
  std::map<std::string, RateLimitedLink, std::less<>> m_regions;
};

}  // namespace radishrudder::weights

#endif  // RADISHRUDDER_WEIGHTS_LINK_BUDGETS_H_
