#include "radishrudder/weights/link_budgets.h"

#include <algorithm>

namespace radishrudder::weights {
namespace {

// Share of each link that transfers keep under full call pressure.
constexpr double kMinimumTransferShare = 0.1;
// Many senders share a link between regions, so their combined bursts must not
// fill its queue.
constexpr double kRegionBurstBytes = 4.0 * 1024;

}  // namespace

RateLimitedLink::RateLimitedLink(double rate, double burst, kernel::Time now)
    : m_rate(rate) {
  if (rate > 0) {
    m_bucket.emplace(rate, burst, now);
  }
}

kernel::Duration RateLimitedLink::TimeUntilReady(kernel::Time now) {
  return m_bucket ? m_bucket->TimeUntil(now, 0) : kernel::Duration::zero();
}

void RateLimitedLink::Charge(kernel::Time now, double bytes) {
  if (m_bucket) {
    m_bucket->Take(now, bytes);
  }
}

double RateLimitedLink::Debt(kernel::Time now) {
  return m_bucket ? std::max(0.0, -m_bucket->Available(now)) : 0;
}

LinkBudgets::LinkBudgets(double instance_rate, double burst, kernel::Time now)
    : m_burst(burst),
      m_upload(instance_rate, burst, now),
      m_download(instance_rate, burst, now),
      m_origin(0, burst, now) {}

void LinkBudgets::SetPressure(double pressure) {
  const double share = 1 - std::clamp(pressure, 0.0, 1.0);
  m_tokens_per_byte = 1 / std::max(kMinimumTransferShare, share);
}

void LinkBudgets::SetRegionRate(std::string_view region,
                                double rate,
                                kernel::Time now) {
  const RateLimitedLink* known = FindRegion(region);
  if (known == nullptr || known->Rate() != rate) {
    m_regions.insert_or_assign(std::string(region),
                               RateLimitedLink(rate, kRegionBurstBytes, now));
  }
}

void LinkBudgets::SetOriginRate(double rate, kernel::Time now) {
  if (m_origin.Rate() != rate) {
    m_origin = RateLimitedLink(rate, m_burst, now);
  }
}

RateLimitedLink* LinkBudgets::FindRegion(std::string_view region) {
  const auto found = m_regions.find(region);
  return found == m_regions.end() ? nullptr : &found->second;
}

bool LinkBudgets::CanUpload(kernel::Time now, std::string_view region) {
  RateLimitedLink* link = FindRegion(region);
  return m_upload.IsReady(now) && (link == nullptr || link->IsReady(now));
}

void LinkBudgets::ChargeUpload(kernel::Time now,
                               std::string_view region,
                               double bytes) {
  m_upload.Charge(now, bytes * m_tokens_per_byte);
  if (RateLimitedLink* link = FindRegion(region)) {
    link->Charge(now, bytes * m_tokens_per_byte);
  }
}

kernel::Duration LinkBudgets::TimeUntilUpload(kernel::Time now) {
  return m_upload.TimeUntilReady(now);
}

bool LinkBudgets::CanRequest(kernel::Time now, double allowed_debt) {
  return m_download.Debt(now) <= allowed_debt;
}

void LinkBudgets::ChargeDownload(kernel::Time now, double bytes) {
  m_download.Charge(now, bytes * m_tokens_per_byte);
}

void LinkBudgets::ChargeFetch(kernel::Time now, double bytes) {
  m_origin.Charge(now, bytes * m_tokens_per_byte);
}

}  // namespace radishrudder::weights
