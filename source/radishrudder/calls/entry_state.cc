#include "entry_state.h"

#include <algorithm>
#include <utility>

#include "radishrudder/calls/idempotency_key.h"

#include "radishrudder/calls/idempotency_key.h"

namespace radishrudder::calls {

namespace {

constexpr std::chrono::milliseconds kRetryAfterOverload{1000};
constexpr std::chrono::milliseconds kRetryAfterNotReady{5000};
constexpr std::chrono::milliseconds kRetryAfterDrain{500};
// Interval at which queued calls are dispatched while endpoints are busy.
constexpr kernel::Duration kDispatchInterval = std::chrono::milliseconds(20);

}  // namespace

void EntryState::OnDocument(kernel::Time now,
                            const document::ServiceDocument& document) {
  const auto [found, added] = m_services.try_emplace(
      document.service,
      routing::RouterSettings{.entry = m_settings.self.instance,
                              .subset = {.size = m_settings.endpoint_subset}},
      kernel::Random(m_random.Next()));
  EntryService& service = found->second;
  service.document = document;
  service.routes = RouteTable(document);
  service.queue.SetMaximum(document.calls.maximum_queue);
  service.queue.SetShares(document.workspaces);
  service.budget.SetShare(document.calls.retry_budget);
  service.endpoints.SetPolicy(document.calls.routing_policy);
  service.endpoints.SetDefaultCapacity(document.calls.endpoint_concurrency);
  Dispatch(now, service);
}

void EntryState::OnDocumentDeleted(kernel::Time now, std::string_view service) {
  EntryService* const found = FindService(service);
  if (found == nullptr) {
    return;
  }
  for (const QueuedCall& waiting : found->queue.TakeAll()) {
    m_calls.at(waiting.id).waiting = false;
    Fail(now, waiting.id,
         {.outcome = wire::OUTCOME_NOT_RUN,
          .reason = wire::REFUSAL_UNKNOWN_SERVICE,
          .retry_after = kRetryAfterNotReady,
          .detail = "the service was removed"});
  }
  m_services.erase(m_services.find(service));
}

void EntryState::OnEndpoints(kernel::Time now,
                             std::string_view service,
                             std::vector<EndpointView> endpoints) {
  EntryService* const found = FindService(service);
  if (found == nullptr) {
    return;
  }
  found->endpoints.Update(now, std::move(endpoints));
  Dispatch(now, *found);
}

void EntryState::OnCall(kernel::Time now, CallId id, CallRequest request) {
  if (m_calls.contains(id)) {
    return;
  }
  EntryService* const service = FindService(request.service);
  EntryCall& call = m_calls[id];
  call.request = std::move(request);
  call.deadline = now;
  if (m_draining) {
    Refuse(now, id,
           {.reason = wire::REFUSAL_DRAINING,
            .retry_after = kRetryAfterDrain,
            .detail = "the entry is draining"});
  } else if (service == nullptr) {
    Refuse(now, id,
           {.reason = wire::REFUSAL_UNKNOWN_SERVICE,
            .retry_after = kRetryAfterNotReady,
            .detail = "unknown service \"" + call.request.service + "\""});
  } else {
    Admit(now, id, *service);
  }
}

void EntryState::Refuse(kernel::Time now, CallId id, Failure failure) {
  // An earlier call with the same issued key may have run; the entry has no
  // record of it.
  const std::string& key = m_calls.at(id).request.idempotency_key;
  failure.outcome =
      ParseIdempotencyKey(key) ? wire::OUTCOME_UNKNOWN : wire::OUTCOME_NOT_RUN;
  Fail(now, id, std::move(failure));
}

void EntryState::Admit(kernel::Time now, CallId id, EntryService& service) {
  EntryCall& call = m_calls.at(id);
  const auto timeout = call.request.timeout.count() > 0
                           ? call.request.timeout
                           : service.document.calls.timeout;
  call.deadline = now + timeout;
  call.idempotent =
      service.routes.IsIdempotent(call.request.method, call.request.target);
  m_deadlines.emplace(call.deadline, id);
  if (AdmitByKey(now, id, service)) {
    return;
  }
  service.budget.Earn();
  call.waiting = true;
  const auto refused = service.queue.Push({.id = id,
                                           .workspace = call.request.workspace,
                                           .priority = call.request.priority,
                                           .deadline = call.deadline});
  Dispatch(now, service);
  if (refused) {
    m_calls.at(*refused).waiting = false;
    Fail(now, *refused,
         {.outcome = wire::OUTCOME_NOT_RUN,
          .reason = wire::REFUSAL_OVERLOADED,
          .retry_after = kRetryAfterOverload,
          .detail = "the queue is full"});
  }
}

void EntryState::OnCallerDisconnected(kernel::Time now, CallId id) {
  const auto found = m_calls.find(id);
  if (found == m_calls.end()) {
    return;
  }
  EntryService* const service = FindService(found->second.request.service);
  if (found->second.waiting && service != nullptr) {
    service->queue.Remove(id);
  }
  RemoveCall(now, id, AttemptEnding::kAbandoned);
  if (service != nullptr) {
    Dispatch(now, *service);
  }
}

void EntryState::EndCalls(kernel::Time now) {
  m_draining = true;
  while (!m_calls.empty()) {
    const auto& [id, call] = *m_calls.begin();
    EntryService* const service = FindService(call.request.service);
    if (call.waiting && service != nullptr) {
      service->queue.Remove(id);
    }
    const Failure failure{.reason = wire::REFUSAL_DRAINING,
                          .retry_after = kRetryAfterDrain,
                          .detail = "the entry ends"};
    if (call.key_request_id != 0) {
      FailWithoutKey(now, id);
    } else if (call.attempts.empty() && !call.may_have_run) {
      Refuse(now, id, failure);
    } else {
      Fail(now, id, failure);
    }
  }
}

void EntryState::OnTick(kernel::Time now) {
  while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
    ExpireCall(now, m_deadlines.begin()->second);
  }
  for (auto& [name, service] : m_services) {
    Dispatch(now, service);
  }
}

kernel::Time EntryState::NextTick() const {
  if (m_deadlines.empty()) {
    return kernel::Time::max();
  }
  const kernel::Time deadline = m_deadlines.begin()->first;
  return CallsWaiting() == 0
             ? deadline
             : std::min(deadline, m_last_dispatch + kDispatchInterval);
}

std::size_t EntryState::CallsWaiting() const {
  std::size_t waiting = 0;
  for (const auto& [name, service] : m_services) {
    waiting += service.queue.Size();
  }
  return waiting;
}

std::string EntryState::Explain(std::string_view service) const {
  const auto found = m_services.find(service);
  if (found == m_services.end()) {
    return "no document is in force for service \"" + std::string(service) +
           "\"\n";
  }
  return "policy " + found->second.document.calls.routing_policy + ", " +
         std::to_string(found->second.queue.Size()) + " calls waiting\n" +
         found->second.endpoints.Explain(m_last_dispatch);
}

std::uint64_t EntryState::NextSequence() {
  const std::uint64_t round = m_settings.sequences->fetch_add(1) + 1;
  return round * m_settings.shard_count + m_settings.shard;
}

EntryService* EntryState::FindService(std::string_view name) {
  const auto found = m_services.find(name);
  return found == m_services.end() ? nullptr : &found->second;
}

void EntryState::Dispatch(kernel::Time now, EntryService& service) {
  m_last_dispatch = now;
  std::vector<QueuedCall> unplaced;
  while (const auto next = service.queue.Pop()) {
    if (TryDispatch(now, service, next->id)) {
      continue;
    }
    unplaced.push_back(*next);
    if (unplaced.size() > kMaximumUnplacedCalls) {
      break;
    }
  }
  for (QueuedCall& call : unplaced) {
    service.queue.Requeue(std::move(call));
  }
}

bool EntryState::TryDispatch(kernel::Time now,
                             EntryService& service,
                             CallId id) {
  EntryCall& call = m_calls.at(id);
  const routing::CallView view{.workspace = call.request.workspace,
                               .priority = call.request.priority,
                               .prefix_hash = call.request.prefix_hash};
  const Choice choice = service.endpoints.Choose(now, view, call.excluded);
  if (choice.result == ChoiceResult::kAllBusy) {
    return false;
  }
  call.waiting = false;
  if (choice.result == ChoiceResult::kChosen) {
    StartAttempt(now, id, call, service, choice.agent);
    return true;
  }
  Fail(now, id,
       {.outcome =
            call.may_have_run ? wire::OUTCOME_UNKNOWN : wire::OUTCOME_NOT_RUN,
        .reason = wire::REFUSAL_NOT_READY,
        .retry_after = kRetryAfterNotReady,
        .detail = "no endpoint is ready"});
  return true;
}

void EntryState::ExpireCall(kernel::Time now, CallId id) {
  EntryCall& call = m_calls.at(id);
  if (call.key_request_id != 0) {
    FailWithoutKey(now, id);
    return;
  }
  EntryService* const service = FindService(call.request.service);
  if (call.waiting && service != nullptr) {
    service->queue.Remove(id);
  }
  const bool not_run = call.attempts.empty() && !call.may_have_run;
  Fail(now, id,
       {.outcome = not_run ? wire::OUTCOME_NOT_RUN : wire::OUTCOME_UNKNOWN,
        .reason = wire::REFUSAL_EXPIRED,
        .retry_after = kRetryAfterOverload,
        .detail = not_run
                      ? "the deadline expired before an endpoint was free"
                      : "the deadline expired before the answer was complete"});
}

void EntryState::Fail(kernel::Time now, CallId id, Failure failure) {
  const EntryCall& call = m_calls.at(id);
  m_outputs.emplace_back(CallFailed{.call = id,
                                    .outcome = failure.outcome,
                                    .reason = failure.reason,
                                    .retry_after = failure.retry_after,
                                    .answer_started = call.answer_started,
                                    .issued_key = std::move(failure.issued_key),
                                    .detail = std::move(failure.detail)});
  RemoveCall(now, id,
             failure.reason == wire::REFUSAL_EXPIRED
                 ? AttemptEnding::kFailed
                 : AttemptEnding::kAbandoned);
}

void EntryState::RemoveCall(kernel::Time now, CallId id, AttemptEnding ending) {
  const auto call = m_calls.find(id);
  const std::set<std::uint64_t> attempts = call->second.attempts;
  for (const std::uint64_t sequence : attempts) {
    CancelAttempt(now, m_attempts.find(sequence), ending);
  }
  m_deadlines.erase({call->second.deadline, id});
  m_key_requests.erase(call->second.key_request_id);
  m_calls.erase(call);
}

}  // namespace radishrudder::calls
