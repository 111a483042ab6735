#include <nlohmann/json.hpp>

#include "entry_state.h"
#include "radishrudder/calls/idempotency_key.h"

namespace radishrudder::calls {

namespace {

constexpr kernel::Duration kKeyRequestTimeout = std::chrono::milliseconds(500);
constexpr std::chrono::milliseconds kRetryAfterNoKey{1000};
constexpr std::uint32_t kStatusCreated = 201;

}  // namespace

bool EntryState::AdmitByKey(kernel::Time now,
                            CallId id,
                            EntryService& service) {
  EntryCall& call = m_calls.at(id);
  if (call.request.method == "POST" && call.request.target == kIssueKeyTarget) {
    call.is_key_request = true;
    RequestKey(now, id, service);
    return true;
  }
  const std::string& text = call.request.idempotency_key;
  if (call.idempotent || text.empty()) {
    return false;
  }
  if (const auto key = ParseIdempotencyKey(text)) {
    call.issuing_agent = key->agent;
    SendToIssuingAgent(now, id, service);
  } else {
    RequestKey(now, id, service);
  }
  return true;
}

void EntryState::SendToIssuingAgent(kernel::Time now,
                                    CallId id,
                                    EntryService& service) {
  EntryCall& call = m_calls.at(id);
  const auto known = service.endpoints.Find(call.issuing_agent->instance);
  // The endpoint list may be outdated and still name an earlier run. In that
  // case the agent decides.
  if (known && known->incarnation <= call.issuing_agent->incarnation) {
    service.budget.Earn();
    StartAttempt(now, id, call, service, *call.issuing_agent);
    return;
  }
  Fail(now, id,
       {.outcome = wire::OUTCOME_UNKNOWN,
        .reason = wire::REFUSAL_KEY_NOT_ACCEPTED,
        .detail = "the run of the agent that issued this key has ended; the "
                  "call may have run there"});
}

void EntryState::RequestKey(kernel::Time now,
                            CallId id,
                            EntryService& service) {
  EntryCall& call = m_calls.at(id);
  m_key_requests.erase(call.key_request_id);
  const Choice choice = service.endpoints.ChooseAny(now, m_random);
  if (choice.result != ChoiceResult::kChosen) {
    FailWithoutKey(now, id);
    return;
  }
  m_deadlines.erase({call.deadline, id});
  call.deadline = std::min(call.deadline, now + kKeyRequestTimeout);
  m_deadlines.emplace(call.deadline, id);
  call.key_request_id = NextSequence();
  m_key_requests[call.key_request_id] = {.call = id, .agent = choice.agent};
  wire::Send send{.to = choice.agent.instance, .message = {}};
  *send.message.mutable_from() = ToMessage(m_settings.self);
  wire::IssueKey& request = *send.message.mutable_issue_key();
  request.set_request(call.key_request_id);
  request.set_service(call.request.service);
  m_outputs.emplace_back(std::move(send));
}

void EntryState::OnIssuedKey(kernel::Time now,
                             const wire::ProcessKey& from,
                             const wire::IssuedKey& issued) {
  const auto request = m_key_requests.find(issued.request());
  if (request == m_key_requests.end() || request->second.agent != from) {
    return;
  }
  const CallId id = request->second.call;
  const auto key = ParseIdempotencyKey(issued.key());
  if (key && key->agent == from) {
    AnswerWithKey(now, id, issued.key());
    return;
  }
  EntryService* const service = FindService(m_calls.at(id).request.service);
  if (service == nullptr) {
    FailWithoutKey(now, id);
    return;
  }
  service->endpoints.OnClosed(now, from);
  RequestKey(now, id, *service);
}

void EntryState::OnKeyRequestSendFailed(kernel::Time now,
                                        std::uint64_t request) {
  const auto found = m_key_requests.find(request);
  if (found == m_key_requests.end()) {
    return;
  }
  const KeyRequest failed_request = found->second;
  EntryService* const service =
      FindService(m_calls.at(failed_request.call).request.service);
  if (service == nullptr) {
    FailWithoutKey(now, failed_request.call);
    return;
  }
  service->endpoints.Avoid(failed_request.agent,
                           now + kAvoidanceAfterSendFailure);
  RequestKey(now, failed_request.call, *service);
}

void EntryState::AnswerWithKey(kernel::Time now,
                               CallId id,
                               const std::string& key) {
  if (!m_calls.at(id).is_key_request) {
    Fail(
        now, id,
        {.outcome = wire::OUTCOME_NOT_RUN,
         .reason = wire::REFUSAL_KEY_NOT_ACCEPTED,
         .detail = "calls of this route run at most once and need a key issued "
                   "by the system; repeat the call with the offered key",
         .issued_key = key});
    return;
  }
  m_outputs.emplace_back(AnswerHead{
      .call = id,
      .status = kStatusCreated,
      .headers = {{.name = "Content-Type", .value = "application/json"}}});
  const nlohmann::json body = {{"key", key}};
  m_outputs.emplace_back(AnswerPart{.call = id, .data = body.dump()});
  m_outputs.emplace_back(AnswerComplete{.call = id});
  RemoveCall(now, id, AttemptEnding::kAbandoned);
}

void EntryState::FailWithoutKey(kernel::Time now, CallId id) {
  const bool key_requested = m_calls.at(id).is_key_request;
  Fail(now, id,
       {.outcome = wire::OUTCOME_NOT_RUN,
        .reason = key_requested ? wire::REFUSAL_NOT_READY
                                : wire::REFUSAL_KEY_NOT_ACCEPTED,
        .retry_after = kRetryAfterNoKey,
        .detail = key_requested
                      ? "no agent issued a key in time"
                      : "calls of this route run at most once and need a "
                        "key issued by the system"});
}

}  // namespace radishrudder::calls
