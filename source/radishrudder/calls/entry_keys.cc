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
    call.asks_for_key = true;
    RequestKey(now, id, service);
    return true;
  }
  const std::string& text = call.request.idempotency_key;
  if (call.idempotent || text.empty()) {
    return false;
  }
  if (const auto key = ParseIdempotencyKey(text)) {
    call.bound_to = key->agent;
    SendToBoundAgent(now, id, service);
  } else {
    RequestKey(now, id, service);
  }
  return true;
}

void EntryState::SendToBoundAgent(kernel::Time now,
                                  CallId id,
                                  EntryService& service) {
  EntryCall& call = m_calls.at(id);
  const auto known = service.endpoints.Find(call.bound_to->instance);
  // A view that lags may still name an earlier run; then the agent decides.
  if (known && known->incarnation <= call.bound_to->incarnation) {
    service.budget.Earn();
    StartAttempt(now, id, call, service, *call.bound_to);
    return;
  }
  Fail(now, id,
       {.outcome = wire::OUTCOME_UNKNOWN,
        .reason = wire::REFUSAL_KEY_NOT_ACCEPTED,
        .detail = "the agent that issued this key is gone; the call may have "
                  "run there"});
}

void EntryState::RequestKey(kernel::Time now,
                            CallId id,
                            EntryService& service) {
  EntryCall& call = m_calls.at(id);
  m_key_requests.erase(call.key_request);
  const Choice choice = service.endpoints.ChooseAny(now, m_random);
  if (choice.result != ChoiceResult::kChosen) {
    FailWithoutKey(now, id);
    return;
  }
  m_deadlines.erase({call.deadline, id});
  call.deadline = std::min(call.deadline, now + kKeyRequestTimeout);
  m_deadlines.emplace(call.deadline, id);
  call.key_request = NextSequence();
  m_key_requests[call.key_request] = {.call = id, .agent = choice.agent};
  wire::Send send{.to = choice.agent.instance, .message = {}};
  *send.message.mutable_from() = ToMessage(m_settings.self);
  wire::IssueKey& request = *send.message.mutable_issue_key();
  request.set_request(call.key_request);
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

void EntryState::OnKeyRequestUnsent(kernel::Time now, std::uint64_t request) {
  const auto found = m_key_requests.find(request);
  if (found == m_key_requests.end()) {
    return;
  }
  const KeyRequest unsent = found->second;
  EntryService* const service =
      FindService(m_calls.at(unsent.call).request.service);
  if (service == nullptr) {
    FailWithoutKey(now, unsent.call);
    return;
  }
  service->endpoints.Avoid(unsent.agent, now + kAvoidAfterFailure);
  RequestKey(now, unsent.call, *service);
}

void EntryState::AnswerWithKey(kernel::Time now,
                               CallId id,
                               const std::string& key) {
  if (!m_calls.at(id).asks_for_key) {
    Fail(now, id,
         {.outcome = wire::OUTCOME_NOT_RUN,
          .reason = wire::REFUSAL_KEY_NOT_ACCEPTED,
          .detail = "this route runs at most once and takes only keys that "
                    "the system issued; repeat the call with the key offered",
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
  Forget(now, id, AttemptEnding::kAbandoned);
}

void EntryState::FailWithoutKey(kernel::Time now, CallId id) {
  const bool asks = m_calls.at(id).asks_for_key;
  Fail(now, id,
       {.outcome = wire::OUTCOME_NOT_RUN,
        .reason =
            asks ? wire::REFUSAL_NOT_READY : wire::REFUSAL_KEY_NOT_ACCEPTED,
        .retry_after = kRetryAfterNoKey,
        .detail = asks ? "no agent issued a key in time"
                       : "this route runs at most once and takes only keys "
                         "that the system issued"});
}

}  // namespace radishrudder::calls
