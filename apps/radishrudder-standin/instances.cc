#include "instances.h"

#include <utility>

#include "json.h"

namespace radishrudder::standin {

Instances::Instances(Scheduler& scheduler)
    : StandIn(scheduler),
      m_watch([this](http::Responder& responder, std::uint64_t /*after*/) {
        Render(responder);
      }) {}

void Instances::Answer(const http::Request& request,
                       const ResponderPointer& responder) {
  const auto path = SplitPath(request.path);
  const bool names_one = path.size() == 3 && path[1] == "instances";
  if (request.method == "GET" && request.path == "/v1/instances") {
    Read(request, responder);
  } else if (request.method == "PUT" && names_one) {
    Put(request, path[2], *responder);
  } else if (request.method == "DELETE" && names_one) {
    Delete(path[2], *responder);
  } else if (request.method == "PUT" && request.path == "/v1/control") {
    Control(request, *responder);
  } else {
    ReplyNotFound(*responder, request);
  }
}

void Instances::Read(const http::Request& request,
                     const ResponderPointer& responder) {
  const std::uint64_t after = QueryNumber(request.query, "after", 0);
  const std::uint64_t wait = QueryNumber(request.query, "wait_ms", 0);
  if (!m_available || wait == 0 || m_revision > after) {
    Render(*responder);
    return;
  }
  const std::uint64_t number = m_watch.Add(after, responder);
  After(std::chrono::milliseconds(wait),
        [this, number] { m_watch.Expire(number); });
}

void Instances::Render(http::Responder& responder) const {
  if (!m_available) {
    ReplyProblem(responder, 503, "the instance list is unavailable");
    return;
  }
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [name, instance] : m_instances) {
    list.push_back(instance);
  }
  ReplyJson(responder, 200, {{"revision", m_revision}, {"instances", list}});
}

void Instances::Put(const http::Request& request,
                    const std::string& name,
                    http::Responder& responder) {
  auto instance = ParseObject(request, responder);
  if (instance.is_discarded()) {
    return;
  }
  instance["instance"] = name;
  if (!instance.contains("leaving")) {
    instance["leaving"] = false;
  }
  ApplyAfterLag([this, name, instance = std::move(instance)] {
    m_instances[name] = instance;
  });
  ReplyEmpty(responder);
}

void Instances::Delete(const std::string& name, http::Responder& responder) {
  ApplyAfterLag([this, name] { m_instances.erase(name); });
  ReplyEmpty(responder);
}

void Instances::Control(const http::Request& request,
                        http::Responder& responder) {
  const auto control = ParseObject(request, responder);
  if (control.is_discarded()) {
    return;
  }
  m_available = control.value("available", m_available);
  m_lag = std::chrono::milliseconds(control.value("lag_ms", m_lag.count()));
  ReplyJson(responder, 200,
            {{"available", m_available}, {"lag_ms", m_lag.count()}});
  if (!m_available) {
    m_watch.AnswerAll();
  }
}

void Instances::ApplyAfterLag(std::function<void()> change) {
  const auto apply = [this, change = std::move(change)] {
    change();
    ++m_revision;
    m_watch.AnswerAll();
  };
  if (m_lag.count() == 0) {
    apply();
  } else {
    After(m_lag, apply);
  }
}

}  // namespace radishrudder::standin
