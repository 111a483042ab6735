#ifndef RADISHRUDDER_STANDIN_REVISION_WATCH_H_
#define RADISHRUDDER_STANDIN_REVISION_WATCH_H_

#include <cstdint>
#include <functional>
#include <list>
#include <memory>

#include "radishrudder/http/server.h"

namespace radishrudder::standin {

// Reads of a resource with revisions that wait for a change.
class RevisionWatch {
 public:
  // Answers a read of what has changed after a revision.
  using Render = std::function<void(http::Responder&, std::uint64_t after)>;

  explicit RevisionWatch(Render render) : m_render(std::move(render)) {}

  // Keeps a read until `AnswerAll` or `Expire` with the number returned.
  std::uint64_t Add(std::uint64_t after,
                    std::shared_ptr<http::Responder> responder);
  // Answers one read, if it still waits.
  void Expire(std::uint64_t number);
  // Answers every waiting read.
  void AnswerAll();

 private:
  struct Waiting {
    std::uint64_t number;
    std::uint64_t after;
    std::shared_ptr<http::Responder> responder;
  };

  Render m_render;
  std::list<Waiting> m_waiting;
  std::uint64_t m_last_number = 0;
};

}  // namespace radishrudder::standin

#endif  // RADISHRUDDER_STANDIN_REVISION_WATCH_H_
