#include "plain.h"

#include <utility>

#include "json.h"

namespace radishrudder::standin {

void Plain::Answer(const http::Request& request,
                   const ResponderPointer& responder) {
  if (request.method == "GET" && request.path == "/v1/executions") {
    ReplyJson(*responder, 200, m_log.ToJson());
  } else if (request.method == "PUT" && request.path == "/v1/control") {
    Control(request, *responder);
  } else {
    Run(request, responder);
  }
}

void Plain::Control(const http::Request& request, http::Responder& responder) {
  const auto control = ParseObject(request, responder);
  if (control.is_discarded()) {
    return;
  }
  m_delay =
      std::chrono::milliseconds(control.value("delay_ms", m_delay.count()));
  m_fail_percent = control.value("fail_percent", m_fail_percent);
  ReplyJson(responder, 200,
            {{"delay_ms", m_delay.count()}, {"fail_percent", m_fail_percent}});
}

void Plain::Run(const http::Request& request,
                const ResponderPointer& responder) {
  const std::string key(http::FindHeader(request.headers, "idempotency-key"));
  const std::size_t index =
      m_log.Add({.key = key, .method = request.method, .path = request.target});
  const int status = m_random.Chance(m_fail_percent / 100) ? 500 : 200;
  nlohmann::json body = {{"service", "plain"},     {"method", request.method},
                         {"path", request.target}, {"key", key},
                         {"body", request.body},   {"execution", index + 1}};
  const auto answer = [this, index, status, responder, body = std::move(body)] {
    m_log.SetState(index, "complete");
    ReplyJson(*responder, status, body);
  };
  if (m_delay.count() == 0) {
    answer();
  } else {
    After(m_delay, answer);
  }
}

}  // namespace radishrudder::standin
