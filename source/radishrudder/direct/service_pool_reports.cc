#include <set>
#include <string_view>
#include <vector>

#include "radishrudder/routing/endpoint_subset.h"
#include "source/radishrudder/direct/service_pool.h"

namespace radishrudder::direct {

std::vector<ReportedEndpoint> ServicePool::ReportingEndpoints() const {
  std::vector<routing::Endpoint> listed;
  listed.reserve(m_listed.size());
  for (const auto& [id, endpoint] : m_listed) {
    listed.push_back(ToRouterEndpoint(endpoint));
    listed.back().leaving = endpoint.leaving;
  }
  std::set<std::string_view> subset;
  for (const std::size_t index :
       routing::SelectSubset(m_settings.name, listed, m_router.Subset())) {
    subset.insert(listed[index].instance);
  }
  std::vector<ReportedEndpoint> reporting;
  for (const auto& [id, endpoint] : m_listed) {
    const bool wanted =
        subset.contains(id) || m_router.IsInSubset(id) ||
        m_reported_states.TakesNoNewCalls({id, endpoint.started});
    if (wanted && !endpoint.leaving && endpoint.started != 0) {
      reporting.push_back({.service = endpoint.service,
                           .id = id,
                           .address = endpoint.address,
                           .started = endpoint.started});
    }
  }
  return reporting;
}

}  // namespace radishrudder::direct
