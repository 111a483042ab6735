#include <utility>

#include "gate_state.h"
#include "radishrudder/calls/idempotency_key.h"

namespace radishrudder::calls {

namespace {

constexpr kernel::Duration kKeyLifetimeTolerance = std::chrono::seconds(1);
constexpr std::chrono::milliseconds kRetryAfterInProgress{500};

}  // namespace

void GateState::OnIssueKey(kernel::Time now,
                           const wire::Envelope& message,
                           const wire::IssueKey& request) {
  const AttemptKey reply_to{.entry = wire::FromMessage(message.from())};
  wire::IssuedKey& issued = *AddReply(reply_to).mutable_issued_key();
  issued.set_request(request.request());
  const bool may_issue =
      m_open && !m_draining && request.service() == m_settings.service;
  if (may_issue) {
    issued.set_key(
        Format(IdempotencyKey{.agent = m_settings.self,
                              .expires = now + m_settings.key_lifetime,
                              .nonce = m_random.Next()}));
  }
}

bool GateState::AnswerFromKey(kernel::Time now,
                              const wire::StartAttempt& start) {
  const AttemptKey attempt = FromMessage(start.id());
  const auto key = ParseIdempotencyKey(start.idempotency_key());
  if (!key) {
    Refuse(now, attempt, wire::REFUSAL_KEY_NOT_ACCEPTED);
    return true;
  }
  if (key->agent != m_settings.self || key->expires <= now) {
    // Its call may have run at another agent or at an earlier run of this one,
    // or its record may have expired.
    SendUnknownOutcome(attempt, wire::REFUSAL_KEY_NOT_ACCEPTED);
    return true;
  }
  if (key->expires > now + m_settings.key_lifetime + kKeyLifetimeTolerance) {
    Refuse(now, attempt, wire::REFUSAL_KEY_NOT_ACCEPTED);
    return true;
  }
  return AnswerFromLedger(now, start);
}

bool GateState::AnswerFromLedger(kernel::Time now,
                                 const wire::StartAttempt& start) {
  const AttemptKey attempt = FromMessage(start.id());
  switch (m_ledger.Find(start.idempotency_key(), CallDigest(start))) {
    case KeyState::kNew:
      return false;
    case KeyState::kInUse:
      SendEnd(attempt,
              {.outcome = wire::OUTCOME_UNKNOWN,
               .reason = wire::REFUSAL_KEY_IN_PROGRESS,
               .retry_after = kRetryAfterInProgress},
              0);
      return true;
    case KeyState::kRecorded:
      SendRecordedAnswer(now, start);
      return true;
    case KeyState::kExecuted:
      SendUnknownOutcome(attempt, wire::REFUSAL_KEY_NOT_ACCEPTED);
      return true;
    case KeyState::kRefused:
      Refuse(now, attempt, wire::REFUSAL_KEY_NOT_ACCEPTED);
      return true;
    case KeyState::kCallMismatch:
      Refuse(now, attempt, wire::REFUSAL_KEY_BODY_MISMATCH);
      return true;
    case KeyState::kFull:
      // The refusal can't be recorded, so the outcome can't be "not run".
      SendUnknownOutcome(attempt, wire::REFUSAL_OVERLOADED);
      return true;
  }
  return true;
}

void GateState::SendRecordedAnswer(kernel::Time now,
                                   const wire::StartAttempt& start) {
  const AttemptKey attempt = FromMessage(start.id());
  const RecordedAnswer& answer = m_ledger.Answer(start.idempotency_key());
  m_attempt_memory.Accept(now, attempt, now + kReplayedAttemptRetention);
  SendHead(attempt, answer.status, answer.headers, answer.manifest_digest);
  const bool has_body = !answer.body.empty();
  if (has_body) {
    SendPart(attempt, 0, answer.body);
  }
  SendEnd(attempt, {.outcome = wire::OUTCOME_ANSWERED}, has_body ? 1 : 0);
}

void GateState::RecordKeyRefusal(const wire::StartAttempt& start) {
  const auto key = ParseIdempotencyKey(start.idempotency_key());
  m_ledger.Refuse(start.idempotency_key(), CallDigest(start), key->expires);
}

void GateState::SendUnknownOutcome(const AttemptKey& attempt,
                                   wire::RefusalReason reason) {
  SendEnd(attempt, {.outcome = wire::OUTCOME_UNKNOWN, .reason = reason}, 0);
}

}  // namespace radishrudder::calls
