#include <algorithm>
#include <iterator>

#include "source/radishrudder/direct/entry_state.h"

namespace radishrudder::direct {

std::vector<ReportedEndpoint> Entry::ReportingEndpoints() const {
  std::vector<ReportedEndpoint> reporting;
  for (const auto& [service, pool] : m_state->pools) {
    if (pool->Engine() && pool->PlacesByCost()) {
      std::ranges::move(pool->ReportingEndpoints(),
                        std::back_inserter(reporting));
    }
  }
  return reporting;
}

void Entry::OnLoadReports(kernel::Time now,
                          std::span<const EndpointLoadReport> reports) {
  for (const EndpointLoadReport& report : reports) {
    const auto pool = m_state->pools.find(report.service);
    if (pool != m_state->pools.end()) {
      pool->second->OnLoadReport(now, report);
    }
  }
}

}  // namespace radishrudder::direct
