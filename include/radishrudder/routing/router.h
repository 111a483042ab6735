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
#include "radishrudder/routing/engine_model.h"
#include "radishrudder/routing/latency_estimate.h"
#include "radishrudder/routing/load_view.h"
#include "radishrudder/routing/policy.h"
#include "radishrudder/routing/prefix_index.h"
#include "radishrudder/routing/spill.h"
#include "radishrudder/routing/work_view.h"

namespace radishrudder::routing {

struct RouterSettings {
  std::string entry;  // Instance name of this entry.
  std::string policy = "least-loaded-of-two";
  SubsetSettings subset{};
  LoadSettings load{};
  EjectionSettings ejection{};
  PrefixSettings prefixes{};
  SpillSettings spill{};
};

// Requirements of a call on its endpoint.
struct RouteRequest {
  CallView call{};
  std::string_view manifest_digest{};  // Version that must run; empty: any.
  std::span<const std::string> excluded{};  // Instances already tried.
  // Instances that take no call at present, sorted.
  std::span<const std::string_view> unavailable{};
  // Data centres whose endpoints may take the call; nothing: all.
  std::optional<std::span<const std::string>> data_centres{};
  // Excludes endpoints whose estimated calls would exceed their capacity with
  // one more call.
  bool require_free_capacity = false;
  // Part of an endpoint's capacity that counts for `require_free_capacity`;
  // over 1: some calls may queue there.
  double places_share = 1;
};

// Why no endpoint can take a call. If the reason differs between endpoints, the
// route has the one listed last here.
enum class NoRoute {
  kNone,             // There is a route.
  kNoEndpoints,      // All known endpoints are leaving, or there are none.
  kVersionMismatch,  // No endpoint runs the requested digest.
  kAllExcluded,      // Endpoints with that digest are excluded.
  kRefusing,         // Endpoints with that digest recently refused calls.
  kNoFreeCapacity    // Endpoints with that digest are full; with
                     // `require_free_capacity`.
};

struct Route {
  std::string instance{};  // Empty: no route.
  std::uint64_t incarnation = 0;
  NoRoute reason = NoRoute::kNone;
  kernel::Duration retry_after{};  // Set with `kRefusing`.
};

// Why an agent refused an attempt. A refused attempt did not run.
enum class Refusal {
  kOverloaded,
  kLeaving,
  kNotReady,
  kEndpointUnreachable,  // The agent could not reach its endpoint.
  kOther                 // Unrelated to the state of the endpoint.
};

struct Answer {
  // Time from sending the attempt to the first byte of the response.
  kernel::Duration first_byte{};
  std::optional<LoadReport> load{};  // From the end of the response.
};

// Chooses endpoints for the calls that one entry sends to one service. It is a
// state machine without sockets, threads or clocks. Each `OnSent` must be
// followed by exactly one of `OnAnswered`, `OnRefused`, `OnFailed` and
// `OnAbandoned` for the same run. Calls for a run that has been replaced are
// ignored.
class Router {
 public:
  Router(RouterSettings settings, kernel::Random random);

  // Changes the policy. Returns false and keeps the current policy if no policy
  // with that name is registered.
  bool SetPolicy(std::string_view name);
  // Sets the capacity, in calls, assumed for endpoints that report none.
  void SetDefaultCapacity(double calls) { m_loads.SetDefaultCapacity(calls); }
  // Applies from the next list of endpoints on.
  void SetMinimumPerDataCentre(std::uint32_t endpoints) {
    m_settings.subset.minimum_per_data_centre = endpoints;
  }
  // Sets the performance model of the service's engines; nothing: not known.
  // With it, policies that use predictions get them for calls with a cost.
  void SetEngine(std::optional<EngineFigures> figures) { m_engine = figures; }
  // Replaces the list of all endpoints of the service and selects the subset
  // again.
  void OnEndpoints(kernel::Time now, std::span<const Endpoint> endpoints);
  // Updates one endpoint; ignored outside the subset. This is cheaper than
  // `OnEndpoints`, which is only needed when endpoints are added or removed.
  void OnEndpoint(kernel::Time now, const Endpoint& endpoint);
  // Applies cache events of an endpoint; ignored for endpoints that are not
  // tracked.
  void OnCacheEvents(kernel::Time now,
                     std::string_view instance,
                     const CacheEvents& events);

  Route Choose(kernel::Time now, const RouteRequest& request);
  // The remaining work of the attempt is followed if `run.call` is not 0 and
  // the call has a cost.
  void OnSent(kernel::Time now, const EndpointRun& run, const CallView& call);
  // The attempt `run.call` has received `events` events of its stream so far.
  void OnProgress(const EndpointRun& run, std::uint32_t events);
  void OnAnswered(kernel::Time now,
                  const EndpointRun& run,
                  const Answer& answer);
  // `retry_after` is zero if the agent gave no time.
  void OnRefused(kernel::Time now,
                 const EndpointRun& run,
                 Refusal refusal,
                 kernel::Duration retry_after = {});
  // The attempt timed out, its connection broke or its response was truncated.
  void OnFailed(kernel::Time now, const EndpointRun& run);
  // The caller disconnected, or another attempt was answered first.
  void OnAbandoned(kernel::Time now, const EndpointRun& run);

  // Returns the total capacity, in calls, of the endpoints of the subset that
  // are neither leaving nor suspected.
  double Capacity() const;
  // Describes the routing state for operators, one line per endpoint.
  std::string Explain(kernel::Time now) const;
  // Whether calls can be sent to the endpoint: it is in the subset.
  bool IsInSubset(std::string_view instance) const {
    const std::optional<Slot> slot = Find(instance);
    return slot && m_tracked[*slot].in_subset;
  }
  const SubsetSettings& Subset() const { return m_settings.subset; }
  // Returns the number of tracked endpoints: those of the subset, and removed
  // ones that still have calls in flight.
  std::size_t TrackedEndpointCount() const { return m_slots.size(); }

 private:
  struct Tracked {
    Endpoint endpoint;
    bool in_subset = false;
    LatencyEstimate latency;
    kernel::Time refusing_until{};
    Refusal refusal = Refusal::kOther;
  };
  // Whether an endpoint may take a call, in order of preference. Only the
  // endpoints with the most preferred value that any endpoint has become
  // candidates.
  enum class Eligibility { kEligible, kEjected, kSuspected, kIneligible };

  Slot Track(const Endpoint& endpoint);
  void Untrack(Slot slot);
  void UpdateTracked(kernel::Time now, Slot slot, const Endpoint& endpoint);
  void UntrackIdleOutsideSubset();
  std::optional<Slot> Find(std::string_view instance) const;
  // Finds an endpoint if `run` is its current run.
  std::optional<Slot> FindRun(const EndpointRun& run) const;
  // Ends an attempt. Returns its endpoint if it is still tracked.
  std::optional<Slot> EndAttempt(kernel::Time now, const EndpointRun& run);

  Eligibility EligibilityOf(kernel::Time now,
                            Slot slot,
                            const RouteRequest& request) const;
  // Updates the mean latency over the endpoints of the subset.
  void RefreshMeanLatency();
  void CollectCandidates(kernel::Time now, const RouteRequest& request);
  Candidate MakeCandidate(kernel::Time now, Slot slot, const CallView& call);
  // Whether the policy gets predictions for this call.
  bool Predicts(const CallView& call) const;
  void AddPrediction(kernel::Time now,
                     Slot slot,
                     const CallView& call,
                     Candidate& candidate) const;
  bool HasFreeCapacity(kernel::Time now, Slot slot, double places_share) const;
  // Returns a route without an instance, with the reason.
  Route MakeNoRoute(kernel::Time now, const RouteRequest& request) const;
  std::string ExplainEndpoint(kernel::Time now, Slot slot) const;

  RouterSettings m_settings;
  kernel::Random m_random;
  std::unique_ptr<Policy> m_policy;
  LoadView m_loads;
  WorkView m_work;
  std::optional<EngineFigures> m_engine;
  Ejection m_ejection;
  PrefixIndex m_prefixes;
  std::vector<Tracked> m_tracked;  // By slot.
  std::map<std::string, Slot, std::less<>> m_slots;
  std::vector<Slot> m_free_slots;
  std::vector<Slot> m_subset;  // Nearest first.
  std::size_t m_known_endpoint_count = 0;
  double m_mean_latency_seconds = 0;
  std::vector<Candidate> m_candidates;  // For the call being routed.
};

}  // namespace radishrudder::routing

#endif  // RADISHRUDDER_ROUTING_ROUTER_H_
