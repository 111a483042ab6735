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

// One admitted attempt, waiting for the endpoint or running there.
struct GateCall {
  AttemptKey attempt;
  wire::StartAttempt start;  // Emptied once the endpoint has it.
  kernel::Time deadline{};
  bool idempotent = false;
  bool running = false;
  bool ended = false;  // The entry has been told the end.
  bool head_sent = false;
  bool mixed = false;  // The endpoint changed its weights meanwhile.
  std::uint64_t parts = 0;
  std::string key;     // Set if the call runs once by its key.
  std::string digest;  // What the endpoint ran when the call was sent to it.
};

// Result of an attempt, as the entry is told.
struct GateEnd {
  wire::Outcome outcome = wire::OUTCOME_UNKNOWN;
  wire::RefusalReason reason = wire::REFUSAL_UNSPECIFIED;
  std::chrono::milliseconds retry_after{0};
};

// The state of an agent's gate and its transitions.
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
  void OnEndpointEnd(kernel::Time now, EndpointCallId id, EndpointEnd end);
  void OnPeerLost(kernel::Time now, const wire::ProcessKey& peer);
  void OnDrain(kernel::Time now);
  void OnTick(kernel::Time now);
  kernel::Time NextTick() const;
  std::vector<GateOutput> TakeOutputs() { return std::exchange(m_outputs, {}); }

  std::size_t CallsInProgress() const { return m_running; }
  std::size_t CallsWaiting() const { return m_queue.Size(); }

 private:
  static constexpr kernel::Duration kMemoryOfReplay = std::chrono::minutes(10);

  // gate_keys.cc: calls that run once by key.
  void OnIssueKey(kernel::Time now,
                  const wire::Envelope& message,
                  const wire::IssueKey& request);
  // Answers a call by what its key proves; returns false if it may run.
  bool AnswerByKey(kernel::Time now, const wire::StartAttempt& start);
  bool AnswerByLedger(kernel::Time now, const wire::StartAttempt& start);
  void Replay(kernel::Time now, const wire::StartAttempt& start);
  // Notes that the call of an accepted key will never run.
  void RefuseByKey(const wire::StartAttempt& start);
  void SendUnknown(const AttemptKey& attempt, wire::RefusalReason reason);

  // gate_state.cc: admission and the life of an attempt.
  // Notices that the process was paused: it may have missed that it leaves, so
  // nothing new starts until the inputs of the meantime have come in.
  void OnInput(kernel::Time now);
  void OnStart(kernel::Time now, const wire::StartAttempt& start);
  void OnCancel(kernel::Time now, const wire::CancelAttempt& cancel);
  // Answers an attempt that was seen before; returns whether it was.
  bool AnswerSeen(const AttemptKey& attempt);
  // Says why an attempt can't be taken now; unspecified if it can.
  wire::RefusalReason WhyNot(const wire::StartAttempt& start) const;
  void Admit(kernel::Time now, const wire::StartAttempt& start);
  void StartWaiting(kernel::Time now);
  void StartAtEndpoint(kernel::Time now, EndpointCallId id);
  // Refuses for ever: the attempt has not run and will not.
  void Refuse(kernel::Time now,
              const AttemptKey& attempt,
              wire::RefusalReason reason);
  // Refuses a call that waits.
  void RefuseWaiting(kernel::Time now,
                     EndpointCallId id,
                     wire::RefusalReason reason);
  void RefuseAllWaiting(kernel::Time now, wire::RefusalReason reason);
  // Ends answers that another version of the weights began.
  void EndCallsOfOtherDigests(std::string_view digest);
  void CancelAtEndpoint(EndpointCallId id);
  void Remove(EndpointCallId id);

  // gate_answers.cc: what goes back to the entry.
  void SendHead(const AttemptKey& attempt,
                std::uint32_t status,
                const std::vector<Header>& headers,
                std::string_view manifest_digest);
  void SendPart(const AttemptKey& attempt,
                std::uint64_t sequence,
                std::string_view data);
  void SendEnd(const AttemptKey& attempt, GateEnd end, std::uint64_t parts);
  void EndCall(GateCall& call, GateEnd end);
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
  kernel::Time m_hold_until;
  AttemptMemory m_memory;
  kernel::Time m_expired;  // When old attempts and keys were last forgotten.
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
