#include "revision_watch.h"

#include <utility>

namespace radishrudder::standin {

std::uint64_t RevisionWatch::Add(std::uint64_t after,
                                 std::shared_ptr<http::Responder> responder) {
  m_waiting.push_back({++m_last_number, after, std::move(responder)});
  return m_last_number;
}

void RevisionWatch::Expire(std::uint64_t number) {
  m_waiting.remove_if([&](const Waiting& waiting) {
    if (waiting.number != number) {
      return false;
    }
    m_render(*waiting.responder, waiting.after);
    return true;
  });
}

void RevisionWatch::AnswerAll() {
  for (const Waiting& waiting : std::exchange(m_waiting, {})) {
    m_render(*waiting.responder, waiting.after);
  }
}

}  // namespace radishrudder::standin
