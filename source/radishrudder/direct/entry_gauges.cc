#include "radishrudder/direct/entry_gauges.h"

#include <algorithm>

#include "source/radishrudder/direct/entry_state.h"

namespace radishrudder::direct {

EntryGauges Entry::Gauges() const {
  EntryGauges gauges;
  for (const auto& [service, pool] : m_state->pools) {
    const auto admission = m_state->admissions.find(service);
    gauges.services.push_back(
        {.service = service,
         .waiting_calls = admission == m_state->admissions.end()
                              ? 0
                              : admission->second.Waiting().Size(),
         .cold_endpoints = pool->ColdCount()});
  }
  gauges.evacuated_data_centres =
      static_cast<std::size_t>(std::ranges::count_if(
          m_state->settings.regions, [this](const auto& item) {
            return m_state->evacuations.Contains(item.first);
          }));
  gauges.median_cost_error = m_state->costs.MedianError();
  gauges.high_cost_error = m_state->costs.HighError();
  return gauges;
}

}  // namespace radishrudder::direct
