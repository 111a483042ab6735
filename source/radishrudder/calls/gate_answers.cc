#include <utility>

#include "gate_state.h"

namespace radishrudder::calls {

void GateState::OnEndpointHead(kernel::Time now,
                               EndpointCallId id,
                               std::uint32_t status,
                               std::vector<Header> headers,
                               std::string manifest_digest) {
  DetectPause(now);
  const auto found = m_calls.find(id);
  if (found == m_calls.end() || found->second.head_sent) {
    return;
  }
  GateCall& call = found->second;
  if (!manifest_digest.empty() && manifest_digest != call.digest) {
    EndCall(call, {.outcome = wire::OUTCOME_UNKNOWN,
                   .reason = wire::REFUSAL_WRONG_VERSION});
    CancelAtEndpoint(id);
    return;
  }
  call.head_sent = true;
  const std::string digest =
      manifest_digest.empty() ? call.digest : std::move(manifest_digest);
  if (!call.ended) {
    SendHead(call.attempt, status, headers, digest);
  }
  if (!call.key.empty()) {
    m_ledger.AddHead(call.key, {.status = status,
                                .headers = std::move(headers),
                                .manifest_digest = digest,
                                .body = {}});
  }
}

void GateState::OnEndpointData(kernel::Time now,
                               EndpointCallId id,
                               std::string_view data) {
  DetectPause(now);
  const auto found = m_calls.find(id);
  if (found == m_calls.end() || !found->second.head_sent) {
    return;
  }
  GateCall& call = found->second;
  if (!call.ended) {
    SendPart(call.attempt, call.parts++, data);
  }
  if (!call.key.empty()) {
    m_ledger.AddData(call.key, data);
  }
}

void GateState::OnEndpointCallEnded(kernel::Time now,
                                    EndpointCallId id,
                                    EndpointCallResult result) {
  DetectPause(now);
  const auto found = m_calls.find(id);
  if (found == m_calls.end() || !found->second.running) {
    return;
  }
  GateCall& call = found->second;
  --m_running;
  call.running = false;
  const bool complete = result == EndpointCallResult::kComplete &&
                        call.head_sent && !call.version_changed;
  const bool not_sent =
      result == EndpointCallResult::kNotSent && !call.head_sent;
  if (!call.key.empty()) {
    not_sent ? m_ledger.Refuse(call.key) : m_ledger.End(call.key, complete);
  }
  if (complete) {
    EndCall(call, {.outcome = wire::OUTCOME_ANSWERED});
  } else if (not_sent) {
    EndCall(call, {.outcome = wire::OUTCOME_NOT_RUN,
                   .reason = wire::REFUSAL_ENDPOINT_UNREACHABLE});
  } else {
    EndCall(call, {.outcome = wire::OUTCOME_UNKNOWN,
                   .reason = wire::REFUSAL_ENDPOINT_UNREACHABLE});
  }
  Remove(id);
  StartQueuedCalls(now);
}

void GateState::EndCall(GateCall& call, AttemptOutcome end) {
  if (call.ended) {
    return;
  }
  call.ended = true;
  SendEnd(call.attempt, end, call.parts);
}

void GateState::SendHead(const AttemptKey& attempt,
                         std::uint32_t status,
                         const std::vector<Header>& headers,
                         std::string_view manifest_digest) {
  wire::AttemptHead& head = *AddReply(attempt).mutable_attempt_head();
  *head.mutable_id() = ToMessage(attempt);
  head.set_status(status);
  head.set_manifest_digest(std::string(manifest_digest));
  for (const Header& header : headers) {
    auto* const added = head.add_headers();
    added->set_name(header.name);
    added->set_value(header.value);
  }
}

void GateState::SendPart(const AttemptKey& attempt,
                         std::uint64_t sequence,
                         std::string_view data) {
  wire::AttemptPart& part = *AddReply(attempt).mutable_attempt_part();
  *part.mutable_id() = ToMessage(attempt);
  part.set_sequence(sequence);
  part.set_data(std::string(data));
}

void GateState::SendEnd(const AttemptKey& attempt,
                        AttemptOutcome end,
                        std::uint64_t parts) {
  wire::AttemptEnd& message = *AddReply(attempt).mutable_attempt_end();
  *message.mutable_id() = ToMessage(attempt);
  message.set_outcome(end.outcome);
  message.set_parts(parts);
  message.set_reason(end.reason);
  message.set_retry_after_milliseconds(
      static_cast<std::uint32_t>(end.retry_after.count()));
  *message.mutable_load() = Load();
}

wire::Envelope& GateState::AddReply(const AttemptKey& attempt) {
  wire::Send send{.to = attempt.entry.instance, .message = {}};
  *send.message.mutable_from() = ToMessage(m_settings.self);
  return std::get<wire::Send>(m_outputs.emplace_back(std::move(send))).message;
}

wire::EndpointLoad GateState::Load() const {
  wire::EndpointLoad load;
  load.set_running(static_cast<std::uint32_t>(m_running));
  load.set_waiting(static_cast<std::uint32_t>(m_queue.Size()));
  load.set_capacity(m_concurrency);
  return load;
}

}  // namespace radishrudder::calls
