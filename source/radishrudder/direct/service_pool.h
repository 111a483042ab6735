#ifndef SOURCE_RADISHRUDDER_DIRECT_SERVICE_POOL_H_
#define SOURCE_RADISHRUDDER_DIRECT_SERVICE_POOL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "radishrudder/calls/retry_budget.h"
#include "radishrudder/direct/call.h"
#include "radishrudder/direct/configuration.h"
#include "radishrudder/direct/endpoint_list.h"
#include "radishrudder/direct/entry.h"
#include "radishrudder/direct/evacuations.h"
#include "radishrudder/kernel/random.h"
#include "radishrudder/routing/router.h"
#include "source/radishrudder/direct/cold_endpoints.h"
#include "source/radishrudder/direct/endpoint_pauses.h"
#include "source/radishrudder/direct/reported_states.h"

namespace radishrudder::direct {

// The endpoint selected for an attempt, or the reason why there is none.
struct SelectedEndpoint {
  std::string id{};  // Empty: none.
  std::string address{};
  std::uint64_t incarnation = 0;
  std::uint64_t model_version = 0;
  routing::NoRoute reason = routing::NoRoute::kNone;
  // Set if all endpoints want no requests from this entry at present: time
  // until the first of them takes one again.
  std::optional<kernel::Duration> available_after{};
};

// What an attempt requires of its endpoint.
struct EndpointRequirements {
  std::span<const std::string> excluded{};
  std::optional<std::uint64_t> version{};  // Only endpoints with this version.
  bool require_free_capacity = true;
  // Part of the service's capacity that this entry may use even if its
  // endpoints appear to be full.
  double capacity_share = 0;
  // Part of each endpoint's places that the call may fill.
  double places_share = 1;
  routing::CallView call{};
  // Data centres whose endpoints may be used; nothing: all.
  std::optional<std::span<const std::string>> data_centres{};
};

// What an entry knows of all endpoints, whatever their service.
struct EndpointKnowledge {
  EndpointLimits& limits;
  EndpointLimits& cold_rates;  // Those of cold endpoints.
  const Evacuations& evacuations;
};

// The endpoints of one service, as seen by this entry.
class ServicePool {
 public:
  // What `knowledge` refers to must outlive the pool.
  ServicePool(const EntrySettings& settings,
              const EndpointKnowledge& knowledge,
              kernel::Random random);

  // `ranks_differ`: the calls of the service have different priorities.
  void Configure(const ServiceRule& rule, bool ranks_differ);
  // Whether calls are placed by their cost and wait for a place: the service
  // has calls of different priorities, or its endpoints state their pace.
  bool PlacesByCost() const { return m_ranks_differ || m_pace_stated; }
  bool RanksDiffer() const { return m_ranks_differ; }
  // The endpoints of which load reports are of use: those that the router
  // considers, and those of its subset that only take no calls at present, so
  // that a report can say when they do again.
  std::vector<ReportedEndpoint> ReportingEndpoints() const;
  // Whether some calls may use only the endpoints of some data centres. Applies
  // from the next list on.
  void LimitDataCentres(bool limited);
  // Replaces the list of the service's endpoints.
  void Update(kernel::Time now, std::span<const ListedEndpoint> endpoints);
  // Endpoints with an older version of the model get no further calls.
  void RequireVersion(kernel::Time now, std::uint64_t version);
  std::uint64_t RequiredVersion() const { return m_required_version; }
  // When the required version was last raised.
  kernel::Time RequiredSince() const { return m_required_since; }

  SelectedEndpoint SelectEndpoint(kernel::Time now,
                                  const EndpointRequirements& requirements);
  // An endpoint reported its current load.
  void OnLoad(kernel::Time now,
              std::string_view id,
              const routing::LoadReport& load);
  void OnSent(kernel::Time now,
              const routing::EndpointRun& run,
              const routing::CallView& call);
  void OnProgress(const routing::EndpointRun& run, std::uint32_t events) {
    m_router.OnProgress(run, events);
  }
  // An agent reported the load of its endpoint.
  void OnLoadReport(kernel::Time now, const EndpointLoadReport& report);
  void OnAnswered(kernel::Time now,
                  const routing::EndpointRun& run,
                  const routing::Answer& answer);
  void OnRefused(kernel::Time now,
                 const routing::EndpointRun& run,
                 routing::Refusal refusal);
  void OnFailed(kernel::Time now, const routing::EndpointRun& run);
  void OnAbandoned(kernel::Time now, const routing::EndpointRun& run);

  // The endpoint wants no requests for a time. Returns the end of that time if
  // it was not known before.
  std::optional<kernel::Time> OnPauseRequested(kernel::Time now,
                                               const routing::EndpointRun& run,
                                               kernel::Duration pause);
  // The endpoint said that it leaves. Returns whether that is new.
  bool OnLeaving(kernel::Time now, const routing::EndpointRun& run);
  // The endpoint answered without asking for a pause.
  void OnResponded(kernel::Time now, const routing::EndpointRun& run);
  // The endpoint said in an answer how long it stays cold.
  void OnColdTime(kernel::Time now,
                  const routing::EndpointRun& run,
                  kernel::Duration cold_time);
  // Whether an attempt for which the run was selected may still be sent to it.
  bool MaySend(kernel::Time now,
               const routing::EndpointRun& run,
               std::optional<std::span<const std::string>> data_centres) const;
  // The evacuated data centres changed.
  void OnEvacuations(kernel::Time now) { UpdateRouter(now); }
  std::size_t ColdCount() const { return m_cold.Count(); }
  std::vector<ColdChange> TakeColdChanges() { return m_cold.TakeChanges(); }

  // Bytes of a response arrived from an endpoint.
  void OnDataReceived(kernel::Time now, std::string_view id);
  // Excludes endpoints that have attempts in progress and stopped responding,
  // and reinstates those that respond again.
  void OnTick(kernel::Time now);

  calls::RetryBudget& Budget() { return m_budget; }
  const std::optional<EngineRule>& Engine() const { return m_engine; }
  std::size_t Size() const { return m_listed.size(); }
  std::string Explain(kernel::Time now) const { return m_router.Explain(now); }

 private:
  std::uint32_t CapacityOf(std::uint32_t slots) const;
  // Endpoints that want no requests from this entry at present.
  struct Unavailable {
    std::vector<std::string_view> ids{};  // Sorted.
    double capacity = 0;
    // Set if no other endpoint can be used.
    std::optional<kernel::Time> first_available_at{};
  };

  Unavailable FindUnavailable(
      kernel::Time now,
      std::optional<std::span<const std::string>> data_centres) const;
  bool CanBeUsed(const ListedEndpoint& listed) const;
  bool HasLeft(const routing::EndpointRun& run) const;
  // Whether this entry uses less than its share of the capacity in the data
  // centres, without `unavailable_capacity`.
  bool IsBelowShare(const EndpointRequirements& requirements,
                    double unavailable_capacity) const;
  // Whether an endpoint responds to its attempts.
  struct ResponseState {
    std::uint32_t attempts = 0;  // In progress.
    // When data was last received, or the first of the attempts started.
    kernel::Time last_received{};
    // The endpoint stopped responding and has sent nothing since. From
    // `next_probe` on, one call at a time probes it.
    bool unresponsive = false;
    kernel::Time next_probe{};
    std::uint32_t probes = 0;  // Since data was last received.
    bool excluded_from_routing = false;
    std::uint32_t refusals = 0;  // Consecutive.
  };

  static bool IsExcluded(kernel::Time now, const ResponseState& state);

  void OnAttemptEnded(const routing::EndpointRun& run);
  // How long an endpoint that refused a call as overloaded gets none.
  kernel::Duration RefusalBackoff(const routing::EndpointRun& run);
  void UpdatePolicy();
  routing::Endpoint ToRouterEndpoint(const ListedEndpoint& listed) const;
  double DistanceSeconds(std::string_view data_centre) const;
  void UpdateRouter(kernel::Time now);

  const EntrySettings& m_settings;
  EndpointLimits& m_limits;
  const Evacuations& m_evacuations;
  ColdEndpoints m_cold;
  routing::Router m_router;
  calls::RetryBudget m_budget;
  EndpointPauses m_pauses;
  ReportedStates m_reported_states;
  // Versions that agents reported of endpoint runs.
  std::map<std::pair<std::string, std::uint64_t>, std::uint64_t>
      m_reported_versions;
  // Endpoint runs that said in an answer that they leave, whatever is listed,
  // and when they did.
  std::map<std::pair<std::string, std::uint64_t>, kernel::Time> m_leaving;
  std::optional<EngineRule> m_engine;
  bool m_ranks_differ = false;
  bool m_pace_stated = false;
  std::map<std::string, ListedEndpoint, std::less<>> m_listed;
  std::map<std::string, ResponseState, std::less<>> m_response_states;
  std::uint32_t m_attempts = 0;  // In progress at all endpoints.
  double m_capacity = 0;         // Of all endpoints that may be used.
  std::uint64_t m_required_version = 0;
  kernel::Time m_required_since{};
};

}  // namespace radishrudder::direct

#endif  // SOURCE_RADISHRUDDER_DIRECT_SERVICE_POOL_H_
