#ifndef RADISHRUDDER_CALLS_ENTRY_STATE_H_
#define RADISHRUDDER_CALLS_ENTRY_STATE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "radishrudder/calls/answer_assembler.h"
#include "radishrudder/calls/endpoint_set.h"
#include "radishrudder/calls/entry_core.h"
#include "radishrudder/calls/fair_queue.h"
#include "radishrudder/calls/retry_budget.h"
#include "radishrudder/calls/route_table.h"

namespace radishrudder::calls {

// State of one service in an entry.
struct EntryService {
  EntryService(routing::RouterSettings settings, kernel::Random random)
      : endpoints(std::move(settings), random) {}

  document::ServiceDocument document;
  RouteTable routes;
  FairQueue queue{0};
  RetryBudget budget{0};
  EndpointSet endpoints;
};

// One call, from its arrival to its last output.
struct EntryCall {
  CallRequest request;
  kernel::Time deadline{};
  bool idempotent = false;
  bool waiting = false;       // In the queue of its service.
  bool may_have_run = false;  // An earlier attempt ended as unknown.
  bool answer_started = false;
  // Set for a call with an issued key: the call is sent only to the run of the
  // agent that issued the key, and only that run can report it as not run.
  std::optional<wire::ProcessKey> issuing_agent;
  // Number of the pending key request of this call; 0 for none.
  std::uint64_t key_request_id = 0;
  // Whether the caller requested a key. If not, a call that waits for a key
  // fails, and the failure contains the key.
  bool is_key_request = false;
  std::set<std::uint64_t> attempts;  // In progress.
  std::set<wire::ProcessKey> excluded;
};

// One attempt in progress.
struct EntryAttempt {
  CallId call = 0;
  std::string service{};
  wire::ProcessKey agent{};
  AnswerAssembler answer;
  kernel::Time started{};
  kernel::Time first_byte{};
};

// How an attempt or a call ended without a complete answer.
struct Failure {
  wire::Outcome outcome = wire::OUTCOME_UNKNOWN;
  wire::RefusalReason reason = wire::REFUSAL_UNSPECIFIED;
  std::chrono::milliseconds retry_after{0};
  std::string detail{};
  std::string issued_key{};
};

// A request to an agent for a new key.
struct KeyRequest {
  CallId call = 0;
  wire::ProcessKey agent{};
};

// State and transitions of `EntryCore`.
class EntryState {
 public:
  EntryState(EntrySettings settings, kernel::Random random)
      : m_settings(std::move(settings)), m_random(random) {
    if (m_settings.sequences == nullptr) {
      m_settings.sequences = std::make_shared<std::atomic<std::uint64_t>>(0);
    }
  }

  void OnDocument(kernel::Time now, const document::ServiceDocument& document);
  void OnDocumentDeleted(kernel::Time now, std::string_view service);
  void OnEndpoints(kernel::Time now,
                   std::string_view service,
                   std::vector<EndpointView> endpoints);
  void OnCall(kernel::Time now, CallId id, CallRequest request);
  void OnCallerDisconnected(kernel::Time now, CallId id);
  void OnMessage(kernel::Time now, const wire::Envelope& message);
  void OnSendFailed(kernel::Time now, const wire::Envelope& message);
  void OnPeerDisconnected(kernel::Time now, const wire::ProcessKey& peer);
  void OnDrain() { m_draining = true; }
  void EndCalls(kernel::Time now);
  void OnTick(kernel::Time now);
  // Returns when `OnTick` is due next; `Time::max()` for never.
  kernel::Time NextTick() const;
  std::vector<EntryOutput> TakeOutputs() {
    return std::exchange(m_outputs, {});
  }

  std::size_t CallsInProgress() const { return m_calls.size(); }
  std::size_t CallsWaiting() const;
  std::string Explain(std::string_view service) const;

 private:
  using Attempts = std::map<std::uint64_t, EntryAttempt>;
  using Calls = std::map<CallId, EntryCall>;
  static constexpr kernel::Duration kAvoidanceAfterSendFailure =
      std::chrono::seconds(1);
  // A dispatch stops once more calls than this have found no endpoint with free
  // capacity.
  static constexpr std::size_t kMaximumUnplacedCalls = 4;

  // entry_state.cc: admission and the life cycle of a call.
  // Returns the next sequence of this shard, from the counter that all shards
  // share.
  std::uint64_t NextSequence();
  EntryService* FindService(std::string_view name);
  // Refuses a call that was not admitted.
  void Refuse(kernel::Time now, CallId id, Failure failure);
  void Admit(kernel::Time now, CallId id, EntryService& service);
  void Dispatch(kernel::Time now, EntryService& service);
  // Sends a call taken from the queue to an endpoint, or fails it; returns
  // false if the call must wait.
  bool TryDispatch(kernel::Time now, EntryService& service, CallId id);
  void ExpireCall(kernel::Time now, CallId id);
  void Fail(kernel::Time now, CallId id, Failure failure);
  // Removes a call and cancels its remaining attempts, which end as `ending`.
  void RemoveCall(kernel::Time now, CallId id, AttemptEnding ending);

  // entry_keys.cc: idempotency keys.
  // Handles key requests and non-idempotent calls with a key; returns false for
  // any other call.
  bool AdmitByKey(kernel::Time now, CallId id, EntryService& service);
  void SendToIssuingAgent(kernel::Time now, CallId id, EntryService& service);
  void RequestKey(kernel::Time now, CallId id, EntryService& service);
  void OnIssuedKey(kernel::Time now,
                   const wire::ProcessKey& from,
                   const wire::IssuedKey& issued);
  void OnKeyRequestSendFailed(kernel::Time now, std::uint64_t request);
  void AnswerWithKey(kernel::Time now, CallId id, const std::string& key);
  // Fails a call for which no key was issued.
  void FailWithoutKey(kernel::Time now, CallId id);

  // entry_attempts.cc: the life cycle of an attempt.
  void StartAttempt(kernel::Time now,
                    CallId id,
                    EntryCall& call,
                    EntryService& service,
                    const wire::ProcessKey& agent);
  Attempts::iterator FindAttempt(const wire::Envelope& message,
                                 const wire::AttemptId& id);
  void ProcessAnswer(kernel::Time now, Attempts::iterator attempt);
  // Emits the parts of the answer that are now in order.
  void ForwardAnswer(kernel::Time now, Attempts::iterator attempt);
  void EndAttempt(kernel::Time now,
                  Attempts::iterator attempt,
                  const Failure& failure);
  // Removes an attempt; later messages of it are ignored.
  void RemoveAttempt(kernel::Time now,
                     Attempts::iterator attempt,
                     AttemptResult result);
  void CancelAttempt(kernel::Time now,
                     Attempts::iterator attempt,
                     AttemptEnding ending);
  // Marks the endpoint as closed if its state is the reason of the refusal.
  void RecordRefusal(kernel::Time now,
                     const EntryAttempt& attempt,
                     const Failure& failure);
  // Returns whether the call may be retried; if so, takes a token of the retry
  // budget.
  bool TryAcquireRetry(kernel::Time now,
                       EntryCall& call,
                       EntryService& service,
                       const Failure& failure);

  EntrySettings m_settings;
  kernel::Random m_random;
  bool m_draining = false;
  std::map<std::string, EntryService, std::less<>> m_services;
  kernel::Time m_last_dispatch;
  Calls m_calls;
  Attempts m_attempts;
  std::map<std::uint64_t, KeyRequest> m_key_requests;
  std::set<std::pair<kernel::Time, CallId>> m_deadlines;
  std::vector<EntryOutput> m_outputs;
};

}  // namespace radishrudder::calls

#endif  // RADISHRUDDER_CALLS_ENTRY_STATE_H_
