#ifndef RADISHRUDDER_STANDIN_PLAIN_H_
#define RADISHRUDDER_STANDIN_PLAIN_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "execution_log.h"
#include "radishrudder/kernel/random.h"
#include "stand_in.h"

namespace radishrudder::standin {

// Plain service: answers any call with what it was, and records it.
class Plain : public StandIn {
 public:
  // `executions_file` is for `ExecutionLog`.
  Plain(Scheduler& scheduler,
        std::uint64_t seed,
        const std::string& executions_file = "")
      : StandIn(scheduler), m_random(seed), m_log(executions_file) {}

 protected:
  void Answer(const http::Request& request,
              const ResponderPointer& responder) override;

 private:
  void Control(const http::Request& request, http::Responder& responder);
  void Run(const http::Request& request, const ResponderPointer& responder);

  kernel::Random m_random;
  ExecutionLog m_log;
  std::chrono::milliseconds m_delay{0};
  double m_fail_percent = 0;
};

}  // namespace radishrudder::standin

#endif  // RADISHRUDDER_STANDIN_PLAIN_H_
