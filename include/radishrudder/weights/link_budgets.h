#ifndef RADISHRUDDER_WEIGHTS_LINK_BUDGETS_H_
#define RADISHRUDDER_WEIGHTS_LINK_BUDGETS_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "radishrudder/kernel/time.h"
#include "radishrudder/kernel/token_bucket.h"

namespace radishrudder::weights {

// One link under a token bucket that lets a message go while it has no debt.
class PacedLink {
 public:
  // `rate` in bytes a second, 0 for no limit; `burst` in bytes.
  PacedLink(double rate, double burst, kernel::Time now);

  bool Ready(kernel::Time now) { return Wait(now) <= kernel::Duration::zero(); }
  // Returns how long until the debt is paid.
  kernel::Duration Wait(kernel::Time now);
  void Charge(kernel::Time now, double bytes);
  // Returns the bytes that were let go ahead of the rate.
  double Debt(kernel::Time now);
  double Rate() const { return m_rate; }

 private:
  double m_rate;
  std::optional<kernel::TokenBucket> m_bucket;
};

// The budgets of all links that transfers of one instance use. Live calls take
// part of them away: a byte then costs more tokens.
class LinkBudgets {
 public:
  // Rates in bytes a second, 0 for no limit; `burst` in bytes.
  LinkBudgets(double instance_rate, double burst, kernel::Time now);

  // `pressure` from 0 (no calls) to 1 (calls need the links).
  void SetPressure(double pressure);
  // This instance's part of the links out of its region and of the sources.
  void SetRegionRate(std::string_view region, double rate, kernel::Time now);
  void SetOriginRate(double rate, kernel::Time now);

  // `region` is empty for a receiver in this region.
  bool MayUpload(kernel::Time now, std::string_view region);
  void ChargeUpload(kernel::Time now, std::string_view region, double bytes);
  kernel::Duration UploadWait(kernel::Time now);

  bool MayRequest(kernel::Time now, double allowed_debt);
  void ChargeDownload(kernel::Time now, double bytes);

  bool MayFetch(kernel::Time now) { return m_origin.Ready(now); }
  void ChargeFetch(kernel::Time now, double bytes);
  kernel::Duration FetchWait(kernel::Time now) { return m_origin.Wait(now); }

 private:
  PacedLink* FindRegion(std::string_view region);

  double m_burst;
  double m_cost = 1;  // Tokens for a byte.
  PacedLink m_upload;
  PacedLink m_download;
  PacedLink m_origin;
  std::map<std::string, PacedLink, std::less<>> m_regions;
};

}  // namespace radishrudder::weights

#endif  // RADISHRUDDER_WEIGHTS_LINK_BUDGETS_H_
