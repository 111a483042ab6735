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

// What one entry keeps of one service.
struct EntryService {
  EntryService(routing::RouterSettings settings, kernel::Random random)
      : endpoints(std::move(settings), random) {}

  document::ServiceDocument document;
  RouteTable routes;
  FairQueue queue{0};
  RetryBudget budget{0};
  EndpointSet endpoints;
};

// One call of a caller, from its arrival to its last output.
struct EntryCall {
  CallRequest request;
  kernel::Time deadline{};
  bool idempotent = false;
  bool waiting = false;    // In the queue of its service.
  bool maybe_ran = false;  // An earlier attempt ended as unknown.
  bool answer_begun = false;
  // Set for a key that the system issued: its call goes to that run only, and
  // only that run can say that it has not run.
  std::optional<wire::ProcessKey> bound_to;
  // Number of the request for a key that this call waits for; 0 for none.
  std::uint64_t key_request = 0;
  // Whether the call only asks for a key; otherwise it fails, and the key is
  // offered with the failure.
  bool asks_for_key = false;
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

// How an attempt or a call ended without a whole answer.
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

// The state of an entry core and its transitions.
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
  void OnCallerGone(kernel::Time now, CallId id);
  void OnMessage(kernel::Time now, const wire::Envelope& message);
  void OnSendFailed(kernel::Time now, const wire::Envelope& message);
  void OnPeerLost(kernel::Time now, const wire::ProcessKey& peer);
  void OnDrain() { m_draining = true; }
  void OnTick(kernel::Time now);
  // Returns when `OnTick` is due; `Time::max()` for never.
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
  static constexpr kernel::Duration kAvoidAfterFailure =
      std::chrono::seconds(1);
  // Calls that a dispatch may pass over when no endpoint with room fits them.
  static constexpr std::size_t kMaximumPassedOver = 4;

  // entry_state.cc: admission and the life of a call.
  // Returns the next sequence of this shard, above those of every shard so far.
  std::uint64_t NextSequence();
  EntryService* FindService(std::string_view name);
  // Refuses a call that was not admitted.
  void Refuse(kernel::Time now, CallId id, Failure failure);
  void Admit(kernel::Time now, CallId id, EntryService& service);
  void Dispatch(kernel::Time now, EntryService& service);
  // Places or fails a call taken from the queue; returns false if it must wait.
  bool Place(kernel::Time now, EntryService& service, CallId id);
  void ExpireCall(kernel::Time now, CallId id);
  void Fail(kernel::Time now, CallId id, Failure failure);
  // Ends a call; `ending` is that of the attempts it still has.
  void Forget(kernel::Time now, CallId id, AttemptEnding ending);

  // entry_keys.cc: idempotency keys.
  // Treats a call whose key decides what happens; returns whether it was one.
  bool AdmitByKey(kernel::Time now, CallId id, EntryService& service);
  void SendToBoundAgent(kernel::Time now, CallId id, EntryService& service);
  void RequestKey(kernel::Time now, CallId id, EntryService& service);
  void OnIssuedKey(kernel::Time now,
                   const wire::ProcessKey& from,
                   const wire::IssuedKey& issued);
  void OnKeyRequestUnsent(kernel::Time now, std::uint64_t request);
  void AnswerWithKey(kernel::Time now, CallId id, const std::string& key);
  // Ends a call that waits for a key which does not come.
  void FailWithoutKey(kernel::Time now, CallId id);

  // entry_attempts.cc: the life of an attempt.
  void StartAttempt(kernel::Time now,
                    CallId id,
                    EntryCall& call,
                    EntryService& service,
                    const wire::ProcessKey& agent);
  Attempts::iterator FindAttempt(const wire::Envelope& message,
                                 const wire::AttemptId& id);
  void Advance(kernel::Time now, Attempts::iterator attempt);
  void PassOn(kernel::Time now, Attempts::iterator attempt);
  void EndAttempt(kernel::Time now,
                  Attempts::iterator attempt,
                  const Failure& failure);
  // Stops counting an attempt; its later messages are dropped.
  void DropAttempt(kernel::Time now,
                   Attempts::iterator attempt,
                   AttemptResult result);
  void CancelAttempt(kernel::Time now,
                     Attempts::iterator attempt,
                     AttemptEnding ending);
  void NoteRefusal(kernel::Time now,
                   const EntryAttempt& attempt,
                   const Failure& failure);
  bool MayRetry(kernel::Time now,
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
