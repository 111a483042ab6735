#include "source/radishrudder/direct/cold_endpoints.h"

#include <algorithm>
#include <optional>
#include <set>
#include <string_view>

namespace radishrudder::direct {

void ColdEndpoints::Configure(const ServiceRule& rule) {
  m_cold_start = rule.cold_start;
  m_requests_per_second = rule.cold_requests_per_second;
}

void ColdEndpoints::OnList(kernel::Time now,
                           std::span<const ListedEndpoint> listed) {
  std::set<std::string_view> present;
  for (const ListedEndpoint& endpoint : listed) {
    present.insert(endpoint.id);
    Update(now, endpoint);
  }
  std::erase_if(m_runs, [this, now, &present](const auto& item) {
    const bool removed = !present.contains(item.first);
    if (removed) {
      Forget(now, item.first, item.second);
    }
    return removed;
  });
}

void ColdEndpoints::Update(kernel::Time now, const ListedEndpoint& listed) {
  const auto [found, added] = m_runs.try_emplace(listed.id);
  Run& run = found->second;
  if (added || run.incarnation != listed.started) {
    Forget(now, found->first, run);
    run = {.incarnation = listed.started, .first_seen = now};
  } else if (run.era == listed.era && run.revision == listed.revision) {
    // The service's rule may have changed.
    Refresh(now, found->first, run);
    return;
  }
  run.era = listed.era;
  run.revision = listed.revision;
  if (listed.cold_time.count() > 0) {
    run.cold_until = std::max(run.cold_until, now + listed.cold_time);
  }
  Refresh(now, found->first, run);
}

void ColdEndpoints::Forget(kernel::Time now,
                           const std::string& id,
                           const Run& run) {
  if (run.cold) {
    --m_cold;
    m_rates.OnNamed(now, {id, run.incarnation}, std::nullopt);
  }
}

void ColdEndpoints::OnColdTime(kernel::Time now,
                               const routing::EndpointRun& run,
                               kernel::Duration cold_time) {
  const auto found = m_runs.find(run.instance);
  if (found != m_runs.end() && found->second.incarnation == run.incarnation) {
    found->second.cold_until =
        std::max(found->second.cold_until, now + cold_time);
    Refresh(now, found->first, found->second);
  }
}

kernel::Time ColdEndpoints::ColdUntil(const Run& run) const {
  return std::max(run.cold_until, run.first_seen + m_cold_start);
}

void ColdEndpoints::OnTick(kernel::Time now) {
  for (auto& [id, run] : m_runs) {
    Refresh(now, id, run);
  }
}

void ColdEndpoints::Refresh(kernel::Time now, const std::string& id, Run& run) {
  const kernel::Time until = ColdUntil(run);
  const bool cold = m_requests_per_second > 0 && now < until;
  if (!cold && !run.cold) {
    return;
  }
  // Repeated while the run is cold, since a limit that nobody confirms counts
  // as ended after some time.
  m_rates.OnNamed(now, {id, run.incarnation},
                  cold ? std::optional(m_requests_per_second) : std::nullopt);
  if (cold != run.cold) {
    run.cold = cold;
    m_cold += cold ? 1 : -1;
    m_changes.push_back({id, cold, until});
  }
}

const ColdEndpoints::Run* ColdEndpoints::FindCold(
    kernel::Time now,
    const routing::EndpointRun& run) const {
  const auto found = m_runs.find(run.instance);
  return found != m_runs.end() && found->second.cold &&
                 found->second.incarnation == run.incarnation &&
                 now < ColdUntil(found->second)
             ? &found->second
             : nullptr;
}

kernel::Time ColdEndpoints::AvailableAt(kernel::Time now,
                                        const routing::EndpointRun& run) const {
  return FindCold(now, run) != nullptr ? m_rates.AvailableAt(now, run)
                                       : kernel::Time{};
}

void ColdEndpoints::OnSelected(kernel::Time now,
                               const routing::EndpointRun& run) {
  if (FindCold(now, run) != nullptr) {
    m_rates.OnSelected(now, run);
  }
}

}  // namespace radishrudder::direct
