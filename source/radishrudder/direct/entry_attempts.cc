#include <algorithm>
#include <utility>

#include "radishrudder/direct/request_digest.h"
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
// Statuses from which a caller concludes that its request was not executed. An
// endpoint's response with one of them is not passed on unless the endpoint
// states that it did not execute the request.
constexpr int kNotExecutedStatuses[] = {408, 421, 429, 503};

// An attempt with less time than this cannot complete before the deadline or,
// in a planned stop, before the process ends.
constexpr milliseconds kMinimumAttemptTime{40};
// A call waits this long beyond its deadline for the endpoint's own response.
constexpr milliseconds kDeadlineGrace{30};
// Number of failed connections after which a call is abandoned.
constexpr std::uint32_t kMaximumConnectionFailures = 3;
// An attempt of a stream without an event for this long is abandoned if the
// call may continue on another endpoint.
constexpr milliseconds kStreamProgressTimeout{1600};
// The same for other repeatable calls, as a share of the call's total time.
constexpr double kProgressTimeoutShare = 0.5;
// A larger body is passed on before it is complete.
constexpr std::size_t kMaximumBufferedBytes = 256U << 10U;
// An event that is larger ends the attempt.
constexpr std::size_t kMaximumEventBytes = 1U << 20U;
// What one answer may hold however many calls are in progress.
constexpr std::size_t kMinimumAnswerBytes = 16U << 10U;
constexpr std::size_t kMinimumEventBytes = 64U << 10U;
// Range of Retry-After. Values are random, so that callers refused at the same
// time do not all retry at the same time.
constexpr milliseconds kMinimumRetryAfter{250};
constexpr milliseconds kMaximumRetryAfter{900};
// Retry-After for a request that crashes endpoints: the time that it is blocked
// at least. Also for one that no region may serve, until its configuration
// changes.
constexpr milliseconds kBlockedRetryAfter{30000};
// Events of one attempt after which its prompt counts as harmless. An endpoint
// that crashes on a prompt ends within two passes, one event each.
constexpr std::uint64_t kHarmlessEvents = 4;

bool IsSuccess(int status) {
  return status >= kFirstSuccess && status < kFirstRedirect;
}

bool ImpliesNotExecuted(int status) {
  return std::ranges::find(kNotExecutedStatuses, status) !=
         std::end(kNotExecutedStatuses);
}

// A response without an attempt id may come from anything at the address, and
// one that reports another version does not always name its endpoint.
bool IsFromSelectedEndpoint(const EndpointResponse& response) {
  return response.attempt_id && !response.wrong_endpoint &&
         !response.wrong_version;
}

// Whether the response is the endpoint's own and complete as far as its head.
bool IsAuthentic(const EndpointResponse& response) {
  return response.attempt_id && response.has_signature && !response.encoded;
}

milliseconds ToMilliseconds(kernel::Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration);
}

// What an endpoint says of itself in a response, for the record of the attempt.
std::string Describe(const EndpointResponse& response) {
  std::string text = "status " + std::to_string(response.status);
  if (response.requested_pause) {
    text += ", asks for a pause of " +
            std::to_string(response.requested_pause->count()) + " ms";
  }
  if (response.leaving) {
    text += ", leaves";
  }
  if (response.requests_per_second) {
    text += ", names a limit";
  }
  if (!response.unreadable.empty()) {
    text += ", unreadable " + response.unreadable;
  }
  return text;
}

}  // namespace

milliseconds Entry::State::RetryAfter(Reason reason,
                                      kernel::Duration available_after) {
  if (reason == Reason::kStopping) {
    return milliseconds(0);  // Other entries can take the call.
  }
  if (reason == Reason::kCrashingPrompt || reason == Reason::kCrashingRequest ||
      reason == Reason::kNoAllowedRegion) {
    return kBlockedRetryAfter;
  }
  const milliseconds wait = std::chrono::ceil<milliseconds>(available_after);
  // The longer callers had to wait, the more of them return.
  const milliseconds spread =
      std::max(kMaximumRetryAfter - kMinimumRetryAfter, wait / 2);
  return std::max(wait, kMinimumRetryAfter) +
         milliseconds(static_cast<std::int64_t>(
             random.Below(static_cast<std::uint64_t>(spread.count()))));
}

void Entry::State::Refuse(kernel::Time now,
                          const CallerRequest& request,
                          CallId id,
                          int status,
                          Reason reason) {
  SendResponse reply{.call = id, .status = status};
  if (status == kUnavailable) {
    reply.retry_after = RetryAfter(reason);
  }
  Emit(std::move(reply));
  CallRecord record{.call = id, .status = status, .reason = reason};
  record.attempt_id = request.attempt_id;
  record.elapsed = ToMilliseconds(now - request.received_at);
  record.detail = request.host + request.path;
  Emit(std::move(record));
}

CallRecord Entry::State::MakeRecord(kernel::Time now, const Call& call) {
  CallRecord record{.call = call.id};
  record.attempt_id = call.request->attempt_id;
  record.route = call.route.name;
  record.service = call.service;
  record.endpoint = call.attempt ? call.attempt->endpoint : std::string();
  record.attempts = call.attempts;
  record.elapsed = ToMilliseconds(now - call.request->received_at);
  record.configuration_age = call.configuration_age;
  record.detail = call.detail;
  record.events = call.events.EventsReturned();
  record.prompt_parts = call.request->prompt_parts;
  record.rank = call.rank;
  record.waited = ToMilliseconds(call.waited);
  return record;
}

void Entry::State::RecordOutcome(kernel::Time now,
                                 Call& call,
                                 CallRecord::Kind kind,
                                 int status,
                                 Reason reason) {
  CallRecord record = MakeRecord(now, call);
  record.kind = kind;
  record.status = status;
  record.reason = reason;
  if (reason != Reason::kNone && call.may_have_run) {
    record.request_digest = DigestOf(call);
  }
  Emit(std::move(record));
}

void Entry::State::RecordCallerLeft(kernel::Time now, const Call& call) {
  CallRecord record = MakeRecord(now, call);
  record.kind = CallRecord::Kind::kCallerLeft;
  if (call.attempt && call.attempt->sent) {
    record.stage =
        call.response_started ? CallStage::kAnswering : CallStage::kSent;
    record.sent_for = ToMilliseconds(now - call.attempt->sent_at);
  } else if (call.attempt) {
    record.stage = CallStage::kConnecting;
  }
  Emit(std::move(record));
}

const std::string& Entry::State::DigestOf(Call& call) {
  if (call.digest.empty()) {
    call.digest = RequestDigest(*call.request, call.workspace);
  }
  return call.digest;
}

void Entry::State::End(kernel::Time now,
                       Call& call,
                       int status,
                       Reason reason) {
  RecordOutcome(now, call, CallRecord::Kind::kEnded, status, reason);
  calls.erase(call.id);
}

void Entry::State::FailCall(kernel::Time now,
                            Call& call,
                            Reason reason,
                            kernel::Duration available_after) {
  if (call.waiting) {
    Admission(call.service).Remove(call.id);
  }
  if (call.response_started) {
    Emit(AbortResponse{call.id});
    End(now, call, 0, reason);
    return;
  }
  SendResponse reply{.call = call.id};
  if (!call.may_have_run) {
    reply.status = kUnavailable;
    reply.retry_after = RetryAfter(reason, available_after);
  } else {
    reply.status = reason == Reason::kTimeout ? kGatewayTimeout : kBadGateway;
  }
  const int status = reply.status;
  Emit(std::move(reply));
  End(now, call, status, reason);
}

bool Entry::State::MayOutliveProcess(const Call& call) const {
  return serves_until && call.deadline + kDeadlineGrace > *serves_until &&
         !call.may_have_run && !call.response_started;
}

bool Entry::State::HasTooLittleTime(kernel::Time now, const Call& call) const {
  const kernel::Time end =
      std::min(call.deadline, serves_until.value_or(call.deadline));
  return end - now < kMinimumAttemptTime;
}

bool Entry::State::IsStream(const Call& call) const {
  return call.route.kind == RouteKind::kStream;
}

bool Entry::State::TryReserveRetry(kernel::Time now, Call& call) {
  return call.attempts < call.route.maximum_attempts &&
         !HasTooLittleTime(now, call) && Pool(call.service).Budget().TryTake();
}

void Entry::State::HandleRefusal(kernel::Time now,
                                 Call& call,
                                 routing::Refusal refusal) {
  RecordOutcome(now, call, CallRecord::Kind::kAttemptRefused, 0,
                Reason::kRefused);
  Pool(call.service).OnRefused(now, RunOf(*call.attempt), refusal);
  call.excluded.push_back(call.attempt->endpoint);
  call.attempt.reset();
  if (TryReserveRetry(now, call)) {
    StartAttempt(now, call, /*require_free_capacity=*/true);
  } else {
    FailCall(now, call, Reason::kRefused);
  }
}

std::size_t Entry::State::AnswerLimit(std::size_t maximum) const {
  const std::size_t share =
      settings.answer_memory / std::max<std::size_t>(calls.size(), 1);
  return std::clamp(share, std::min(kMinimumAnswerBytes, maximum), maximum);
}

void Entry::State::ReportFailure(kernel::Time now, const Call& call) {
  if (call.attempt->waited_for_caller) {
    Pool(call.service).OnAbandoned(now, RunOf(*call.attempt));
  } else {
    Pool(call.service).OnFailed(now, RunOf(*call.attempt));
  }
}

void Entry::State::HandleFailure(kernel::Time now, Call& call, Reason reason) {
  call.may_have_run = true;
  RecordOutcome(now, call, CallRecord::Kind::kAttemptFailed, 0, reason);
  ReportFailure(now, call);
  call.excluded.push_back(call.attempt->endpoint);
  if (reason == Reason::kBroken && !call.attempt->harmless) {
    NoteBroken(now, call);
  }
  call.attempt.reset();
  if (suspect_parts.IsSuspicious(now, call.request->prompt_parts)) {
    FailCall(now, call, Reason::kCrashingPrompt);
    return;
  }
  if (reason == Reason::kBroken &&
      suspect_requests.IsSuspicious(now, {&DigestOf(call), 1})) {
    FailCall(now, call, Reason::kCrashingRequest);
    return;
  }
  const bool resumable =
      !call.response_started || (IsStream(call) && call.events.LastId());
  if (call.route.IsRepeatable() && resumable && TryReserveRetry(now, call)) {
    StartAttempt(now, call, /*require_free_capacity=*/false);
  } else {
    FailCall(now, call, reason);
  }
}

void Entry::State::HandleStreamData(kernel::Time now,
                                    Call& call,
                                    std::string_view data) {
  std::string events = call.events.Feed(data);
  if (events.empty()) {
    if (call.events.PendingBytes() >
        std::max(AnswerLimit(kMaximumEventBytes), kMinimumEventBytes)) {
      Emit(CancelAttempt{call.id});
      HandleFailure(now, call, Reason::kInvalidAnswer);
    }
    return;
  }
  CurrentAttempt& attempt = *call.attempt;
  attempt.last_progress = now;
  if (!attempt.event_received) {
    attempt.event_received = true;
    attempt.first_byte = now - attempt.started;
    const auto admission = admissions.find(call.service);
    if (admission != admissions.end()) {
      admission->second.OnFirstByte(attempt.first_byte);
    }
    if (!call.response_started) {
      call.response_started = true;
      call.version = attempt.response->version;
      Emit(StartResponse{call.id, attempt.response->status,
                         attempt.response->response_headers});
    }
  }
  const std::uint64_t event_count =
      call.events.EventsReturned() - attempt.earlier_events;
  Pool(call.service)
      .OnProgress(RunOf(attempt), static_cast<std::uint32_t>(event_count));
  if (event_count >= kHarmlessEvents) {
    ClearSuspicion(now, call);
  }
  Emit(SendResponseBody{call.id, std::move(events)});
}

void Entry::State::ClearSuspicion(kernel::Time now, Call& call) {
  if (call.attempt->harmless) {
    return;
  }
  call.attempt->harmless = true;
  suspect_parts.OnAnswered(now, call.request->prompt_parts);
  if (!suspect_requests.IsEmpty()) {
    suspect_requests.OnAnswered(now, {&DigestOf(call), 1});
  }
}

void Entry::State::NoteBroken(kernel::Time now, Call& call) {
  const CrashSighting crash{.run = RunName(*call.attempt),
                            .seen_at = now,
                            .began_at = call.attempt->started};
  suspect_parts.OnBroken(call.request->prompt_parts, crash);
  suspect_requests.OnBroken({&DigestOf(call), 1}, crash);
}

Reason Entry::State::BlockReason(kernel::Time now, Call& call) {
  if (!suspect_parts.FindBlocked(now, call.request->prompt_parts).empty()) {
    return Reason::kCrashingPrompt;
  }
  if (suspect_requests.IsEmpty()) {
    return Reason::kNone;
  }
  const std::string& digest = DigestOf(call);
  if (!suspect_requests.FindBlocked(now, {&digest, 1}).empty()) {
    return Reason::kCrashingRequest;
  }
  // Repetitions that run at the same time would crash one endpoint each.
  if (suspect_requests.IsSuspicious(now, {&digest, 1}) &&
      std::ranges::any_of(calls, [this, &call, &digest](auto& item) {
        return item.first != call.id && item.second.attempt &&
               DigestOf(item.second) == digest;
      })) {
    return Reason::kRequestOnTrial;
  }
  return Reason::kNone;
}

void Entry::State::StopBlockedCalls(kernel::Time now) {
  for (std::string& part : suspect_parts.TakeNewlyBlocked()) {
    // An answer may have cleared the part meanwhile.
    if (suspect_parts.FindBlocked(now, {&part, 1}).empty()) {
      continue;
    }
    StopCallsWith(now, Reason::kCrashingPrompt, [&part](const Call& call) {
      return std::ranges::find(call.request->prompt_parts, part) !=
             call.request->prompt_parts.end();
    });
    Emit(PartBlocked{std::move(part)});
  }
  for (std::string& digest : suspect_requests.TakeNewlyBlocked()) {
    if (suspect_requests.FindBlocked(now, {&digest, 1}).empty()) {
      continue;
    }
    StopCallsWith(now, Reason::kCrashingRequest, [this, &digest](Call& call) {
      return DigestOf(call) == digest;
    });
    Emit(RequestBlocked{std::move(digest)});
  }
}

template <typename HasSignature>
void Entry::State::StopCallsWith(kernel::Time now,
                                 Reason reason,
                                 HasSignature has_signature) {
  std::vector<CallId> affected;
  for (auto& [id, call] : calls) {
    if (call.attempt && !call.attempt->harmless && has_signature(call)) {
      affected.push_back(id);
    }
  }
  for (const CallId id : affected) {
    Call& call = calls.at(id);
    Emit(CancelAttempt{id});
    if (call.attempt->sent) {
      Pool(call.service).OnAbandoned(now, RunOf(*call.attempt));
      call.may_have_run = true;
    }
    FailCall(now, call, reason);
  }
}

bool Entry::State::UsesOutdatedVersion(kernel::Time now, const Call& call) {
  const CurrentAttempt& attempt = *call.attempt;
  const ServicePool& pool = Pool(call.service);
  return attempt.sent && !attempt.event_received && !attempt.response &&
         call.route.IsRepeatable() && attempt.model_version > 0 &&
         attempt.model_version < pool.RequiredVersion() &&
         now >= pool.RequiredSince() + settings.withdrawal_delay;
}

void Entry::State::WithdrawAttempt(kernel::Time now,
                                   Call& call,
                                   Reason reason) {
  Emit(CancelAttempt{call.id});
  RecordOutcome(now, call, CallRecord::Kind::kAttemptFailed, 0, reason);
  Pool(call.service).OnAbandoned(now, RunOf(*call.attempt));
  call.may_have_run = true;
  call.excluded.push_back(call.attempt->endpoint);
  call.attempt.reset();
  if (TryReserveRetry(now, call)) {
    StartAttempt(now, call, /*require_free_capacity=*/true);
  } else {
    FailCall(now, call, reason);
  }
}

void Entry::State::CheckTimeouts(kernel::Time now, Call& call) {
  if (!call.attempt) {
    return;  // It waits for a place, which has a time limit of its own.
  }
  CurrentAttempt& attempt = *call.attempt;
  if (call.caller_behind) {
    // Nothing is read, so the endpoint's silence means nothing.
    attempt.last_progress = now;
    Pool(call.service).OnDataReceived(now, attempt.endpoint);
  }
  if (now >= call.deadline + kDeadlineGrace) {
    Emit(CancelAttempt{call.id});
    if (attempt.sent) {
      call.may_have_run = true;
      ReportFailure(now, call);
    }
    FailCall(now, call, Reason::kTimeout);
    return;
  }
  if (UsesOutdatedVersion(now, call)) {
    WithdrawAttempt(now, call, Reason::kOutdated);
    return;
  }
  if (!attempt.sent || !call.route.IsRepeatable() ||
      call.attempts >= call.route.maximum_attempts) {
    return;
  }
  const kernel::Duration progress_timeout =
      IsStream(call) ? kernel::Duration(kStreamProgressTimeout)
                     : std::chrono::duration_cast<kernel::Duration>(
                           kProgressTimeoutShare *
                           (call.deadline - call.request->received_at));
  if (now - attempt.last_progress >= progress_timeout &&
      !HasTooLittleTime(now, call) &&
      (!call.response_started || call.events.LastId())) {
    if (!Pool(call.service).Budget().TryTake()) {
      return;
    }
    Emit(CancelAttempt{call.id});
    RecordOutcome(now, call, CallRecord::Kind::kAttemptFailed, 0,
                  Reason::kTimeout);
    Pool(call.service).OnFailed(now, RunOf(attempt));
    call.may_have_run = true;
    call.excluded.push_back(attempt.endpoint);
    call.attempt.reset();
    StartAttempt(now, call, /*require_free_capacity=*/false);
  }
}

bool Entry::State::TryReserveRetryAfterError(kernel::Time now,
                                             Call& call,
                                             int status) {
  return status >= kFirstServerError && call.route.IsRepeatable() &&
         !call.response_started && TryReserveRetry(now, call);
}

void Entry::State::NoteState(kernel::Time now,
                             Call& call,
                             const EndpointResponse& response) {
  if (response.wrong_endpoint) {
    return;
  }
  ServicePool& pool = Pool(call.service);
  const routing::EndpointRun run = RunOf(*call.attempt);
  if (response.leaving && pool.OnLeaving(now, run)) {
    Emit(EndpointLeaves{.service = call.service,
                        .endpoint = call.attempt->endpoint,
                        .attempt_id = call.request->attempt_id});
  }
  if (!response.requested_pause) {
    pool.OnResponded(now, run);
  } else if (const auto until =
                 pool.OnPauseRequested(now, run, *response.requested_pause)) {
    Emit(EndpointPaused{.service = call.service,
                        .endpoint = call.attempt->endpoint,
                        .attempt_id = call.request->attempt_id,
                        .requested = *response.requested_pause,
                        .duration = ToMilliseconds(*until - now)});
  }
  if (response.cold_time) {
    pool.OnColdTime(now, run, *response.cold_time);
  }
  // Only an answer that is certainly the endpoint's own ends a limit.
  if ((response.requests_per_second || IsAuthentic(response)) &&
      limits.OnNamed(now, run, response.requests_per_second)) {
    Emit(EndpointLimited{.service = call.service,
                         .endpoint = call.attempt->endpoint,
                         .attempt_id = call.request->attempt_id,
                         .requests_per_second = response.requests_per_second});
  }
}

void Entry::OnSending(kernel::Time now, CallId id) {
  Call* call = m_state->FindCall(id);
  if (call == nullptr || !call->attempt) {
    return;
  }
  if (m_state->MayOutliveProcess(*call)) {
    m_state->Emit(CancelAttempt{id});
    m_state->FailCall(now, *call, Reason::kStopping);
    return;
  }
  if (!m_state->Pool(call->service)
           .MaySend(now, m_state->RunOf(*call->attempt),
                    m_state->AllowedDataCentresOf(*call))) {
    // The endpoint wants no requests, or may take this one no longer, since the
    // attempt began to wait for a connection.
    m_state->Emit(CancelAttempt{id});
    call->attempt.reset();
    m_state->StartAttempt(now, *call, /*require_free_capacity=*/true);
    return;
  }
  call->attempt->sent = true;
  call->attempt->sent_at = now;
  ++call->attempts;
  m_state->Pool(call->service)
      .OnSent(now, m_state->RunOf(*call->attempt), m_state->ViewOf(now, *call));
}

ResponseVerdict Entry::OnResponseHead(kernel::Time now,
                                      CallId id,
                                      EndpointResponse response) {
  Call* call = m_state->FindCall(id);
  if (call == nullptr || !call->attempt) {
    return ResponseVerdict::kReject;
  }
  m_state->Pool(call->service).OnDataReceived(now, call->attempt->endpoint);
  if (response.attempt_id &&
      *response.attempt_id != call->request->attempt_id) {
    return ResponseVerdict::kSkip;
  }
  m_state->NoteState(now, *call, response);
  if (IsFromSelectedEndpoint(response)) {
    const std::string run = m_state->RunName(*call->attempt);
    m_state->suspect_parts.OnResponded(run, call->attempt->started);
    m_state->suspect_requests.OnResponded(run, call->attempt->started);
  }
  if (response.wrong_endpoint || response.wrong_version ||
      response.not_executed) {
    const routing::Refusal refusal =
        response.wrong_endpoint  ? routing::Refusal::kLeaving
        : response.wrong_version ? routing::Refusal::kNotReady
                                 : routing::Refusal::kOverloaded;
    call->detail = Describe(response);
    m_state->HandleRefusal(now, *call, refusal);
    return ResponseVerdict::kReject;
  }
  if (!IsAuthentic(response) || ImpliesNotExecuted(response.status) ||
      (call->response_started && !IsSuccess(response.status))) {
    call->detail = Describe(response) +
                   (response.has_signature ? "" : " without a signature");
    m_state->HandleFailure(now, *call, Reason::kInvalidAnswer);
    return ResponseVerdict::kReject;
  }
  if (!IsSuccess(response.status) &&
      m_state->TryReserveRetryAfterError(now, *call, response.status)) {
    m_state->RecordOutcome(now, *call, CallRecord::Kind::kAttemptFailed,
                           response.status, Reason::kBroken);
    m_state->Pool(call->service).OnFailed(now, m_state->RunOf(*call->attempt));
    call->may_have_run = true;
    call->excluded.push_back(call->attempt->endpoint);
    call->attempt.reset();
    m_state->StartAttempt(now, *call, /*require_free_capacity=*/true);
    return ResponseVerdict::kReject;
  }
  if (m_state->IsStream(*call) && IsSuccess(response.status) &&
      call->response_started) {
    call->events.Restart(call->events.LastId());
  } else {
    call->events.Restart(std::nullopt);
  }
  call->attempt->first_byte = now - call->attempt->started;
  if (response.load) {
    m_state->Pool(call->service)
        .OnLoad(now, call->attempt->endpoint, *response.load);
  }
  call->attempt->response = std::move(response);
  return ResponseVerdict::kAccept;
}

std::size_t Entry::AnswerLimit() const {
  return m_state->AnswerLimit(kMaximumBufferedBytes);
}

std::size_t Entry::BufferedBytes(CallId id) const {
  const Call* call = m_state->FindCall(id);
  if (call == nullptr) {
    return 0;
  }
  return call->events.PendingBytes() +
         (call->attempt ? call->attempt->body.capacity() : 0);
}

void Entry::OnCallersStalled(kernel::Time now,
                             std::span<const CallId> stalled) {
  const auto services = std::exchange(m_state->services_without_place, {});
  for (const CallId id : stalled) {
    Call* call = m_state->FindCall(id);
    if (call == nullptr || !call->attempt ||
        !services.contains(call->service)) {
      continue;
    }
    const std::string service = call->service;
    m_state->Emit(CancelAttempt{id});
    if (call->attempt->sent) {
      m_state->Pool(service).OnAbandoned(now, m_state->RunOf(*call->attempt));
      call->may_have_run = true;
    }
    m_state->FailCall(now, *call, Reason::kCallerStalled);
    m_state->ServeWaiting(now, service);
  }
}

void Entry::OnCallerBehind(CallId id, bool behind) {
  Call* call = m_state->FindCall(id);
  if (call == nullptr) {
    return;
  }
  call->caller_behind = behind;
  if (behind && call->attempt) {
    call->attempt->waited_for_caller = true;
    call->attempt->harmless = true;
  }
}

void Entry::OnResponseBody(kernel::Time now, CallId id, std::string data) {
  Call* call = m_state->FindCall(id);
  if (call == nullptr || !call->attempt || !call->attempt->response) {
    return;
  }
  CurrentAttempt& attempt = *call->attempt;
  m_state->Pool(call->service).OnDataReceived(now, attempt.endpoint);
  if (m_state->IsStream(*call) && IsSuccess(attempt.response->status)) {
    m_state->HandleStreamData(now, *call, data);
    return;
  }
  if (call->response_started) {
    m_state->Emit(SendResponseBody{id, std::move(data)});
    return;
  }
  attempt.body += data;
  if (attempt.body.size() > AnswerLimit()) {
    call->response_started = true;
    m_state->Emit(StartResponse{id, attempt.response->status,
                                attempt.response->response_headers});
    m_state->Emit(SendResponseBody{id, std::exchange(attempt.body, {})});
  }
}

void Entry::OnResponseEnd(kernel::Time now, CallId id) {
  Call* call = m_state->FindCall(id);
  if (call == nullptr || !call->attempt || !call->attempt->response) {
    return;
  }
  CurrentAttempt& attempt = *call->attempt;
  const bool stream =
      m_state->IsStream(*call) && IsSuccess(attempt.response->status);
  if (stream && call->events.PendingBytes() > 0) {
    m_state->HandleFailure(now, *call, Reason::kBroken);
    return;
  }
  const int status = attempt.response->status;
  ServicePool& pool = m_state->Pool(call->service);
  if (status >= kFirstServerError) {
    pool.OnFailed(now, m_state->RunOf(attempt));
  } else {
    m_state->LearnCost(*call, stream);
    pool.OnAnswered(now, m_state->RunOf(attempt),
                    {.first_byte = attempt.first_byte});
    // Without a marked end, a stream may have ended with its endpoint.
    if (IsSuccess(status) &&
        (!stream || (attempt.event_received && attempt.response->delimited))) {
      m_state->ClearSuspicion(now, *call);
    }
  }
  if (call->response_started) {
    m_state->Emit(FinishResponse{id});
  } else {
    m_state->Emit(
        SendResponse{.call = id,
                     .status = status,
                     .headers = std::move(attempt.response->response_headers),
                     .body = std::move(attempt.body)});
  }
  const std::string service = call->service;
  m_state->End(now, *call, status, Reason::kNone);
  m_state->ServeWaiting(now, service);
}

void Entry::OnAttemptFailed(kernel::Time now,
                            CallId id,
                            AttemptFailure failure) {
  Call* call = m_state->FindCall(id);
  if (call == nullptr || !call->attempt) {
    return;
  }
  if (failure != AttemptFailure::kNotSent && call->attempt->sent) {
    m_state->HandleFailure(now, *call,
                           failure == AttemptFailure::kMalformed
                               ? Reason::kInvalidAnswer
                               : Reason::kBroken);
    return;
  }
  m_state->RecordOutcome(now, *call, CallRecord::Kind::kAttemptFailed, 0,
                         Reason::kUnreachable);
  m_state->Pool(call->service).OnFailed(now, m_state->RunOf(*call->attempt));
  call->excluded.push_back(call->attempt->endpoint);
  call->attempt.reset();
  if (++call->failed_connections < kMaximumConnectionFailures) {
    m_state->StartAttempt(now, *call, /*require_free_capacity=*/true);
  } else {
    m_state->FailCall(now, *call, Reason::kUnreachable);
  }
}

}  // namespace radishrudder::direct
