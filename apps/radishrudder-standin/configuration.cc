#include "configuration.h"

#include <algorithm>
#include <chrono>

#include "json.h"

namespace radishrudder::standin {

Configuration::Configuration(Scheduler& scheduler)
    : StandIn(scheduler),
      m_watch([this](http::Responder& responder, std::uint64_t after) {
        Render(responder, after);
      }) {}

void Configuration::Answer(const http::Request& request,
                           const ResponderPointer& responder) {
  const auto path = SplitPath(request.path);
  const bool is_write = request.method == "PUT" || request.method == "DELETE";
  if (request.method == "GET" && request.path == "/v1/documents") {
    Read(request, responder);
  } else if (is_write && path.size() == 3 && path[1] == "documents") {
    Write(request, path[2], *responder);
  } else if (request.method == "GET" && request.path == "/v1/statistics") {
    ReplyJson(
        *responder, 200,
        {{"calls", m_calls}, {"calls_per_second_max", m_calls_per_second_max}});
  } else if (request.method == "PUT" && request.path == "/v1/control") {
    Control(request, *responder);
  } else {
    ReplyNotFound(*responder, request);
  }
}

void Configuration::Read(const http::Request& request,
                         const ResponderPointer& responder) {
  CountCall();
  const std::uint64_t after = QueryNumber(request.query, "after", 0);
  const std::uint64_t wait = QueryNumber(request.query, "wait_ms", 0);
  if (!m_available || wait == 0 || Visible().revision > after) {
    Render(*responder, after);
    return;
  }
  const std::uint64_t number = m_watch.Add(after, responder);
  After(std::chrono::milliseconds(wait),
        [this, number] { m_watch.Expire(number); });
}

void Configuration::Render(http::Responder& responder,
                           std::uint64_t after) const {
  if (!m_available) {
    ReplyProblem(responder, 503, "the configuration service is unavailable");
    return;
  }
  nlohmann::json documents = nlohmann::json::array();
  for (const auto& [service, document] : Visible().documents) {
    if (document.revision > after) {
      documents.push_back({{"service", service},
                           {"revision", document.revision},
                           {"deleted", document.deleted},
                           {"content", document.content}});
    }
  }
  ReplyJson(responder, 200,
            {{"revision", Visible().revision}, {"documents", documents}});
}

void Configuration::Write(const http::Request& request,
                          const std::string& service,
                          http::Responder& responder) {
  const bool deleted = request.method == "DELETE";
  m_current.documents[service] = {++m_current.revision, deleted,
                                  deleted ? "" : request.body};
  ReplyJson(responder, 200, {{"revision", m_current.revision}});
  if (!m_stale) {
    m_watch.AnswerAll();
  }
}

void Configuration::Control(const http::Request& request,
                            http::Responder& responder) {
  const auto control = ParseObject(request, responder);
  if (control.is_discarded()) {
    return;
  }
  const bool was_stale = m_stale;
  m_available = control.value("available", m_available);
  m_stale = control.value("stale", m_stale);
  if (m_stale && !was_stale) {
    m_frozen = m_current;
  }
  ReplyJson(responder, 200, {{"available", m_available}, {"stale", m_stale}});
  if (!m_available || (was_stale && !m_stale)) {
    m_watch.AnswerAll();
  }
}

void Configuration::CountCall() {
  const std::int64_t second =
      std::chrono::duration_cast<std::chrono::seconds>(
          std::chrono::steady_clock::now().time_since_epoch())
          .count();
  if (second != m_second) {
    m_second = second;
    m_calls_this_second = 0;
  }
  ++m_calls;
  ++m_calls_this_second;
  m_calls_per_second_max =
      std::max(m_calls_per_second_max, m_calls_this_second);
}

}  // namespace radishrudder::standin
