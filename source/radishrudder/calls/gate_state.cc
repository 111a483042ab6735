#include "gate_state.h"

#include <algorithm>

#include "radishrudder/calls/idempotency_key.h"

namespace radishrudder::calls {

namespace {

// How long single records of attempts are kept after their deadline.
constexpr kernel::Duration kAttemptRetentionAfterDeadline =
    std::chrono::minutes(1);
constexpr kernel::Duration kRefusedAttemptRetention = std::chrono::minutes(10);
// A longer interval between inputs means that the process was paused, because
// ticks arrive at least every `kTickInterval`.
constexpr kernel::Duration kPauseDetectionThreshold = std::chrono::seconds(1);
constexpr kernel::Duration kTickInterval = std::chrono::milliseconds(500);
constexpr kernel::Duration kStartDelayAfterPause =
    std::chrono::milliseconds(250);
constexpr kernel::Duration kExpiryInterval = std::chrono::seconds(1);
constexpr std::chrono::milliseconds kRetryAfterOverload{250};
constexpr std::chrono::milliseconds kRetryAfterNotReady{2000};

std::chrono::milliseconds RetryAfter(wire::RefusalReason reason) {
  switch (reason) {
    case wire::REFUSAL_OVERLOADED:
    case wire::REFUSAL_EXPIRED:
      return kRetryAfterOverload;
    case wire::REFUSAL_NOT_READY:
    case wire::REFUSAL_DRAINING:
    case wire::REFUSAL_WRONG_VERSION:
      return kRetryAfterNotReady;
    default:
      return std::chrono::milliseconds(0);
  }
}

}  // namespace

void GateState::OnDocument(kernel::Time now,
                           const document::ServiceDocument& document) {
  if (document.service != m_settings.service) {
    return;
  }
  m_timeout = document.calls.timeout;
  m_concurrency = std::max(1U, document.calls.endpoint_concurrency);
  m_queue.SetShares(document.workspaces);
  StartQueuedCalls(now);
}

void GateState::OnEndpointState(kernel::Time now,
                                std::string running_digest,
                                bool open) {
  if (!running_digest.empty()) {
    EndCallsOfOtherDigests(running_digest);
  }
  m_running_digest = std::move(running_digest);
  m_open = open;
  if (!open) {
    RefuseAllQueuedCalls(now, wire::REFUSAL_NOT_READY);
  }
}

void GateState::EndCallsOfOtherDigests(std::string_view digest) {
  for (auto& [id, call] : m_calls) {
    if (call.running && call.digest != digest) {
      call.version_changed = true;
      EndCall(call, {.outcome = wire::OUTCOME_UNKNOWN,
                     .reason = wire::REFUSAL_WRONG_VERSION});
      CancelAtEndpoint(id);
    }
  }
}

void GateState::DetectPause(kernel::Time now) {
  if (m_last_input != kernel::Time{} &&
      now - m_last_input > kPauseDetectionThreshold) {
    m_starts_delayed_until = now + kStartDelayAfterPause;
  }
  m_last_input = now;
}

void GateState::OnMessage(kernel::Time now, const wire::Envelope& message) {
  DetectPause(now);
  if (message.has_start_attempt()) {
    OnStart(now, message.start_attempt());
  } else if (message.has_cancel_attempt()) {
    OnCancel(now, message.cancel_attempt());
  } else if (message.has_issue_key()) {
    OnIssueKey(now, message, message.issue_key());
  }
}

void GateState::OnStart(kernel::Time now, const wire::StartAttempt& start) {
  const AttemptKey attempt = FromMessage(start.id());
  if (start.agent_incarnation() != m_settings.self.incarnation) {
    // A copy of the message may have reached the run that it is addressed to.
    SendUnknownOutcome(attempt, wire::REFUSAL_WRONG_INCARNATION);
    return;
  }
  if (AnswerKnownAttempt(attempt)) {
    return;
  }
  const bool has_key = !start.idempotent() && !start.idempotency_key().empty();
  if (has_key && AnswerFromKey(now, start)) {
    return;
  }
  const wire::RefusalReason reason = FindRefusalReason(start);
  if (reason != wire::REFUSAL_UNSPECIFIED) {
    if (has_key) {
      RecordKeyRefusal(start);
    }
    Refuse(now, attempt, reason);
    return;
  }
  Admit(now, start);
}

bool GateState::AnswerKnownAttempt(const AttemptKey& attempt) {
  if (m_by_attempt.contains(attempt)) {
    return true;
  }
  switch (m_attempt_memory.Find(attempt)) {
    case AttemptStatus::kNew:
      return false;
    case AttemptStatus::kAccepted:
      return true;
    case AttemptStatus::kRefused:
      SendEnd(
          attempt,
          {.outcome = wire::OUTCOME_NOT_RUN, .reason = wire::REFUSAL_CANCELLED},
          0);
      return true;
    case AttemptStatus::kExpired:
      SendEnd(
          attempt,
          {.outcome = wire::OUTCOME_UNKNOWN, .reason = wire::REFUSAL_EXPIRED},
          0);
      return true;
  }
  return true;
}

wire::RefusalReason GateState::FindRefusalReason(
    const wire::StartAttempt& start) const {
  if (start.service() != m_settings.service) {
    return wire::REFUSAL_UNKNOWN_SERVICE;
  }
  if (m_draining) {
    return wire::REFUSAL_DRAINING;
  }
  if (!m_open) {
    return wire::REFUSAL_NOT_READY;
  }
  const bool other_digest = !start.manifest_digest().empty() &&
                            start.manifest_digest() != m_running_digest;
  return other_digest ? wire::REFUSAL_WRONG_VERSION : wire::REFUSAL_UNSPECIFIED;
}

void GateState::Admit(kernel::Time now, const wire::StartAttempt& start) {
  const EndpointCallId id = ++m_last_call;
  GateCall& call = m_calls[id];
  call.attempt = FromMessage(start.id());
  call.start = start;
  call.idempotent = start.idempotent();
  call.deadline =
      now + std::chrono::milliseconds(start.deadline_milliseconds());
  if (!start.idempotent() && !start.idempotency_key().empty()) {
    call.key = start.idempotency_key();
    m_ledger.Begin(call.key, CallDigest(start),
                   ParseIdempotencyKey(call.key)->expires);
  }
  m_by_attempt[call.attempt] = id;
  m_deadlines.emplace(call.deadline, id);
  const auto refused = m_queue.Push({.id = id,
                                     .workspace = start.workspace(),
                                     .priority = start.priority(),
                                     .deadline = call.deadline});
  if (refused) {
    RefuseQueuedCall(now, *refused, wire::REFUSAL_OVERLOADED);
  }
  StartQueuedCalls(now);
}

void GateState::StartQueuedCalls(kernel::Time now) {
  while (m_open && !m_draining && now >= m_starts_delayed_until &&
         m_running < m_concurrency) {
    const auto next = m_queue.Pop();
    if (!next) {
      return;
    }
    if (next->deadline <= now) {
      RefuseQueuedCall(now, next->id, wire::REFUSAL_EXPIRED);
    } else {
      StartAtEndpoint(now, next->id);
    }
  }
}

void GateState::StartAtEndpoint(kernel::Time now, EndpointCallId id) {
  GateCall& call = m_calls.at(id);
  m_attempt_memory.Accept(now, call.attempt,
                          call.deadline + kAttemptRetentionAfterDeadline);
  call.running = true;
  call.digest = m_running_digest;
  ++m_running;
  StartEndpointCall output;
  output.call = id;
  output.method = call.start.method();
  output.target = call.start.target();
  for (const auto& header : call.start.headers()) {
    output.headers.push_back({.name = header.name(), .value = header.value()});
  }
  output.body = std::move(*call.start.mutable_body());
  output.timeout = std::chrono::duration_cast<std::chrono::milliseconds>(
      call.deadline - now);
  output.manifest_digest = call.digest;
  call.start.Clear();
  m_outputs.emplace_back(std::move(output));
}

void GateState::OnCancel(kernel::Time now, const wire::CancelAttempt& cancel) {
  const AttemptKey attempt = FromMessage(cancel.id());
  if (cancel.agent_incarnation() != m_settings.self.incarnation) {
    SendUnknownOutcome(attempt, wire::REFUSAL_WRONG_INCARNATION);
    return;
  }
  const auto known = m_by_attempt.find(attempt);
  if (known == m_by_attempt.end()) {
    if (!AnswerKnownAttempt(attempt)) {
      Refuse(now, attempt, wire::REFUSAL_CANCELLED);
    }
    return;
  }
  const EndpointCallId id = known->second;
  if (m_calls.at(id).running) {
    CancelAtEndpoint(id);
  } else {
    m_queue.Remove(id);
    RefuseQueuedCall(now, id, wire::REFUSAL_CANCELLED);
  }
}

void GateState::OnPeerDisconnected(kernel::Time now,
                                   const wire::ProcessKey& peer) {
  std::vector<EndpointCallId> waiting;
  for (const auto& [id, call] : m_calls) {
    if (call.attempt.entry != peer) {
      continue;
    }
    if (!call.running) {
      waiting.push_back(id);
    } else if (call.idempotent) {
      CancelAtEndpoint(id);
    }
  }
  for (const EndpointCallId id : waiting) {
    m_queue.Remove(id);
    RefuseQueuedCall(now, id, wire::REFUSAL_CANCELLED);
  }
}

void GateState::OnDrain(kernel::Time now) {
  m_draining = true;
  RefuseAllQueuedCalls(now, wire::REFUSAL_DRAINING);
}

void GateState::OnTick(kernel::Time now) {
  DetectPause(now);
  if (now >= m_last_expiry + kExpiryInterval) {
    m_last_expiry = now;
    m_attempt_memory.Expire(now);
    m_ledger.Expire(now);
  }
  while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
    const EndpointCallId id = m_deadlines.begin()->second;
    m_deadlines.erase(m_deadlines.begin());
    GateCall& call = m_calls.at(id);
    if (call.running) {
      EndCall(call, {.outcome = wire::OUTCOME_UNKNOWN,
                     .reason = wire::REFUSAL_EXPIRED});
      CancelAtEndpoint(id);
    } else {
      m_queue.Remove(id);
      RefuseQueuedCall(now, id, wire::REFUSAL_EXPIRED);
    }
  }
  StartQueuedCalls(now);
}

kernel::Time GateState::NextTick() const {
  kernel::Time next = m_last_input + kTickInterval;
  if (!m_deadlines.empty()) {
    next = std::min(next, m_deadlines.begin()->first);
  }
  return m_queue.Empty() || m_starts_delayed_until <= m_last_input
             ? next
             : std::min(next, m_starts_delayed_until);
}

void GateState::Refuse(kernel::Time now,
                       const AttemptKey& attempt,
                       wire::RefusalReason reason) {
  m_attempt_memory.Refuse(now, attempt, now + kRefusedAttemptRetention);
  SendEnd(attempt,
          {.outcome = wire::OUTCOME_NOT_RUN,
           .reason = reason,
           .retry_after = RetryAfter(reason)},
          0);
}

void GateState::RefuseQueuedCall(kernel::Time now,
                                 EndpointCallId id,
                                 wire::RefusalReason reason) {
  const AttemptKey attempt = m_calls.at(id).attempt;
  const std::string key = m_calls.at(id).key;
  if (!key.empty()) {
    m_ledger.Refuse(key);
  }
  Remove(id);
  Refuse(now, attempt, reason);
}

void GateState::RefuseAllQueuedCalls(kernel::Time now,
                                     wire::RefusalReason reason) {
  for (const QueuedCall& call : m_queue.TakeAll()) {
    RefuseQueuedCall(now, call.id, reason);
  }
}

void GateState::CancelAtEndpoint(EndpointCallId id) {
  // A call with a key continues, so that its answer is recorded for a repeat.
  if (!m_calls.at(id).key.empty()) {
    return;
  }
  m_outputs.emplace_back(CancelEndpointCall{.call = id});
}

void GateState::Remove(EndpointCallId id) {
  const auto call = m_calls.find(id);
  m_deadlines.erase({call->second.deadline, id});
  m_by_attempt.erase(call->second.attempt);
  m_calls.erase(call);
}

}  // namespace radishrudder::calls
