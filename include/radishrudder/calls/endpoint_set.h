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

// Why no endpoint was chosen, or that one was.
enum class ChoiceResult {
  kChosen,
  kAllBusy,  // One that may take the call exists but has no room.
  kNone      // None may take it.
};

// How an attempt ended, as far as it says something about its endpoint.
enum class AttemptEnding {
  kAnswered,
  kRefused,   // The agent confirmed that it did not run.
  kFailed,    // A time-out, a broken connection or an answer that broke off.
  kAbandoned  // The caller left.
};

struct AttemptResult {
  AttemptEnding ending = AttemptEnding::kAbandoned;
  kernel::Duration first_byte{};  // For answers.
  wire::RefusalReason reason = wire::REFUSAL_UNSPECIFIED;
  std::chrono::milliseconds retry_after{0};
  std::optional<wire::EndpointLoad> load{};
};

struct Choice {
  ChoiceResult result = ChoiceResult::kNone;
  wire::ProcessKey agent{};
};

// The endpoints of one service as one entry sees them: reported load corrected
// by the entry's own calls in progress, and who refused lately.
class EndpointSet {
 public:
  EndpointSet(routing::RouterSettings settings, kernel::Random random)
      : m_router(std::move(settings), random) {}

  void SetPolicy(std::string_view name) { m_router.SetPolicy(name); }
  void SetDefaultCapacity(std::uint32_t calls) { m_default_capacity = calls; }
  void Update(kernel::Time now, std::vector<EndpointView> endpoints);

  // Chooses an endpoint with room that is not in `excluded`.
  Choice Choose(kernel::Time now,
                const routing::CallView& call,
                const std::set<wire::ProcessKey>& excluded);
  // Chooses among all that are not closed, with or without room.
  Choice ChooseAny(kernel::Time now, kernel::Random& random) const;
  // Returns the agent of that name, if the instance is known.
  std::optional<wire::ProcessKey> Find(std::string_view instance) const;

  void OnStarted(kernel::Time now,
                 const wire::ProcessKey& agent,
                 const routing::CallView& call);
  void OnEnded(kernel::Time now,
               const wire::ProcessKey& agent,
               const AttemptResult& result);
  // The agent said that it is leaving or not ready: nothing more goes to this
  // run of it until a newer view says otherwise.
  void OnClosed(kernel::Time now, const wire::ProcessKey& agent);
  // Nothing goes to that agent before `until`.
  void Avoid(const wire::ProcessKey& agent, kernel::Time until);

  std::size_t Size() const { return m_endpoints.size(); }
  std::string Explain(kernel::Time now) const { return m_router.Explain(now); }

 private:
  struct Endpoint {
    EndpointView view;
    std::uint32_t own = 0;  // This entry's calls in progress there.
    double others = 0;      // Calls of other entries when last told.
    kernel::Time told{};    // When `others` was told.
    kernel::Time avoid_until;
    kernel::Time closed_until;
  };

  void TakeLoad(kernel::Time now,
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
