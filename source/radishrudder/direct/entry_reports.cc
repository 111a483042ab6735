#include <set>

#include "source/radishrudder/direct/entry_state.h"

namespace radishrudder::direct {
std::vector<ReportedEndpoint> Entry::ReportingEndpoints() const {
  std::set<std::string, std::less<>> services;
  for (const auto& [service, pool] : m_state->pools) {
    if (pool->Engine() && pool->PlacesByCost()) {
      services.insert(service);
    }
  }
  std::vector<ReportedEndpoint> reporting;
  for (const ListedEndpoint& endpoint : m_state->endpoints) {
    if (services.contains(endpoint.service) && !endpoint.leaving &&
        endpoint.started != 0) {
      reporting.push_back({.service = endpoint.service,
                           .id = endpoint.id,
                           .address = endpoint.address,
                           .started = endpoint.started});
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
