#ifndef RADISHRUDDER_STANDIN_STAND_IN_H_
#define RADISHRUDDER_STANDIN_STAND_IN_H_

#include <chrono>
#include <functional>
#include <memory>
#include <mutex>

#include "radishrudder/http/server.h"
#include "scheduler.h"

namespace radishrudder::standin {

using ResponderPointer = std::shared_ptr<http::Responder>;

// Small fake of one part of the platform, behind HTTP. Its requests and timers
// run one at a time, under its lock.
class StandIn {
 public:
  explicit StandIn(Scheduler& scheduler) : m_scheduler(scheduler) {}
  virtual ~StandIn() = default;
  StandIn(const StandIn&) = delete;
  StandIn& operator=(const StandIn&) = delete;

  void Handle(const http::Request& request, const ResponderPointer& responder);

 protected:
  // Answers one request, now or later.
  virtual void Answer(const http::Request& request,
                      const ResponderPointer& responder) = 0;

  // Runs `function` later under the lock.
  void After(std::chrono::nanoseconds delay, std::function<void()> function);
  // Runs `function` under the lock when the caller goes.
  void OnGone(http::Responder& responder, std::function<void()> function);

 private:
  Scheduler& m_scheduler;
  std::mutex m_mutex;
};

}  // namespace radishrudder::standin

#endif  // RADISHRUDDER_STANDIN_STAND_IN_H_
