#ifndef RADISHRUDDER_DIRECT_ENDPOINT_LIMITS_H_
#define RADISHRUDDER_DIRECT_ENDPOINT_LIMITS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "radishrudder/kernel/time.h"
#include "radishrudder/routing/endpoint.h"

namespace radishrudder::direct {

// The rate of requests that an endpoint run takes from all entries together, as
// of its answer at `named_at`. Nothing: it named none.
struct EndpointLimit {
  std::string endpoint{};
  std::uint64_t incarnation = 0;
  std::optional<double> requests_per_second{};
  kernel::Time named_at{};
};

// The limits that endpoints named to this entry or to another one. State
// machine without clocks.
class EndpointLimits {
 public:
  // An answer of the run named a limit, or none. Returns whether that is new.
  bool OnNamed(kernel::Time now,
               const routing::EndpointRun& run,
               std::optional<double> requests_per_second);
  // What another entry knows. The latest answer of a run holds.
  void Merge(kernel::Time now, std::span<const EndpointLimit> limits);
  void OnTick(kernel::Time now);

  bool IsEmpty() const { return m_known.empty(); }
  // What this entry knows, for others.
  std::vector<EndpointLimit> Known() const;
  // Increases when a limit is new, changes or ends.
  std::uint64_t Revision() const { return m_revision; }

 private:
  using Run = std::pair<std::string, std::uint64_t>;
  struct Limit {
    std::optional<double> requests_per_second{};
    kernel::Time named_at{};
  };

  bool Update(Run run, const Limit& limit, kernel::Duration minimum_difference);

  std::map<Run, Limit> m_known;
  std::uint64_t m_revision = 0;
};

}  // namespace radishrudder::direct

#endif  // RADISHRUDDER_DIRECT_ENDPOINT_LIMITS_H_
