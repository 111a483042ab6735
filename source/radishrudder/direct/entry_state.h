#ifndef SOURCE_RADISHRUDDER_DIRECT_ENTRY_STATE_H_
#define SOURCE_RADISHRUDDER_DIRECT_ENTRY_STATE_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "radishrudder/admission/service_admission.h"
#include "radishrudder/direct/configuration_age.h"
#include "radishrudder/direct/entry.h"
#include "radishrudder/direct/event_splitter.h"
#include "radishrudder/routing/call_cost.h"
#include "radishrudder/routing/demand_shares.h"
#include "source/radishrudder/direct/service_pool.h"

namespace radishrudder::direct {

// The attempt in progress of a call.
struct CurrentAttempt {
  std::string endpoint{};
  std::uint64_t incarnation = 0;
  bool sent = false;                // Bytes may have been sent.
  std::uint64_t model_version = 0;  // Of the endpoint when it was selected.
  kernel::Time started{};
  kernel::Time sent_at{};
  kernel::Duration first_byte{};
  // Start of the attempt, or arrival of the last complete event.
  kernel::Time last_progress{};
  std::optional<EndpointResponse> response{};
  std::string body{};  // Buffered until the response is complete.
  bool event_received = false;
  // Events of the call that were passed on before this attempt.
  std::uint64_t earlier_events = 0;
  CallId call = 0;
  // The answer got so far that its request does not crash endpoints.
  bool harmless = false;
  // The endpoint had to wait for the caller, and may have ended the answer for
  // that reason.
  bool waited_for_caller = false;
};

// A caller's request whose response is not complete yet.
struct Call {
  CallId id = 0;
  std::shared_ptr<const CallerRequest> request{};
  RouteRule route{};
  std::string service{};
  std::string workspace{};
  // Regions that the workspace allows, by the last configuration that has it;
  // those of the route are in `route`.
  std::vector<std::string> workspace_regions{};
  // Among the calls of all routes and workspaces; 0 is the most urgent.
  std::uint32_t rank = 0;
  routing::CallCost cost{};
  bool waiting = false;  // For a place at an endpoint.
  kernel::Duration waited{};
  kernel::Time deadline{};
  std::chrono::milliseconds configuration_age{0};
  std::uint32_t attempts = 0;  // Attempts of which bytes may have been sent.
  // Number of endpoints that could not be connected to.
  std::uint32_t failed_connections = 0;
  bool may_have_run = false;  // In an attempt that has ended.
  std::vector<std::string> excluded{};
  std::optional<CurrentAttempt> attempt{};
  // The head of the response was sent to the caller.
  bool response_started = false;
  // The endpoint has to wait until the caller has read more of the response.
  bool caller_behind = false;
  EventSplitter events{};
  // Weights version of the response that was started.
  std::optional<std::uint64_t> version{};
  std::string detail{};
  std::string digest{};  // Computed when it is needed first; empty before.
};

// The newest configuration that another entry uses.
struct PeerConfiguration {
  std::uint64_t version = 0;
  kernel::Time in_force_since{};
  kernel::Time told_at{};
  // Updated with each tick.
  bool supersedes = false;
};

struct Entry::State {
  State(EntrySettings initial_settings, kernel::Random random);

  // Responds to a request that is not admitted.
  void Refuse(kernel::Time now,
              const CallerRequest& request,
              CallId id,
              int status,
              Reason reason);
  void End(kernel::Time now, Call& call, int status, Reason reason);
  // Ends a call that no further attempt can serve, with an error response or,
  // if its response has started, by aborting it.
  void FailCall(kernel::Time now,
                Call& call,
                Reason reason,
                kernel::Duration available_after = {});

  void StartAttempt(kernel::Time now, Call& call, bool require_free_capacity);
  // Selects an endpoint and sends the call there; the reason why not otherwise.
  // `taken`: further endpoints that it may not use.
  SelectedEndpoint TryPlace(kernel::Time now,
                            Call& call,
                            bool require_free_capacity,
                            std::span<const std::string> taken = {});
  // The call found no endpoint. Returns whether it waits for one.
  bool TryWait(kernel::Time now, Call& call);
  // Sends waiting calls for which there is a place now.
  void ServeWaiting(kernel::Time now, const std::string& service);
  void RefuseExpiredWaiting(kernel::Time now);
  admission::ServiceAdmission& Admission(const std::string& service) {
    return admissions[service];
  }
  routing::CallFeatures FeaturesOf(const Call& call) const;
  routing::CallView ViewOf(kernel::Time now, const Call& call) const;
  // Learns from the length of the answer of an attempt.
  void LearnCost(const Call& call, bool complete);
  void UpdateRanks();
  std::uint32_t RankOf(const RouteRule& route,
                       const WorkspaceRule* workspace) const;
  // Whether the service's calls have different priorities.
  bool RanksDiffer(std::string_view service) const;
  // An attempt ended without a complete response of the endpoint.
  void HandleRefusal(kernel::Time now, Call& call, routing::Refusal refusal);
  void HandleFailure(kernel::Time now, Call& call, Reason reason);
  // Tells the pool that the attempt failed. An endpoint that had to wait for
  // the caller is not to blame.
  void ReportFailure(kernel::Time now, const Call& call);
  // Bytes of one answer that may be held, at most `maximum`.
  std::size_t AnswerLimit(std::size_t maximum) const;
  // Returns whether the call may have another attempt and takes that attempt
  // from the retry budget. Only called when another attempt is wanted.
  bool TryReserveRetry(kernel::Time now, Call& call);
  // Of a call without an attempt in progress: whether it has not run, and the
  // process may end before it would.
  bool MayOutliveProcess(const Call& call) const;
  // Whether the remaining time is too short for another attempt.
  bool HasTooLittleTime(kernel::Time now, const Call& call) const;
  void HandleStreamData(kernel::Time now, Call& call, std::string_view data);
  void CheckTimeouts(kernel::Time now, Call& call);
  // Notes that the endpoint's answer shows the request to be harmless.
  void ClearSuspicion(kernel::Time now, Call& call);
  // An attempt ended without an answer, as it does when its endpoint crashes.
  void NoteBroken(kernel::Time now, Call& call);
  // Why a call may not be tried at an endpoint at present; kNone: it may.
  Reason BlockReason(kernel::Time now, Call& call);
  // Ends the calls that have a signature which was blocked meanwhile.
  void StopBlockedCalls(kernel::Time now);
  template <typename HasSignature>
  void StopCallsWith(kernel::Time now,
                     Reason reason,
                     HasSignature has_signature);
  // Whether an attempt is still queued and could start on a superseded version.
  bool UsesOutdatedVersion(kernel::Time now, const Call& call);
  // Cancels an attempt without a response and starts another one if allowed.
  void WithdrawAttempt(kernel::Time now, Call& call, Reason reason);
  bool IsStream(const Call& call) const;
  // Like `TryReserveRetry`, after the endpoint responded with `status`.
  bool TryReserveRetryAfterError(kernel::Time now, Call& call, int status);

  // Whether no newer configuration may exist: neither since the last answer of
  // the store, nor by what other entries use.
  bool IsFresh(kernel::BootTime boot_now,
               std::chrono::milliseconds maximum_age) const;
  std::string ChooseService(const RouteRule& route);
  // The data centres that may take a call; nothing: all.
  std::optional<std::vector<std::string>> AllowedDataCentresOf(
      const Call& call) const;
  // Calls in progress use the lists of a new configuration. One whose route or
  // workspace is gone keeps the last lists rather than losing its limits.
  void UpdateAllowedRegions();
  void NoteNoAllowedRegion(const Call& call);
  void ApplyEvacuations(kernel::Time now,
                        std::span<const EvacuationChange> changes);
  static EndpointLimits MakeColdRates(std::string entry);
  void TickColdRates(kernel::Time now);
  void NoteColdChanges(kernel::Time now);
  ServicePool& Pool(std::string_view service);
  void ApplyConfiguration(kernel::Time now);
  void RequireVersions(kernel::Time now);
  void ComparePeerConfiguration(kernel::Time now);
  // Whether requests that need no key are still served when the configuration
  // is older than keys may be: not if it is known to be outdated, nor if it
  // says in which regions requests may be served, which may have changed.
  bool MayServeByOldConfiguration() const;
  void UpdatePools(kernel::Time now);
  Call* FindCall(CallId id);
  // Identifies an endpoint run in evidence of crashes.
  std::string RunName(const CurrentAttempt& attempt) const {
    return attempt.endpoint + "/" + std::to_string(attempt.incarnation);
  }
  routing::EndpointRun RunOf(const CurrentAttempt& attempt) const {
    return {attempt.endpoint, attempt.incarnation, attempt.call};
  }
  const std::string& DigestOf(Call& call);
  void Emit(Output output) { outputs.push_back(std::move(output)); }
  static CallRecord MakeRecord(kernel::Time now, const Call& call);
  void RecordOutcome(kernel::Time now,
                     Call& call,
                     CallRecord::Kind kind,
                     int status,
                     Reason reason);
  void RecordCallerLeft(kernel::Time now, const Call& call);
  // `available_after`: time until an endpoint is expected to take calls.
  std::chrono::milliseconds RetryAfter(Reason reason,
                                       kernel::Duration available_after = {});
  // Takes note of what the endpoint says of itself in any response.
  void NoteState(kernel::Time now,
                 Call& call,
                 const EndpointResponse& response);

  struct DeclaredVersion {
    std::uint64_t version = 0;
    kernel::Time required_at{};
  };

  EntrySettings settings;
  kernel::Random random;
  ConfigurationTable configurations;
  ConfigurationAge age;
  kernel::Time configured_at{};  // Of the current configuration.
  PeerConfiguration peer_configuration;
  bool newest_configuration_readable = true;
  CrashSuspects<PromptPartSignature> suspect_parts;
  CrashSuspects<RequestSignature> suspect_requests;
  routing::DemandShares demand;
  // The pools use the next three, which outlive them.
  EndpointLimits limits;
  EndpointLimits cold_rates;
  Evacuations evacuations;
  std::size_t entry_count = 1;  // As told last.
  std::optional<kernel::Time> first_tick;
  // Routes and workspaces without a common region that were logged, in the
  // configuration of `logged_configuration`.
  std::set<std::pair<std::string, std::string>> logged_without_region;
  std::uint64_t logged_configuration = 0;
  bool endpoints_known = false;
  // Set while draining: a call must not be sent to an endpoint if its time
  // limit expires later.
  std::optional<kernel::Time> serves_until;
  bool waiting_stopped = false;  // No call may wait any more.
  // Services that had no place for a call since stalled callers were looked at.
  std::set<std::string, std::less<>> services_without_place;
  std::vector<ListedEndpoint> endpoints;
  std::map<std::string, std::unique_ptr<ServicePool>, std::less<>> pools;
  // By model, the latest declared versions, oldest first.
  std::map<std::string, std::vector<DeclaredVersion>, std::less<>> declared;
  routing::CallCosts costs;
  // Distinct priorities of the configuration, the most urgent first.
  std::vector<std::uint32_t> route_priorities;
  std::vector<std::uint32_t> workspace_priorities;
  // By service; only of those that place calls by cost.
  std::map<std::string, admission::ServiceAdmission, std::less<>> admissions;
  std::map<CallId, Call> calls;
  std::vector<CallId> ended;  // Erased after the input is processed.
  std::vector<Output> outputs;
};

}  // namespace radishrudder::direct

#endif  // SOURCE_RADISHRUDDER_DIRECT_ENTRY_STATE_H_
