#ifndef RADISHRUDDER_DIRECT_ENTRY_H_
#define RADISHRUDDER_DIRECT_ENTRY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "radishrudder/direct/call.h"
#include "radishrudder/direct/configuration.h"
#include "radishrudder/direct/crash_suspects.h"
#include "radishrudder/direct/endpoint_limits.h"
#include "radishrudder/direct/endpoint_list.h"
#include "radishrudder/direct/entry_gauges.h"
#include "radishrudder/direct/evacuations.h"
#include "radishrudder/direct/load_report.h"
#include "radishrudder/kernel/boot_time.h"
#include "radishrudder/kernel/random.h"
#include "radishrudder/kernel/time.h"
#include "radishrudder/routing/demand_shares.h"

namespace radishrudder::direct {

struct EntrySettings {
  std::string name{};  // Instance that this entry runs on.
  std::string data_centre{};
  std::string region{};
  // Region of each data centre; determines the distance to endpoints.
  std::map<std::string, std::string, std::less<>> regions{};
  // Requests that need a key are refused if the configuration may be older than
  // this, because keys may have been revoked since.
  std::chrono::milliseconds maximum_configuration_age{3000};
  // An unknown route or key is denied only if the configuration is not older
  // than this, because a newer one may have added it. Otherwise the request is
  // refused as not run, and its caller may return.
  std::chrono::milliseconds maximum_denial_age{1500};
  // Retries that each call adds to the retry budget of its service, and the
  // maximum that the budget holds.
  double retry_budget_ratio = 0.15;
  double maximum_saved_retries = 8;
  // Calls may still start on an older version for this long after the latest
  // time at which the newer one was not declared yet.
  std::chrono::milliseconds version_switch_grace{6500};
  // Grace period after the reading of a declaration of which nothing else is
  // known, because this process has just started.
  std::chrono::milliseconds undated_version_grace{3000};
  // Minimum grace period after the reading of any declaration: peers may tell a
  // later bound within this time.
  std::chrono::milliseconds dating_time{100};
  // Calls that were sent during the grace period and have not started this long
  // after its end are withdrawn: they are queued at an endpoint and would start
  // on the older version.
  std::chrono::milliseconds withdrawal_delay{500};
  CrashSuspectSettings crash_suspects{};
  // Memory for what is held of all answers, in bytes. It is divided between the
  // calls in progress; each may use a minimum in any case.
  std::size_t answer_memory = 64U << 20U;
};

// A declaration of a model version, as read from the store.
struct VersionDeclaration {
  std::string_view model{};
  std::uint64_t version = 0;
  // Latest time at which the store is known not to have contained the
  // declaration. Nothing: it may have been declared at any time.
  std::optional<kernel::Time> absent_at{};
};

// What to do with the head of a response: use it, skip the response because it
// belongs to another request on the same connection, or close the connection.
enum class ResponseVerdict { kAccept, kSkip, kReject };

// Admits, routes and retries the calls of all services whose endpoints are
// called directly, without an agent's gate in between. A state machine without
// sockets, threads or clocks.
class Entry {
 public:
  Entry(EntrySettings settings, kernel::Random random);
  ~Entry();

  // Takes over the limits of new settings. The name and the location of the
  // entry stay as they are.
  void OnSettings(const EntrySettings& settings);
  // Returns whether the configuration is in force; older ones are rejected.
  bool OnConfiguration(kernel::Time now, Configuration configuration);
  // Another entry has been using a configuration since `in_force_since`. While
  // it is newer than this entry's, this entry's is out of date although the
  // store returned it: the store came back from an older copy.
  void OnPeerConfiguration(kernel::Time now,
                           std::uint64_t version,
                           kernel::Time in_force_since);
  // When the current configuration came into force; nothing: there is none.
  std::optional<kernel::Time> ConfigurationInForceSince() const;
  // The store returned its newest configuration, which could be read or not.
  // One that can't be read may take keys away or require them: until another
  // one can be read, the configuration in force is not confirmed any more, and
  // no call is served by it once it is too old.
  void OnNewestConfiguration(bool readable);
  // A response of the store showed that the configuration was current when the
  // request was sent, at `requested_at`.
  void OnConfigurationConfirmed(kernel::BootTime requested_at);
  // A version of a model was declared; calls move to it after the grace period.
  // Returns the end of the grace period, or nothing if the version is not newer
  // than a known one.
  std::optional<kernel::Time> OnVersionDeclared(
      kernel::Time now,
      const VersionDeclaration& declaration);
  // A known version turns out to have been declared after `absent_at`, which is
  // later than known before. Returns the new end of the grace period, or
  // nothing if it does not change.
  std::optional<kernel::Time> OnVersionDated(
      const VersionDeclaration& declaration);
  // What the store says of evacuated data centres: all of it, or a change.
  void OnEvacuations(kernel::Time now,
                     std::span<const EvacuationItem> items,
                     std::uint64_t era);
  void OnEvacuated(kernel::Time now, const EvacuationItem& item);
  void OnEvacuationTakenBack(kernel::Time now, const EvacuationItem& item);
  // The list of endpoints changed; `endpoints` is the complete new list.
  void OnEndpoints(kernel::Time now, std::vector<ListedEndpoint> endpoints);

  void OnRequest(kernel::Time now,
                 kernel::BootTime boot_now,
                 CallId call,
                 std::shared_ptr<const CallerRequest> request);
  // A connection is open and the request is about to be sent. It must not be if
  // the outputs cancel the attempt.
  void OnSending(kernel::Time now, CallId call);
  ResponseVerdict OnResponseHead(kernel::Time now,
                                 CallId call,
                                 EndpointResponse response);
  // The caller reads its answer more slowly than it arrives, so that the
  // endpoint has to wait; or does so no longer.
  void OnCallerBehind(CallId id, bool behind);
  // Bytes of one answer that may be held before it is passed on.
  std::size_t AnswerLimit() const;
  // `stalled`: calls whose callers have read nothing of their answers for a
  // while, so that their endpoints wait. Ends those of services that have had
  // no place for another call since this function was called last.
  void OnCallersStalled(kernel::Time now, std::span<const CallId> stalled);
  // Bytes of a call's answer that the entry holds and has not passed on.
  std::size_t BufferedBytes(CallId id) const;
  void OnResponseBody(kernel::Time now, CallId call, std::string data);
  void OnResponseEnd(kernel::Time now, CallId call);
  void OnAttemptFailed(kernel::Time now, CallId call, AttemptFailure failure);
  void OnCallerDisconnected(kernel::Time now, CallId call);
  // Another entry's evidence of prompt parts that crash endpoints.
  void OnCrashEvidence(kernel::Time now,
                       std::span<const SuspectEvidence> evidence);
  // The evidence that other entries should know, and its revision, which
  // increases with each change.
  std::vector<SuspectEvidence> CrashEvidence(kernel::Time now) const;
  std::uint64_t CrashEvidenceRevision() const;

  // What callers bring to other entries, as one of them knows it, and what this
  // entry knows of it.
  void OnDemands(kernel::Time now, std::span<const routing::Demand> demands);
  std::vector<routing::Demand> Demands(kernel::Time now) const;

  // The limits that endpoints named, as another entry knows them, and what this
  // entry knows of them. The revision increases with each change.
  void OnEndpointLimits(kernel::Time now,
                        std::span<const EndpointLimit> limits);
  // At least this many entries exist, this one included.
  void OnEntryCount(std::size_t count);
  std::vector<EndpointLimit> KnownEndpointLimits() const;
  std::uint64_t EndpointLimitsRevision() const;

  // The endpoints of which agents should report the load: those with an engine,
  // of services in which an endpoint has stated its pace in a response or whose
  // routes differ in priority. Only those that this entry may send calls to:
  // its subset of the service's endpoints.
  std::vector<ReportedEndpoint> ReportingEndpoints() const;
  // Applies reports; those of other runs than the listed ones are ignored.
  void OnLoadReports(kernel::Time now,
                     std::span<const EndpointLoadReport> reports);

  // Applies deadlines and timeouts; must be called every few tens of
  // milliseconds.
  void OnTick(kernel::Time now);

  // Makes `IsReady` return false, so that callers are sent to other instances.
  // Requests that still arrive are served if their time limit expires before
  // `serves_until`. Others might be cut when the process ends, so that they are
  // refused, as are those that have not been sent to an endpoint yet.
  // A later call of this function can only make `serves_until` earlier.
  void OnDrain(kernel::Time now, kernel::Time serves_until);
  // Refuses the calls that wait for a place, and lets no further call wait: the
  // process is about to end, and they have not been executed.
  void StopWaiting(kernel::Time now);
  // Ends all calls, with an error response where none has started: the process
  // ends now.
  void EndCalls(kernel::Time now);
  // Whether new callers should be sent to this instance.
  bool IsReady(kernel::BootTime boot_now) const;
  const ConfigurationTable& Configurations() const;
  std::size_t CallsInProgress() const;
  // Records of the calls in progress, for the log of a process that ends.
  std::vector<CallRecord> UnfinishedCalls(kernel::Time now) const;
  EntryGauges Gauges() const;
  std::vector<Output> TakeOutputs();
  // Describes in words which endpoints calls of a service would go to, and why.
  std::string Explain(kernel::Time now, std::string_view service) const;

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace radishrudder::direct

#endif  // RADISHRUDDER_DIRECT_ENTRY_H_
