#ifndef RADISHRUDDER_CALLS_GATE_STATE_H_
#define RADISHRUDDER_CALLS_GATE_STATE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "radishrudder/calls/agent_gate.h"
#include "radishrudder/calls/attempt_key.h"
#include "radishrudder/calls/attempt_memory.h"
#include "radishrudder/calls/fair_queue.h"
#include "radishrudder/calls/key_ledger.h"

namespace radishrudder::calls {

// One admitted attempt, queued or running at the endpoint.
struct GateCall {
  AttemptKey attempt;
  wire::StartAttempt start;  // Cleared once the call is sent to the endpoint.
  kernel::Time deadline{};
  bool idempotent = false;
  bool running = false;
  bool ended = false;  // The end has been sent to the entry.
  bool head_sent = false;
  bool version_changed =
      false;                // The endpoint changed its weights while it ran.
  std::uint64_t parts = 0;  // Parts sent to the entry.
  std::string key;          // Idempotency key; empty for none.
  std::string digest;       // Digest that the endpoint ran at the start.
};

// Result of an attempt, as sent to the entry.
struct AttemptOutcome {
  wire::Outcome outcome = wire::OUTCOME_UNKNOWN;
  wire::RefusalReason reason = wire::REFUSAL_UNSPECIFIED;
  std::chrono::milliseconds retry_after{0};
};

// State and transitions of `AgentGate`.
class GateState {
 public:
  GateState(GateSettings settings, kernel::Random random)
      : m_settings(std::move(settings)),
        m_random(random),
        m_queue(m_settings.maximum_waiting),
        m_ledger(m_settings.maximum_recorded_bytes) {}

  void OnDocument(kernel::Time now, const document::ServiceDocument& document);
  void OnEndpointState(kernel::Time now, std::string running_digest, bool open);
  void OnMessage(kernel::Time now, const wire::Envelope& message);
  void OnEndpointHead(kernel::Time now,
                      EndpointCallId id,
                      std::uint32_t status,
                      std::vector<Header> headers,
                      std::string manifest_digest);
  void OnEndpointData(kernel::Time now,
                      EndpointCallId id,
                      std::string_view data);
  void OnEndpointCallEnded(kernel::Time now,
                           EndpointCallId id,
                           EndpointCallResult result);
  void OnPeerDisconnected(kernel::Time now, const wire::ProcessKey& peer);
  void OnDrain(kernel::Time now);
  void OnTick(kernel::Time now);
  kernel::Time NextTick() const;
  std::vector<GateOutput> TakeOutputs() { return std::exchange(m_outputs, {}); }

  std::size_t CallsInProgress() const { return m_running; }
  std::size_t CallsWaiting() const { return m_queue.Size(); }

 private:
  static constexpr kernel::Duration kReplayedAttemptRetention =
      std::chrono::minutes(10);

  // gate_keys.cc: calls with an idempotency key.
  void OnIssueKey(kernel::Time now,
                  const wire::Envelope& message,
                  const wire::IssueKey& request);
  // Answers a call if its key is invalid or known; returns false if the call
  // may run.
  bool AnswerFromKey(kernel::Time now, const wire::StartAttempt& start);
  bool AnswerFromLedger(kernel::Time now, const wire::StartAttempt& start);
  void SendRecordedAnswer(kernel::Time now, const wire::StartAttempt& start);
  // Records in the ledger that the call of a valid key will never run.
  void RecordKeyRefusal(const wire::StartAttempt& start);
  void SendUnknownOutcome(const AttemptKey& attempt,
                          wire::RefusalReason reason);

  // gate_state.cc: admission and the life cycle of an attempt.
  // Detects that the process was paused, from the time since the last input.
  // The gate may have missed a drain meanwhile, so no call starts until the
  // inputs that arrived during the pause have been processed.
  void DetectPause(kernel::Time now);
  void OnStart(kernel::Time now, const wire::StartAttempt& start);
  void OnCancel(kernel::Time now, const wire::CancelAttempt& cancel);
  // Answers an attempt that was received before; returns false for a new one.
  bool AnswerKnownAttempt(const AttemptKey& attempt);
  // Returns why an attempt can't be accepted now; unspecified if it can.
  wire::RefusalReason FindRefusalReason(const wire::StartAttempt& start) const;
  void Admit(kernel::Time now, const wire::StartAttempt& start);
  void StartQueuedCalls(kernel::Time now);
  void StartAtEndpoint(kernel::Time now, EndpointCallId id);
  // Refuses an attempt permanently: it has not run and never will.
  void Refuse(kernel::Time now,
              const AttemptKey& attempt,
              wire::RefusalReason reason);
  // Refuses a call that was admitted but has not started.
  void RefuseQueuedCall(kernel::Time now,
                        EndpointCallId id,
                        wire::RefusalReason reason);
  void RefuseAllQueuedCalls(kernel::Time now, wire::RefusalReason reason);
  // Ends running calls that started with another version of the weights.
  void EndCallsOfOtherDigests(std::string_view digest);
  void CancelAtEndpoint(EndpointCallId id);
  void Remove(EndpointCallId id);

  // gate_answers.cc: messages to the entry.
  void SendHead(const AttemptKey& attempt,
                std::uint32_t status,
                const std::vector<Header>& headers,
                std::string_view manifest_digest);
  void SendPart(const AttemptKey& attempt,
                std::uint64_t sequence,
                std::string_view data);
  void SendEnd(const AttemptKey& attempt,
               AttemptOutcome end,
               std::uint64_t parts);
  void EndCall(GateCall& call, AttemptOutcome end);
  wire::Envelope& AddReply(const AttemptKey& attempt);
  wire::EndpointLoad Load() const;

  GateSettings m_settings;
  kernel::Random m_random;
  std::uint32_t m_concurrency = 8;
  std::string m_running_digest;
  std::chrono::milliseconds m_timeout{60'000};
  bool m_open = false;
  bool m_draining = false;
  kernel::Time m_last_input;
  kernel::Time m_starts_delayed_until;
  AttemptMemory m_attempt_memory;
  kernel::Time
      m_last_expiry;  // When expired attempts and keys were last removed.
  FairQueue m_queue;
  KeyLedger m_ledger;
  std::size_t m_running = 0;
  EndpointCallId m_last_call = 0;
  std::map<EndpointCallId, GateCall> m_calls;
  std::map<AttemptKey, EndpointCallId> m_by_attempt;
  std::set<std::pair<kernel::Time, EndpointCallId>> m_deadlines;
  std::vector<GateOutput> m_outputs;
};

}  // namespace radishrudder::calls

#endif  // RADISHRUDDER_CALLS_GATE_STATE_H_
