#ifndef SOURCE_RADISHRUDDER_DIRECT_REPORTED_STATES_H_
#define SOURCE_RADISHRUDDER_DIRECT_REPORTED_STATES_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "radishrudder/kernel/time.h"
#include "radishrudder/routing/endpoint.h"

namespace radishrudder::direct {

// The endpoint runs that take no new calls according to their agents. A run
// takes calls again when a report says so, or when its reports have stopped for
// `kLifetime`.
class ReportedStates {
 public:
  static constexpr std::chrono::milliseconds kLifetime{1000};

  // Each returns whether the result of `TakesNoNewCalls` changed for a run.
  bool OnReport(kernel::Time now,
                const routing::EndpointRun& run,
                bool takes_no_new_calls) {
    const auto key = std::pair(std::string(run.instance), run.incarnation);
    if (!takes_no_new_calls) {
      return m_reported_at.erase(key) > 0;
    }
    return m_reported_at.insert_or_assign(key, now).second;
  }
  bool OnTick(kernel::Time now) {
    return std::erase_if(m_reported_at, [now](const auto& item) {
             return now - item.second >= kLifetime;
           }) > 0;
  }
  bool TakesNoNewCalls(const routing::EndpointRun& run) const {
    return !m_reported_at.empty() &&
           m_reported_at.contains(
               std::pair(std::string(run.instance), run.incarnation));
  }

 private:
  // When the latest report of each run arrived.
  std::map<std::pair<std::string, std::uint64_t>, kernel::Time> m_reported_at;
};

}  // namespace radishrudder::direct

#endif  // SOURCE_RADISHRUDDER_DIRECT_REPORTED_STATES_H_
