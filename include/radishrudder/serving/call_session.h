#ifndef RADISHRUDDER_SERVING_CALL_SESSION_H_
#define RADISHRUDDER_SERVING_CALL_SESSION_H_

#include <concepts>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "radishrudder/direct/entry.h"
#include "radishrudder/exchange/caller_server.h"
#include "radishrudder/exchange/endpoint_pool.h"
#include "radishrudder/kernel/boot_time.h"

namespace radishrudder::serving {

// Encodes and decodes calls in the platform's wire format.
template <typename T>
concept CallCodec = requires(exchange::ReceivedRequest received,
                             const direct::CallerRequest& request,
                             const direct::SendAttempt& attempt,
                             const exchange::RequestHead& request_head,
                             const exchange::ResponseHead& head) {
  { T::AttemptId(request_head) } -> std::same_as<std::string_view>;
  {
    T::DecodeRequest(std::move(received))
    } -> std::same_as<direct::CallerRequest>;
  { T::EncodeAttempt(request, attempt) } -> std::same_as<std::string>;
  { T::DecodeResponse(head, "") } -> std::same_as<direct::EndpointResponse>;
  {
    T::EncodeGeneratedResponse(0, "", std::nullopt)
    } -> std::same_as<exchange::AnswerHead>;
};

// Connects one call of an `Entry` to its caller and to its endpoint.
// After each input, `Process::TakeOutputs` carries out what the `Entry`
// decided.
template <CallCodec Codec, typename Process>
class CallSession : public exchange::AnswerListener {
 public:
  CallSession(Process& process,
              direct::CallId id,
              std::shared_ptr<const direct::CallerRequest> request,
              std::shared_ptr<exchange::CallerExchange> caller)
      : m_process(process),
        m_id(id),
        m_request(std::move(request)),
        m_caller(std::move(caller)) {}

  exchange::CallerExchange& Caller() const { return *m_caller; }
  const direct::CallerRequest& Request() const { return *m_request; }

  void Send(exchange::EndpointPool& pool, const direct::SendAttempt& attempt) {
    m_endpoint = attempt.endpoint_id;
    m_exchange = pool.NextExchange();
    // `OnSending` may cancel the exchange, start another one or destroy this
    // session; its members must not be used afterwards.
    pool.Start(m_exchange, attempt.address,
               {.bytes = Codec::EncodeAttempt(*m_request, attempt),
                .body = m_request->body,
                .body_owner = m_request},
               m_request->method == "HEAD", *this);
  }
  void Cancel(exchange::EndpointPool& pool) { pool.Cancel(m_exchange); }
  // Bytes of the attempt in progress that the endpoint's system has not
  // acknowledged.
  std::size_t UnacknowledgedBytes(const exchange::EndpointPool& pool) const {
    return pool.UnacknowledgedBytes(m_exchange);
  }
  // Lets the endpoint wait until the caller has read more of the answer.
  void PauseReading(exchange::EndpointPool& pool) {
    m_paused = true;
    pool.PauseReading(m_exchange);
  }
  void ResumeReading(exchange::EndpointPool& pool) {
    m_paused = false;
    pool.ResumeReading(m_exchange);
  }
  bool IsPaused() const { return m_paused; }

  void OnSending() override {
    Process& process = m_process;
    const std::shared_ptr<exchange::CallerExchange> caller = m_caller;
    if (caller->EndIfCallerLeft()) {
      return;  // The process has ended the call.
    }
    process.Core().OnSending(kernel::Now(), m_id);
    process.TakeOutputs();
  }
  exchange::HeadVerdict OnHead(const exchange::ResponseHead& head) override {
    Process& process = m_process;
    const direct::ResponseVerdict verdict = process.Core().OnResponseHead(
        kernel::Now(), m_id, Codec::DecodeResponse(head, m_endpoint));
    // Carrying out the outputs may destroy this session; its members must not
    // be used afterwards.
    process.TakeOutputs();
    switch (verdict) {
      case direct::ResponseVerdict::kAccept:
        return exchange::HeadVerdict::kAccept;
      case direct::ResponseVerdict::kSkip:
        return exchange::HeadVerdict::kSkip;
      case direct::ResponseVerdict::kReject:
        break;
    }
    return exchange::HeadVerdict::kReject;
  }
  void OnBody(std::string data) override {
    Process& process = m_process;
    const direct::CallId id = m_id;
    process.Core().OnResponseBody(kernel::Now(), id, std::move(data));
    process.TakeOutputs();
    process.OnAnswerBuffered(id);
  }
  void OnEnd() override {
    Process& process = m_process;
    process.Core().OnResponseEnd(kernel::Now(), m_id);
    process.TakeOutputs();
  }
  void OnFailure(exchange::Failure failure) override {
    Process& process = m_process;
    direct::AttemptFailure reason = direct::AttemptFailure::kInterrupted;
    if (failure == exchange::Failure::kNotSent) {
      reason = direct::AttemptFailure::kNotSent;
    } else if (failure == exchange::Failure::kMalformed) {
      reason = direct::AttemptFailure::kMalformed;
    }
    process.Core().OnAttemptFailed(kernel::Now(), m_id, reason);
    process.TakeOutputs();
  }

 private:
  Process& m_process;
  direct::CallId m_id;
  std::shared_ptr<const direct::CallerRequest> m_request;
  std::shared_ptr<exchange::CallerExchange> m_caller;
  std::string m_endpoint;
  exchange::EndpointPool::ExchangeId m_exchange = 0;
  bool m_paused = false;
};

}  // namespace radishrudder::serving

#endif  // RADISHRUDDER_SERVING_CALL_SESSION_H_
