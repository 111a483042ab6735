#ifndef RADISHRUDDER_ROUTING_DEMAND_SHARES_H_
#define RADISHRUDDER_ROUTING_DEMAND_SHARES_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "radishrudder/kernel/time.h"

namespace radishrudder::routing {

// Calls that callers brought to one entry for one service, accepted or not.
struct Demand {
  std::string entry{};
  std::string service{};
  double calls_per_second = 0;
  kernel::Time measured_at{};
};

// What each entry has to send, of all that callers bring to all entries. It
// decides who may use an endpoint's capacity when there is less than everybody
// wants: without it, a slot goes again to the entry whose call leaves it, which
// learns of it first. State machine without clocks.
class DemandShares {
 public:
  explicit DemandShares(std::string entry) : m_entry(std::move(entry)) {}

  // A caller brought a call for the service to this entry.
  void OnOffered(std::string_view service);
  void OnTick(kernel::Time now);
  // Merges what another entry knows of itself and of others.
  void Merge(kernel::Time now, std::span<const Demand> demands);

  // Share of this entry in the service's demand, from 0 to 1; 0 while no other
  // entry is known.
  double Share(kernel::Time now, std::string_view service) const;
  // What this entry knows, for others.
  std::vector<Demand> Demands(kernel::Time now) const;

 private:
  using ByService = std::map<std::string, Demand, std::less<>>;

  std::string m_entry;
  std::map<std::string, std::uint32_t, std::less<>> m_offered;
  kernel::Time m_window_start{};
  // By entry, this one included.
  std::map<std::string, ByService, std::less<>> m_known;
};

}  // namespace radishrudder::routing

#endif  // RADISHRUDDER_ROUTING_DEMAND_SHARES_H_
