#ifndef RADISHRUDDER_CALLS_ENDPOINT_SET_H_
#define RADISHRUDDER_CALLS_ENDPOINT_SET_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "radishrudder/calls/entry_core.h"
#include "radishrudder/kernel/random.h"
#include "radishrudder/routing/router.h"
#include "radishrudder/wire/process_id.h"

namespace radishrudder::calls {

// Whether an endpoint was chosen and, if not, why.
enum class ChoiceResult {
  kChosen,
  kAllBusy,  // Usable endpoints exist, but none has free capacity.
  kNone      // No endpoint is usable for the call.
};

// How an attempt ended, as far as that describes the state of its endpoint.
enum class AttemptEnding {
  kAnswered,
  kRefused,   // The agent confirmed that it did not run.
  kFailed,    // A timeout, a lost connection or an incomplete answer.
  kAbandoned  // The attempt is no longer needed, for example because the
              // caller disconnected.
};

struct AttemptResult {
  AttemptEnding ending = AttemptEnding::kAbandoned;
  kernel::Duration first_byte{};  // From the start of the attempt; for answers.
  wire::RefusalReason reason = wire::REFUSAL_UNSPECIFIED;
  std::chrono::milliseconds retry_after{0};
  std::optional<wire::EndpointLoad> load{};
};

struct Choice {
  ChoiceResult result = ChoiceResult::kNone;
  wire::ProcessKey agent{};
};

// The endpoints of one service as known to one entry: their reported load,
// corrected by this entry's calls in progress, and recent refusals.
class EndpointSet {
 public:
  EndpointSet(routing::RouterSettings settings, kernel::Random random)
      : m_router(std::move(settings), random) {}

  void SetPolicy(std::string_view name) { m_router.SetPolicy(name); }
  void SetDefaultCapacity(std::uint32_t calls) { m_default_capacity = calls; }
  void Update(kernel::Time now, std::vector<EndpointView> endpoints);

  // Chooses an endpoint with free capacity that is not in `excluded`.
  Choice Choose(kernel::Time now,
                const routing::CallView& call,
                const std::set<wire::ProcessKey>& excluded);
  // Chooses at random among the endpoints that are neither leaving, closed nor
  // avoided, regardless of their load.
  Choice ChooseAny(kernel::Time now, kernel::Random& random) const;
  // Returns the current run of the agent of that instance, if it is known.
  std::optional<wire::ProcessKey> Find(std::string_view instance) const;

  void OnStarted(kernel::Time now,
                 const wire::ProcessKey& agent,
                 const routing::CallView& call);
  void OnEnded(kernel::Time now,
               const wire::ProcessKey& agent,
               const AttemptResult& result);
  // Called when the agent has reported that it is leaving or not ready. Sends
  // no calls to this run of the agent for a short time.
  void OnClosed(kernel::Time now, const wire::ProcessKey& agent);
  // Excludes that agent from `ChooseAny` until the given time.
  void Avoid(const wire::ProcessKey& agent, kernel::Time until);

  std::size_t Size() const { return m_endpoints.size(); }
  std::string Explain(kernel::Time now) const { return m_router.Explain(now); }

 private:
  struct Endpoint {
    EndpointView view;
    std::uint32_t local_calls = 0;  // Calls of this entry in progress.
    double other_calls = 0;      // Calls of other entries in the last report.
    kernel::Time reported_at{};  // Time of the last report.
    kernel::Time avoid_until;
    kernel::Time closed_until;
  };

  void ApplyLoad(kernel::Time now,
                 const wire::ProcessKey& agent,
                 const wire::EndpointLoad& load);
  bool IsUsable(kernel::Time now, const Endpoint& endpoint) const;
  Endpoint* FindRun(const wire::ProcessKey& agent);
  double CapacityOf(const Endpoint& endpoint) const;
  double EstimatedCalls(kernel::Time now, const Endpoint& endpoint) const;

  std::map<std::string, Endpoint, std::less<>> m_endpoints;
  routing::Router m_router;
  std::uint32_t m_default_capacity = 8;
};

}  // namespace radishrudder::calls

#endif  // RADISHRUDDER_CALLS_ENDPOINT_SET_H_
