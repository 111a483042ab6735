#include "radishrudder/routing/demand_shares.h"

#include <algorithm>
#include <utility>

namespace radishrudder::routing {
namespace {

constexpr std::chrono::milliseconds kWindow{1000};
// Weight of the latest window in the rate.
constexpr double kWindowWeight = 0.5;
// An entry that has not been heard of for this long takes no share.
constexpr std::chrono::seconds kMaximumAge{15};
// Limits of what is remembered of others.
constexpr std::size_t kMaximumEntries = 256;
constexpr std::size_t kMaximumServices = 64;
// Until a process has heard of the others, its own share looks too large.
constexpr double kMaximumShare = 0.5;

}  // namespace

void DemandShares::OnOffered(std::string_view service) {
  const auto found = m_offered.find(service);
  if (found != m_offered.end()) {
    ++found->second;
  } else if (m_offered.size() < kMaximumServices) {
    m_offered.emplace(std::string(service), 1);
  }
}

void DemandShares::OnTick(kernel::Time now) {
  if (now - m_window_start < kWindow) {
    return;
  }
  const double seconds =
      std::chrono::duration<double>(now - m_window_start).count();
  const bool first = m_window_start == kernel::Time{};
  m_window_start = now;
  for (auto& [service, offered] : m_offered) {
    Demand& demand = m_known[m_entry][service];
    const double rate = first ? 0 : std::exchange(offered, 0) / seconds;
    demand = {
        m_entry, service,
        demand.calls_per_second * (1 - kWindowWeight) + rate * kWindowWeight,
        now};
  }
  std::erase_if(m_known, [this, now](auto& item) {
    if (item.first == m_entry) {
      return false;
    }
    return std::ranges::all_of(item.second, [now](const auto& service) {
      return now - service.second.measured_at >= kMaximumAge;
    });
  });
}

void DemandShares::Merge(kernel::Time now, std::span<const Demand> demands) {
  for (const Demand& demand : demands) {
    if (demand.entry == m_entry || now - demand.measured_at >= kMaximumAge ||
        (!m_known.contains(demand.entry) &&
         m_known.size() >= kMaximumEntries)) {
      continue;
    }
    ByService& services = m_known[demand.entry];
    const auto known = services.find(demand.service);
    if (known == services.end()) {
      if (services.size() < kMaximumServices) {
        services.emplace(demand.service, demand);
      }
    } else if (known->second.measured_at < demand.measured_at) {
      known->second = demand;
    }
  }
}

double DemandShares::Share(kernel::Time now, std::string_view service) const {
  double own = 0;
  double others = 0;
  for (const auto& [entry, services] : m_known) {
    const auto found = services.find(service);
    if (found == services.end() ||
        now - found->second.measured_at >= kMaximumAge) {
      continue;
    }
    (entry == m_entry ? own : others) += found->second.calls_per_second;
  }
  return others > 0 ? std::min(own / (own + others), kMaximumShare) : 0;
}

std::vector<Demand> DemandShares::Demands(kernel::Time now) const {
  std::vector<Demand> demands;
  for (const auto& [entry, services] : m_known) {
    for (const auto& [service, demand] : services) {
      if (now - demand.measured_at < kMaximumAge) {
        demands.push_back(demand);
      }
    }
  }
  return demands;
}

}  // namespace radishrudder::routing
