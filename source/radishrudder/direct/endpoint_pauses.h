#ifndef SOURCE_RADISHRUDDER_DIRECT_ENDPOINT_PAUSES_H_
#define SOURCE_RADISHRUDDER_DIRECT_ENDPOINT_PAUSES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "radishrudder/kernel/time.h"
#include "radishrudder/routing/endpoint.h"

namespace radishrudder::direct {

// The endpoint runs that asked this process for no requests for a time. After
// that time, one call at a time tries the endpoint until it answers. What is
// known of a run does not depend on whether the run is listed.
class EndpointPauses {
 public:
  // Returns the end of the pause if the request starts or prolongs one. A
  // request never shortens a pause.
  std::optional<kernel::Time> OnRequested(kernel::Time now,
                                          const routing::EndpointRun& run,
                                          kernel::Duration pause);
  // A call was assigned to the run.
  void OnSelected(kernel::Time now, const routing::EndpointRun& run);
  // The run answered a call without asking for a pause.
  void OnAnswered(kernel::Time now, const routing::EndpointRun& run);
  void OnTick(kernel::Time now);

  bool IsEmpty() const { return m_pauses.empty(); }
  // Whether the run wants no requests.
  bool IsPaused(kernel::Time now, const routing::EndpointRun& run) const;
  // When the run may be selected; not after `now` if it may at once.
  kernel::Time AvailableAt(const routing::EndpointRun& run) const;

 private:
  struct Pause {
    kernel::Time until{};
    kernel::Time next_trial{};
  };
  using Run = std::pair<std::string, std::uint64_t>;

  const Pause* Find(const routing::EndpointRun& run) const;

  std::map<Run, Pause> m_pauses;
};

}  // namespace radishrudder::direct

#endif  // SOURCE_RADISHRUDDER_DIRECT_ENDPOINT_PAUSES_H_
