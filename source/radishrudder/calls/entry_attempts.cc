#include "entry_state.h"

#include <algorithm>

#include "radishrudder/calls/attempt_key.h"

namespace radishrudder::calls {

namespace {

// Whether the refusal is due to the state of the endpoint, not to its load, so
// that the endpoint refuses further calls as well.
bool IsEndpointClosed(wire::RefusalReason reason) {
  return reason == wire::REFUSAL_DRAINING ||
         reason == wire::REFUSAL_NOT_READY ||
         reason == wire::REFUSAL_WRONG_INCARNATION;
}

wire::StartAttempt ToStartMessage(const EntryCall& call) {
  wire::StartAttempt start;
  start.set_service(call.request.service);
  start.set_workspace(call.request.workspace);
  start.set_priority(call.request.priority);
  start.set_method(call.request.method);
  start.set_target(call.request.target);
  for (const Header& header : call.request.headers) {
    auto* const added = start.add_headers();
    added->set_name(header.name);
    added->set_value(header.value);
  }
  start.set_body(call.request.body);
  start.set_idempotency_key(call.request.idempotency_key);
  start.set_idempotent(call.idempotent);
  start.set_adapter(call.request.adapter);
  return start;
}

std::vector<Header> ToHeaders(const wire::AttemptHead& head) {
  std::vector<Header> headers;
  for (const auto& header : head.headers()) {
    headers.push_back({.name = header.name(), .value = header.value()});
  }
  return headers;
}

}  // namespace

void EntryState::StartAttempt(kernel::Time now,
                              CallId id,
                              EntryCall& call,
                              EntryService& service,
                              const wire::ProcessKey& agent) {
  const std::uint64_t sequence = NextSequence();
  m_attempts[sequence] = {.call = id,
                          .service = call.request.service,
                          .agent = agent,
                          .answer = {},
                          .started = now};
  call.attempts.insert(sequence);
  service.endpoints.OnStarted(now, agent,
                              {.workspace = call.request.workspace,
                               .priority = call.request.priority,
                               .prefix_hash = call.request.prefix_hash});
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
      call.deadline - now);
  wire::Send send{.to = agent.instance, .message = {}};
  *send.message.mutable_from() = ToMessage(m_settings.self);
  wire::StartAttempt& start = *send.message.mutable_start_attempt();
  start = ToStartMessage(call);
  *start.mutable_id() =
      ToMessage(AttemptKey{.entry = m_settings.self, .sequence = sequence});
  start.set_agent_incarnation(agent.incarnation);
  start.set_deadline_milliseconds(
      static_cast<std::uint32_t>(std::max<std::int64_t>(1, remaining.count())));
  m_outputs.emplace_back(std::move(send));
}

void EntryState::OnMessage(kernel::Time now, const wire::Envelope& message) {
  if (message.has_attempt_head()) {
    const auto attempt = FindAttempt(message, message.attempt_head().id());
    if (attempt != m_attempts.end()) {
      attempt->second.answer.OnHead(message.attempt_head());
      ProcessAnswer(now, attempt);
    }
  } else if (message.has_attempt_part()) {
    const auto attempt = FindAttempt(message, message.attempt_part().id());
    if (attempt != m_attempts.end()) {
      attempt->second.answer.OnPart(message.attempt_part());
      ProcessAnswer(now, attempt);
    }
  } else if (message.has_issued_key()) {
    OnIssuedKey(now, wire::FromMessage(message.from()), message.issued_key());
  } else if (message.has_attempt_end()) {
    const auto attempt = FindAttempt(message, message.attempt_end().id());
    if (attempt != m_attempts.end()) {
      attempt->second.answer.OnEnd(message.attempt_end());
      ProcessAnswer(now, attempt);
    }
  }
}

EntryState::Attempts::iterator EntryState::FindAttempt(
    const wire::Envelope& message,
    const wire::AttemptId& id) {
  const AttemptKey key = FromMessage(id);
  const auto attempt = m_attempts.find(key.sequence);
  if (key.entry != m_settings.self || attempt == m_attempts.end()) {
    return m_attempts.end();
  }
  const wire::ProcessKey from = wire::FromMessage(message.from());
  // From another run of the agent, only the report that it doesn't know the
  // attempt is accepted.
  const bool unknown_to_other_run =
      from.instance == attempt->second.agent.instance &&
      message.has_attempt_end() &&
      message.attempt_end().outcome() == wire::OUTCOME_UNKNOWN;
  return from == attempt->second.agent || unknown_to_other_run
             ? attempt
             : m_attempts.end();
}

void EntryState::ProcessAnswer(kernel::Time now, Attempts::iterator attempt) {
  ForwardAnswer(now, attempt);
  const AnswerAssembler& answer = attempt->second.answer;
  if (answer.IsComplete()) {
    const CallId call = attempt->second.call;
    EntryService* const service = FindService(attempt->second.service);
    RemoveAttempt(
        now, attempt,
        {.ending = AttemptEnding::kAnswered,
         .first_byte = attempt->second.first_byte - attempt->second.started});
    m_outputs.emplace_back(AnswerComplete{.call = call});
    RemoveCall(now, call, AttemptEnding::kAbandoned);
    if (service != nullptr) {
      Dispatch(now, *service);
    }
    return;
  }
  if (answer.HasOverflowed()) {
    EndAttempt(now, attempt,
               {.outcome = wire::OUTCOME_UNKNOWN,
                .detail = "too many bytes of the answer arrived out of order"});
    return;
  }
  if (!answer.End() || answer.End()->outcome() == wire::OUTCOME_ANSWERED) {
    return;
  }
  const wire::AttemptEnd end = *answer.End();
  const bool not_run =
      end.outcome() == wire::OUTCOME_NOT_RUN && !answer.HasReceivedData();
  EndAttempt(
      now, attempt,
      {.outcome = not_run ? wire::OUTCOME_NOT_RUN : wire::OUTCOME_UNKNOWN,
       .reason = end.reason(),
       .retry_after = std::chrono::milliseconds(end.retry_after_milliseconds()),
       .detail =
           "refused by agent \"" + attempt->second.agent.instance + "\""});
}

void EntryState::ForwardAnswer(kernel::Time now, Attempts::iterator attempt) {
  const CallId id = attempt->second.call;
  EntryCall& call = m_calls.at(id);
  AnswerAssembler& answer = attempt->second.answer;
  if (auto head = answer.TakeHead()) {
    call.answer_started = true;
    attempt->second.first_byte = now;
    m_outputs.emplace_back(
        AnswerHead{.call = id,
                   .status = head->status(),
                   .headers = ToHeaders(*head),
                   .manifest_digest = head->manifest_digest()});
  }
  for (std::string& part : answer.TakeParts()) {
    m_outputs.emplace_back(AnswerPart{.call = id, .data = std::move(part)});
  }
}

void EntryState::OnSendFailed(kernel::Time now, const wire::Envelope& message) {
  if (message.has_issue_key()) {
    OnKeyRequestSendFailed(now, message.issue_key().request());
  }
  if (!message.has_start_attempt()) {
    return;
  }
  const auto attempt = m_attempts.find(message.start_attempt().id().sequence());
  if (attempt == m_attempts.end() ||
      wire::FromMessage(message.from()) != m_settings.self) {
    return;
  }
  const bool uses_issued_key =
      m_calls.at(attempt->second.call).issuing_agent.has_value();
  EndAttempt(now, attempt,
             {.outcome = uses_issued_key ? wire::OUTCOME_UNKNOWN
                                         : wire::OUTCOME_NOT_RUN,
              .reason = wire::REFUSAL_ENDPOINT_UNREACHABLE,
              .retry_after = std::chrono::milliseconds(1000),
              .detail = "agent \"" + attempt->second.agent.instance +
                        "\" is unreachable"});
}

void EntryState::OnPeerDisconnected(kernel::Time now,
                                    const wire::ProcessKey& peer) {
  std::vector<std::uint64_t> lost;
  for (const auto& [sequence, attempt] : m_attempts) {
    if (attempt.agent == peer) {
      lost.push_back(sequence);
    }
  }
  for (const std::uint64_t sequence : lost) {
    const auto attempt = m_attempts.find(sequence);
    if (attempt == m_attempts.end()) {
      continue;
    }
    EndAttempt(now, attempt,
               {.outcome = wire::OUTCOME_UNKNOWN,
                .reason = wire::REFUSAL_ENDPOINT_UNREACHABLE,
                .retry_after = std::chrono::milliseconds(1000),
                .detail = "the connection to agent \"" + peer.instance +
                          "\" was lost"});
  }
}

void EntryState::EndAttempt(kernel::Time now,
                            Attempts::iterator attempt,
                            const Failure& failure) {
  const CallId id = attempt->second.call;
  EntryCall& call = m_calls.at(id);
  EntryService* const service = FindService(attempt->second.service);
  RecordRefusal(now, attempt->second, failure);
  call.excluded.insert(attempt->second.agent);
  call.may_have_run |= failure.outcome != wire::OUTCOME_NOT_RUN;
  const bool head_forwarded = attempt->second.answer.IsHeadTaken();
  const bool refused = failure.outcome == wire::OUTCOME_NOT_RUN;
  RemoveAttempt(
      now, attempt,
      {.ending = refused ? AttemptEnding::kRefused : AttemptEnding::kFailed,
       .reason = failure.reason,
       .retry_after = failure.retry_after});
  if (!call.attempts.empty() && !head_forwarded) {
    return;
  }
  if (service != nullptr && !head_forwarded &&
      TryAcquireRetry(now, call, *service, failure)) {
    call.waiting = true;
    service->queue.Requeue({.id = id,
                            .workspace = call.request.workspace,
                            .priority = call.request.priority,
                            .deadline = call.deadline});
  } else {
    Failure final_failure = failure;
    final_failure.outcome =
        call.may_have_run ? wire::OUTCOME_UNKNOWN : wire::OUTCOME_NOT_RUN;
    Fail(now, id, std::move(final_failure));
  }
  if (service != nullptr) {
    Dispatch(now, *service);
  }
}

void EntryState::RecordRefusal(kernel::Time now,
                               const EntryAttempt& attempt,
                               const Failure& failure) {
  EntryService* const service = FindService(attempt.service);
  if (service == nullptr) {
    return;
  }
  if (IsEndpointClosed(failure.reason)) {
    service->endpoints.OnClosed(now, attempt.agent);
  }
}

bool EntryState::TryAcquireRetry(kernel::Time now,
                                 EntryCall& call,
                                 EntryService& service,
                                 const Failure& failure) {
  const bool safe_to_repeat =
      call.idempotent ||
      (failure.outcome == wire::OUTCOME_NOT_RUN && !call.may_have_run);
  if (!safe_to_repeat || call.issuing_agent || call.deadline <= now) {
    return false;
  }
  const bool refused_once_per_endpoint =
      failure.outcome == wire::OUTCOME_NOT_RUN &&
      IsEndpointClosed(failure.reason);
  return refused_once_per_endpoint ? service.budget.TryTakeOnCredit()
                                   : service.budget.TryTake();
}

void EntryState::RemoveAttempt(kernel::Time now,
                               Attempts::iterator attempt,
                               AttemptResult result) {
  EntryService* const service = FindService(attempt->second.service);
  if (service != nullptr) {
    const auto& end = attempt->second.answer.End();
    if (end && end->has_load()) {
      result.load = end->load();
    }
    service->endpoints.OnEnded(now, attempt->second.agent, result);
  }
  const auto call = m_calls.find(attempt->second.call);
  if (call != m_calls.end()) {
    call->second.attempts.erase(attempt->first);
  }
  m_attempts.erase(attempt);
}

void EntryState::CancelAttempt(kernel::Time now,
                               Attempts::iterator attempt,
                               AttemptEnding ending) {
  wire::Send send{.to = attempt->second.agent.instance, .message = {}};
  *send.message.mutable_from() = ToMessage(m_settings.self);
  wire::CancelAttempt& cancel = *send.message.mutable_cancel_attempt();
  *cancel.mutable_id() = ToMessage(
      AttemptKey{.entry = m_settings.self, .sequence = attempt->first});
  cancel.set_agent_incarnation(attempt->second.agent.incarnation);
  m_outputs.emplace_back(std::move(send));
  RemoveAttempt(now, attempt, {.ending = ending});
}

}  // namespace radishrudder::calls
