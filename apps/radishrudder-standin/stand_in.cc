#include "stand_in.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "json.h"

namespace radishrudder::standin {

void StandIn::Handle(const http::Request& request,
                     const ResponderPointer& responder) {
  const std::lock_guard lock(m_mutex);
  try {
    Answer(request, responder);
  } catch (const nlohmann::json::exception& error) {
    // A member of the body has the wrong type.
    ReplyProblem(*responder, 400, error.what());
  }
}

void StandIn::After(std::chrono::nanoseconds delay,
                    std::function<void()> function) {
  m_scheduler.After(delay, [this, function = std::move(function)] {
    const std::lock_guard lock(m_mutex);
    function();
  });
}

void StandIn::OnGone(http::Responder& responder,
                     std::function<void()> function) {
  responder.OnGone([this, function = std::move(function)] {
    const std::lock_guard lock(m_mutex);
    function();
  });
}

}  // namespace radishrudder::standin
