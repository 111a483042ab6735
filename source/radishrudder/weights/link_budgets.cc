#include "radishrudder/weights/link_budgets.h"

#include <algorithm>

namespace radishrudder::weights {
namespace {

// Share of each link that transfers keep under full pressure of calls.
constexpr double kMinimumShare = 0.1;
// Many senders share a link between regions: together their bursts must not
// fill its queue.
constexpr double kRegionBurstBytes = 4.0 * 1024;

}  // namespace

PacedLink::PacedLink(double rate, double burst, kernel::Time now)
    : m_rate(rate) {
  if (rate > 0) {
    m_bucket.emplace(rate, burst, now);
  }
}

kernel::Duration PacedLink::Wait(kernel::Time now) {
  return m_bucket ? m_bucket->TimeUntil(now, 0) : kernel::Duration::zero();
}

void PacedLink::Charge(kernel::Time now, double bytes) {
  if (m_bucket) {
    m_bucket->Take(now, bytes);
  }
}

double PacedLink::Debt(kernel::Time now) {
  return m_bucket ? std::max(0.0, -m_bucket->Available(now)) : 0;
}

LinkBudgets::LinkBudgets(double instance_rate, double burst, kernel::Time now)
    : m_burst(burst),
      m_upload(instance_rate, burst, now),
      m_download(instance_rate, burst, now),
      m_origin(0, burst, now) {}

void LinkBudgets::SetPressure(double pressure) {
  const double share = 1 - std::clamp(pressure, 0.0, 1.0);
  m_cost = 1 / std::max(kMinimumShare, share);
}

void LinkBudgets::SetRegionRate(std::string_view region,
                                double rate,
                                kernel::Time now) {
  const PacedLink* known = FindRegion(region);
  if (known == nullptr || known->Rate() != rate) {
    m_regions.insert_or_assign(std::string(region),
                               PacedLink(rate, kRegionBurstBytes, now));
  }
}

void LinkBudgets::SetOriginRate(double rate, kernel::Time now) {
  if (m_origin.Rate() != rate) {
    m_origin = PacedLink(rate, m_burst, now);
  }
}

PacedLink* LinkBudgets::FindRegion(std::string_view region) {
  const auto found = m_regions.find(region);
  return found == m_regions.end() ? nullptr : &found->second;
}

bool LinkBudgets::MayUpload(kernel::Time now, std::string_view region) {
  PacedLink* link = FindRegion(region);
  return m_upload.Ready(now) && (link == nullptr || link->Ready(now));
}

void LinkBudgets::ChargeUpload(kernel::Time now,
                               std::string_view region,
                               double bytes) {
  m_upload.Charge(now, bytes * m_cost);
  if (PacedLink* link = FindRegion(region)) {
    link->Charge(now, bytes * m_cost);
  }
}

kernel::Duration LinkBudgets::UploadWait(kernel::Time now) {
  return m_upload.Wait(now);
}

bool LinkBudgets::MayRequest(kernel::Time now, double allowed_debt) {
  return m_download.Debt(now) <= allowed_debt;
}

void LinkBudgets::ChargeDownload(kernel::Time now, double bytes) {
  m_download.Charge(now, bytes * m_cost);
}

void LinkBudgets::ChargeFetch(kernel::Time now, double bytes) {
  m_origin.Charge(now, bytes * m_cost);
}

}  // namespace radishrudder::weights
