#include <algorithm>
#include <utility>

#include "source/radishrudder/direct/entry_state.h"

namespace radishrudder::direct {
namespace {

using std::chrono::milliseconds;

constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;
constexpr int kFirstServerError = 500;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
// Statuses by which an endpoint promises that it did not run a request. They
// are passed on only where the promise was confirmed.
constexpr int kPromises[] = {408, 421, 429, 503};

// An attempt with less time than this cannot end in time.
constexpr milliseconds kShortestAttempt{40};
// Beyond its deadline a call waits so long for the endpoint's own answer.
constexpr milliseconds kDeadlineSlack{30};
// Connections that may fail to open before a call is given up.
constexpr std::uint32_t kMaximumUnreachable = 3;
// An endpoint that shows no first event, or no further one, for so long is
// taken as hanging, if the call may go on elsewhere.
constexpr milliseconds kStreamPatience{1600};
// The same for other calls that may be repeated, as a share of their timeout.
constexpr double kAnswerPatienceShare = 0.5;
// Longer bodies are passed on before they are whole.
constexpr std::size_t kMaximumHeldBytes = 256U << 10U;
// When to come back after a refusal: spread, so that those who were refused
// together do not return together.
constexpr milliseconds kShortestReturn{250};
constexpr milliseconds kLongestReturn{900};

bool IsSuccess(int status) {
  return status >= kFirstSuccess && status < kFirstRedirect;
}

bool IsPromise(int status) {
  return std::ranges::find(kPromises, status) != std::end(kPromises);
}

milliseconds ToMilliseconds(kernel::Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration);
}

}  // namespace

milliseconds Entry::State::RetryAfter() {
  const auto range =
      static_cast<std::uint64_t>((kLongestReturn - kShortestReturn).count());
  return kShortestReturn +
         milliseconds(static_cast<std::int64_t>(random.Below(range)));
}

void Entry::State::Refuse(kernel::Time now,
                          const CallerRequest& request,
                          CallId id,
                          int status,
                          Reason reason) {
  ReplyWhole reply{.call = id, .status = status};
  if (status == kUnavailable) {
    reply.retry_after = RetryAfter();
  }
  Emit(std::move(reply));
  Note note{.call = id, .status = status, .reason = reason};
  note.attempt_id = request.attempt_id;
  note.elapsed = ToMilliseconds(now - request.begun);
  note.detail = request.host + request.path;
  Emit(std::move(note));
}

void Entry::State::Tell(kernel::Time now,
                        const Call& call,
                        Note::Kind kind,
                        int status,
                        Reason reason) {
  Note note{.kind = kind, .call = call.id, .status = status, .reason = reason};
  note.attempt_id = call.request->attempt_id;
  note.route = call.route.name;
  note.service = call.service;
  note.endpoint = call.attempt ? call.attempt->endpoint : std::string();
  note.attempts = call.attempts;
  note.elapsed = ToMilliseconds(now - call.request->begun);
  note.configuration_age = call.configuration_age;
  note.detail = call.detail;
  Emit(std::move(note));
}

void Entry::State::End(kernel::Time now,
                       Call& call,
                       int status,
                       Reason reason) {
  Tell(now, call, Note::Kind::kEnded, status, reason);
  calls.erase(call.id);
}

void Entry::State::GiveUp(kernel::Time now, Call& call, Reason reason) {
  if (call.begun) {
    Emit(ReplyAbort{call.id});
    End(now, call, 0, reason);
    return;
  }
  ReplyWhole reply{.call = call.id};
  if (!call.may_have_run) {
    reply.status = kUnavailable;
    reply.retry_after = RetryAfter();
  } else {
    reply.status = reason == Reason::kTimeout ? kGatewayTimeout : kBadGateway;
  }
  const int status = reply.status;
  Emit(std::move(reply));
  End(now, call, status, reason);
}

bool Entry::State::IsTooLate(kernel::Time now, const Call& call) const {
  return call.deadline - now < kShortestAttempt;
}

bool Entry::State::IsStream(const Call& call) const {
  return call.route.kind == RouteKind::kStream;
}

void Entry::State::StartAttempt(kernel::Time now,
                                Call& call,
                                bool only_with_room) {
  if (IsTooLate(now, call)) {
    GiveUp(now, call, Reason::kTimeout);
    return;
  }
  ServicePool& pool = Pool(call.service);
  const PickNeeds needs{.excluded = call.excluded,
                        .version = call.begun ? call.version : std::nullopt,
                        .only_with_room = only_with_room};
  const Pick pick = pool.Choose(now, needs);
  if (pick.id.empty()) {
    const bool busy = pick.reason == routing::NoRoute::kBusy ||
                      pick.reason == routing::NoRoute::kRefusing;
    GiveUp(now, call, busy ? Reason::kAllBusy : Reason::kNoEndpoint);
    return;
  }
  CurrentAttempt attempt;
  attempt.endpoint = pick.id;
  attempt.incarnation = pick.incarnation;
  attempt.started = now;
  attempt.progress = now;
  attempt.model_version = pick.model_version;
  call.attempt = std::move(attempt);
  SendAttempt send{.call = call.id};
  send.address = pick.address;
  send.endpoint_id = pick.id;
  send.time_left = ToMilliseconds(call.deadline - now);
  send.workspace = call.workspace;
  if (call.begun && call.version) {
    send.expected_version = call.version;
  } else if (pool.RequiredVersion() > 0 && pool.Engine()) {
    send.expected_version = pick.model_version;
  }
  send.last_event_id =
      call.begun ? call.events.LastId() : call.request->last_event_id;
  Emit(std::move(send));
}

// Only called when another attempt is wanted; takes its place in the budget.
bool Entry::State::MayTryAgain(kernel::Time now, Call& call) {
  return call.attempts < call.route.maximum_attempts && !IsTooLate(now, call) &&
         Pool(call.service).Budget().TryTake();
}

void Entry::State::AfterRefusal(kernel::Time now,
                                Call& call,
                                routing::Refusal refusal) {
  Tell(now, call, Note::Kind::kAttemptRefused, 0, Reason::kRefused);
  Pool(call.service).OnRefused(now, RunOf(*call.attempt), refusal);
  call.excluded.push_back(call.attempt->endpoint);
  call.attempt.reset();
  if (MayTryAgain(now, call)) {
    StartAttempt(now, call, /*only_with_room=*/true);
  } else {
    GiveUp(now, call, Reason::kRefused);
  }
}

void Entry::State::AfterFailure(kernel::Time now, Call& call, Reason reason) {
  Tell(now, call, Note::Kind::kAttemptFailed, 0, reason);
  Pool(call.service).OnFailed(now, RunOf(*call.attempt));
  call.may_have_run = true;
  call.excluded.push_back(call.attempt->endpoint);
  call.attempt.reset();
  const bool resumable =
      !call.begun || (IsStream(call) && call.events.LastId());
  if (call.route.MayRepeat() && resumable && MayTryAgain(now, call)) {
    StartAttempt(now, call, /*only_with_room=*/false);
  } else {
    GiveUp(now, call, reason);
  }
}

void Entry::State::TakeStreamData(kernel::Time now,
                                  Call& call,
                                  std::string_view data) {
  std::string events = call.events.Feed(data);
  if (events.empty()) {
    return;
  }
  CurrentAttempt& attempt = *call.attempt;
  attempt.progress = now;
  if (!attempt.event_seen) {
    attempt.event_seen = true;
    attempt.first_byte = now - attempt.started;
    if (!call.begun) {
      call.begun = true;
      call.version = attempt.answer->version;
      Emit(
          ReplyBegin{call.id, attempt.answer->status, attempt.answer->pass_on});
    }
  }
  Emit(ReplyPart{call.id, std::move(events)});
}

bool Entry::State::IsOutdated(kernel::Time now, const Call& call) {
  const CurrentAttempt& attempt = *call.attempt;
  const ServicePool& pool = Pool(call.service);
  return attempt.sent && !attempt.event_seen && !attempt.answer &&
         call.route.MayRepeat() && attempt.model_version > 0 &&
         attempt.model_version < pool.RequiredVersion() &&
         now >= pool.RequiredSince() + settings.version_slack;
}

void Entry::State::Withdraw(kernel::Time now, Call& call, Reason reason) {
  Emit(CancelAttempt{call.id});
  Tell(now, call, Note::Kind::kAttemptFailed, 0, reason);
  Pool(call.service).OnAbandoned(now, RunOf(*call.attempt));
  call.may_have_run = true;
  call.excluded.push_back(call.attempt->endpoint);
  call.attempt.reset();
  if (MayTryAgain(now, call)) {
    StartAttempt(now, call, /*only_with_room=*/true);
  } else {
    GiveUp(now, call, reason);
  }
}

void Entry::State::CheckTime(kernel::Time now, Call& call) {
  const CurrentAttempt& attempt = *call.attempt;
  if (now >= call.deadline + kDeadlineSlack) {
    Emit(CancelAttempt{call.id});
    if (attempt.sent) {
      call.may_have_run = true;
      Pool(call.service).OnFailed(now, RunOf(attempt));
    }
    GiveUp(now, call, Reason::kTimeout);
    return;
  }
  if (IsOutdated(now, call)) {
    Withdraw(now, call, Reason::kOutdated);
    return;
  }
  if (!attempt.sent || !call.route.MayRepeat() ||
      call.attempts >= call.route.maximum_attempts) {
    return;
  }
  const kernel::Duration patience =
      IsStream(call)
          ? kernel::Duration(kStreamPatience)
          : std::chrono::duration_cast<kernel::Duration>(
                kAnswerPatienceShare * (call.deadline - call.request->begun));
  if (now - attempt.progress >= patience && !IsTooLate(now, call) &&
      (!call.begun || call.events.LastId())) {
    if (!Pool(call.service).Budget().TryTake()) {
      return;
    }
    Emit(CancelAttempt{call.id});
    Tell(now, call, Note::Kind::kAttemptFailed, 0, Reason::kTimeout);
    Pool(call.service).OnFailed(now, RunOf(attempt));
    call.may_have_run = true;
    call.excluded.push_back(attempt.endpoint);
    call.attempt.reset();
    StartAttempt(now, call, /*only_with_room=*/false);
  }
}

bool Entry::State::MayRepeatAfter(kernel::Time now, Call& call, int status) {
  return status >= kFirstServerError && call.route.MayRepeat() && !call.begun &&
         MayTryAgain(now, call);
}

void Entry::OnSending(kernel::Time now, CallId id) {
  Call* call = m_state->Find(id);
  if (call == nullptr || !call->attempt) {
    return;
  }
  call->attempt->sent = true;
  ++call->attempts;
  m_state->Pool(call->service).OnSent(now, m_state->RunOf(*call->attempt));
}

AnswerVerdict Entry::OnAnswerHead(kernel::Time now,
                                  CallId id,
                                  EndpointAnswer answer) {
  Call* call = m_state->Find(id);
  if (call == nullptr || !call->attempt) {
    return AnswerVerdict::kReject;
  }
  m_state->Pool(call->service).OnHeard(now, call->attempt->endpoint);
  if (answer.attempt_id && *answer.attempt_id != call->request->attempt_id) {
    return AnswerVerdict::kForeign;
  }
  if (answer.wrong_endpoint || answer.wrong_version || answer.not_run) {
    const routing::Refusal refusal =
        answer.wrong_endpoint  ? routing::Refusal::kLeaving
        : answer.wrong_version ? routing::Refusal::kNotReady
                               : routing::Refusal::kOverloaded;
    m_state->AfterRefusal(now, *call, refusal);
    return AnswerVerdict::kReject;
  }
  const bool own = answer.attempt_id && answer.has_proof && !answer.encoded;
  if (!own || IsPromise(answer.status) ||
      (call->begun && !IsSuccess(answer.status))) {
    call->detail = "status " + std::to_string(answer.status) +
                   (answer.has_proof ? "" : " without proof");
    m_state->AfterFailure(now, *call, Reason::kInvalidAnswer);
    return AnswerVerdict::kReject;
  }
  if (!IsSuccess(answer.status) &&
      m_state->MayRepeatAfter(now, *call, answer.status)) {
    m_state->Tell(now, *call, Note::Kind::kAttemptFailed, answer.status,
                  Reason::kBroken);
    m_state->Pool(call->service).OnFailed(now, m_state->RunOf(*call->attempt));
    call->may_have_run = true;
    call->excluded.push_back(call->attempt->endpoint);
    call->attempt.reset();
    m_state->StartAttempt(now, *call, /*only_with_room=*/true);
    return AnswerVerdict::kReject;
  }
  if (m_state->IsStream(*call) && IsSuccess(answer.status) && call->begun) {
    call->events.Restart(call->events.LastId());
  } else {
    call->events.Restart(std::nullopt);
  }
  call->attempt->first_byte = now - call->attempt->started;
  if (answer.load) {
    m_state->Pool(call->service)
        .OnLoad(now, call->attempt->endpoint, *answer.load);
  }
  call->attempt->answer = std::move(answer);
  return AnswerVerdict::kMine;
}

void Entry::OnAnswerBody(kernel::Time now, CallId id, std::string data) {
  Call* call = m_state->Find(id);
  if (call == nullptr || !call->attempt || !call->attempt->answer) {
    return;
  }
  CurrentAttempt& attempt = *call->attempt;
  m_state->Pool(call->service).OnHeard(now, attempt.endpoint);
  if (m_state->IsStream(*call) && IsSuccess(attempt.answer->status)) {
    m_state->TakeStreamData(now, *call, data);
    return;
  }
  if (call->begun) {
    m_state->Emit(ReplyPart{id, std::move(data)});
    return;
  }
  attempt.body += data;
  if (attempt.body.size() > kMaximumHeldBytes) {
    call->begun = true;
    m_state->Emit(
        ReplyBegin{id, attempt.answer->status, attempt.answer->pass_on});
    m_state->Emit(ReplyPart{id, std::exchange(attempt.body, {})});
  }
}

void Entry::OnAnswerEnd(kernel::Time now, CallId id) {
  Call* call = m_state->Find(id);
  if (call == nullptr || !call->attempt || !call->attempt->answer) {
    return;
  }
  CurrentAttempt& attempt = *call->attempt;
  const bool stream =
      m_state->IsStream(*call) && IsSuccess(attempt.answer->status);
  if (stream && call->events.Pending() > 0) {
    m_state->AfterFailure(now, *call, Reason::kBroken);
    return;
  }
  const int status = attempt.answer->status;
  ServicePool& pool = m_state->Pool(call->service);
  if (status >= kFirstServerError) {
    pool.OnFailed(now, m_state->RunOf(attempt));
  } else {
    pool.OnAnswered(now, m_state->RunOf(attempt),
                    {.first_byte = attempt.first_byte});
  }
  if (call->begun) {
    m_state->Emit(ReplyEnd{id});
  } else {
    m_state->Emit(ReplyWhole{.call = id,
                             .status = status,
                             .headers = std::move(attempt.answer->pass_on),
                             .body = std::move(attempt.body)});
  }
  m_state->End(now, *call, status, Reason::kNone);
}

void Entry::OnAttemptFailed(kernel::Time now,
                            CallId id,
                            AttemptFailure failure) {
  Call* call = m_state->Find(id);
  if (call == nullptr || !call->attempt) {
    return;
  }
  if (failure != AttemptFailure::kNotSent && call->attempt->sent) {
    m_state->AfterFailure(now, *call,
                          failure == AttemptFailure::kMalformed
                              ? Reason::kInvalidAnswer
                              : Reason::kBroken);
    return;
  }
  m_state->Tell(now, *call, Note::Kind::kAttemptFailed, 0,
                Reason::kUnreachable);
  m_state->Pool(call->service).OnFailed(now, m_state->RunOf(*call->attempt));
  call->excluded.push_back(call->attempt->endpoint);
  call->attempt.reset();
  if (++call->unreachable < kMaximumUnreachable) {
    m_state->StartAttempt(now, *call, /*only_with_room=*/true);
  } else {
    m_state->GiveUp(now, *call, Reason::kUnreachable);
  }
}

}  // namespace radishrudder::direct
