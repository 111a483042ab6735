#ifndef SOURCE_RADISHRUDDER_DIRECT_COLD_ENDPOINTS_H_
#define SOURCE_RADISHRUDDER_DIRECT_COLD_ENDPOINTS_H_

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "radishrudder/direct/configuration.h"
#include "radishrudder/direct/endpoint_limits.h"
#include "radishrudder/direct/endpoint_list.h"
#include "radishrudder/kernel/time.h"
#include "radishrudder/routing/endpoint.h"

namespace radishrudder::direct {

// An endpoint became cold, or is no longer.
struct ColdChange {
  std::string endpoint{};
  bool cold = false;
  kernel::Time until{};
};

// The endpoint runs of one service that are cold: each takes only a certain
// rate of requests, from all entries together. An endpoint that appears counts
// as cold, whatever it says of itself, because entries hear of it at different
// times. Without a rate in the service's rule no endpoint is cold.
class ColdEndpoints {
 public:
  // `rates` divides the rates among entries; it must outlive this object.
  explicit ColdEndpoints(EndpointLimits& rates) : m_rates(rates) {}

  void Configure(const ServiceRule& rule);
  // The service's complete list. A cold time counts from when the entry of the
  // list that states it is seen first.
  void OnList(kernel::Time now, std::span<const ListedEndpoint> listed);
  // The run said in an answer how long it stays cold.
  void OnColdTime(kernel::Time now,
                  const routing::EndpointRun& run,
                  kernel::Duration cold_time);
  void OnTick(kernel::Time now);
  // Returns what changed since the last call.
  std::vector<ColdChange> TakeChanges() { return std::exchange(m_changes, {}); }

  bool IsEmpty() const { return m_cold == 0; }
  std::size_t Count() const { return m_cold; }
  // When this entry may send the run a request; not after `now` if it may at
  // once.
  kernel::Time AvailableAt(kernel::Time now,
                           const routing::EndpointRun& run) const;
  void OnSelected(kernel::Time now, const routing::EndpointRun& run);

 private:
  struct Run {
    std::uint64_t incarnation = 0;
    std::uint64_t era = 0;
    std::uint64_t revision = 0;
    kernel::Time first_seen{};
    kernel::Time cold_until{};  // As told by the endpoint.
    bool cold = false;
  };

  void Update(kernel::Time now, const ListedEndpoint& listed);
  // Ends the limit of a run that is gone, which would count for minutes
  // otherwise.
  void Forget(kernel::Time now, const std::string& id, const Run& run);
  // Notes whether the run is cold now.
  void Refresh(kernel::Time now, const std::string& id, Run& run);
  kernel::Time ColdUntil(const Run& run) const;
  const Run* FindCold(kernel::Time now, const routing::EndpointRun& run) const;

  EndpointLimits& m_rates;
  kernel::Duration m_cold_start{};
  double m_requests_per_second = 0;
  std::map<std::string, Run, std::less<>> m_runs;
  std::size_t m_cold = 0;  // Number of runs that are cold.
  std::vector<ColdChange> m_changes;
};

}  // namespace radishrudder::direct

#endif  // SOURCE_RADISHRUDDER_DIRECT_COLD_ENDPOINTS_H_
