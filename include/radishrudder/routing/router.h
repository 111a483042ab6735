#ifndef RADISHRUDDER_ROUTING_ROUTER_H_
#define RADISHRUDDER_ROUTING_ROUTER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "radishrudder/kernel/random.h"
#include "radishrudder/kernel/time.h"
#include "radishrudder/routing/ejection.h"
#include "radishrudder/routing/endpoint.h"
#include "radishrudder/routing/endpoint_subset.h"
#include "radishrudder/routing/latency_estimate.h"
#include "radishrudder/routing/load_view.h"
#include "radishrudder/routing/policy.h"
#include "radishrudder/routing/prefix_index.h"
#include "radishrudder/routing/spill.h"

namespace radishrudder::routing {

struct RouterSettings {
  std::string entry;  // Name of this entry's instance.
  std::string policy = "least-loaded-of-two";
  SubsetSettings subset{};
  LoadSettings load{};
  EjectionSettings ejection{};
  PrefixSettings prefixes{};
  SpillSettings spill{};
};

// What a call needs of its endpoint.
struct RouteRequest {
  CallView call{};
  std::string_view manifest_digest{};       // Empty: any.
  std::span<const std::string> excluded{};  // Instances tried before.
  // Leave out endpoints whose estimated calls reach their capacity.
  bool only_with_room = false;
};

// Why no endpoint can take a call.
enum class NoRoute {
  kNone,          // There is a route.
  kNoEndpoints,   // None known that is not leaving.
  kWrongVersion,  // None runs the digest asked for.
  kAllTried,      // All that fit are excluded.
  kRefusing,      // All that fit refused calls a moment ago.
  kBusy           // All that fit are without room; with `only_with_room`.
};

struct Route {
  std::string instance{};  // Empty: none.
  std::uint64_t incarnation = 0;
  NoRoute reason = NoRoute::kNone;
  kernel::Duration retry_after{};  // Set with `kRefusing`.
};

// Why an endpoint refused an attempt, which then did not run there.
enum class Refusal {
  kOverloaded,
  kLeaving,
  kNotReady,
  kEndpointUnreachable,  // The agent could not reach its endpoint.
  kOther                 // Says nothing about the endpoint.
};

struct Answer {
  // From sending the attempt to the first byte of the answer.
  kernel::Duration first_byte{};
  std::optional<LoadReport> load{};  // As the end of the answer carried it.
};

// Chooses endpoints for the calls that one entry sends to one service. State
// machine without sockets, threads or clocks. Each `OnSent` is followed by
// exactly one of `OnAnswered`, `OnRefused`, `OnFailed` and `OnAbandoned` for
// that run; those of a run that has been replaced are ignored.
class Router {
 public:
  Router(RouterSettings settings, kernel::Random random);

  // Changes the policy. Returns false, and keeps the former one, if no policy
  // of that name is registered.
  bool SetPolicy(std::string_view name);
  // Capacity of endpoints that report none.
  void SetDefaultCapacity(double calls) { m_loads.SetDefaultCapacity(calls); }
  // All endpoints of the service. Chooses the subset anew.
  void OnEndpoints(kernel::Time now, std::span<const Endpoint> endpoints);
  // News of one endpoint; ignored outside the subset. Cheaper than
  // `OnEndpoints`, which only has to be called when endpoints come or go.
  void OnEndpoint(kernel::Time now, const Endpoint& endpoint);
  // Cache events of an endpoint; ignored outside the subset.
  void OnCacheEvents(kernel::Time now,
                     std::string_view instance,
                     const CacheEvents& events);

  Route Choose(kernel::Time now, const RouteRequest& request);
  void OnSent(kernel::Time now, const EndpointRun& run, const CallView& call);
  void OnAnswered(kernel::Time now,
                  const EndpointRun& run,
                  const Answer& answer);
  // `retry_after` is zero if the agent named no time.
  void OnRefused(kernel::Time now,
                 const EndpointRun& run,
                 Refusal refusal,
                 kernel::Duration retry_after = {});
  // A time-out, a broken connection or an answer that was cut off.
  void OnFailed(kernel::Time now, const EndpointRun& run);
  // The caller has gone or another attempt answered first.
  void OnAbandoned(kernel::Time now, const EndpointRun& run);

  // Calls that all endpoints of the subset run at once, without those that
  // are leaving or suspected.
  double Capacity() const;
  // Says in words where calls go now and why, one line an endpoint.
  std::string Explain(kernel::Time now) const;
  // Endpoints followed: the subset, and those with calls still in flight.
  std::size_t EndpointsFollowed() const { return m_slots.size(); }

 private:
  struct Tracked {
    Endpoint endpoint;
    bool in_subset = false;
    LatencyEstimate latency;
    kernel::Time refusing_until{};
    Refusal refusal = Refusal::kOther;
  };
  // How far an endpoint is fit for a call; a lower one is better.
  enum class Fitness { kFit, kEjected, kSuspected, kUnfit };

  Slot Track(const Endpoint& endpoint);
  void Untrack(Slot slot);
  void Update(kernel::Time now, Slot slot, const Endpoint& endpoint);
  void DropOutsideSubset();
  std::optional<Slot> Find(std::string_view instance) const;
  // Finds an endpoint if that run of it is the current one.
  std::optional<Slot> FindRun(const EndpointRun& run) const;
  // Ends an attempt; returns its endpoint if it is followed.
  std::optional<Slot> OnEnded(kernel::Time now, const EndpointRun& run);

  Fitness FitnessOf(kernel::Time now,
                    Slot slot,
                    const RouteRequest& request) const;
  // Sets the mean latency of the subset.
  void RefreshTypicalLatency();
  void CollectCandidates(kernel::Time now, const RouteRequest& request);
  Candidate CandidateFor(kernel::Time now, Slot slot, const CallView& call);
  bool HasRoom(kernel::Time now, Slot slot) const;
  Route WhyNone(kernel::Time now, const RouteRequest& request) const;
  std::string ExplainEndpoint(kernel::Time now, Slot slot) const;

  RouterSettings m_settings;
  kernel::Random m_random;
  std::unique_ptr<Policy> m_policy;
  LoadView m_loads;
  Ejection m_ejection;
  PrefixIndex m_prefixes;
  std::vector<Tracked> m_tracked;  // By slot.
  std::map<std::string, Slot, std::less<>> m_slots;
  std::vector<Slot> m_free_slots;
  std::vector<Slot> m_subset;  // Nearest first.
  std::size_t m_endpoints_known = 0;
  double m_typical_latency_seconds = 0;
  std::vector<Candidate> m_candidates;  // Of the call being routed.
};

}  // namespace radishrudder::routing

#endif  // RADISHRUDDER_ROUTING_ROUTER_H_
