#ifndef RADISHRUDDER_STANDIN_SCHEDULER_H_
#define RADISHRUDDER_STANDIN_SCHEDULER_H_

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <thread>

namespace radishrudder::standin {

// Runs functions later, on one thread of its own. Those not yet due when it
// is destroyed are dropped.
class Scheduler {
 public:
  Scheduler();
  ~Scheduler();
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  void After(std::chrono::nanoseconds delay, std::function<void()> function);

 private:
  asio::io_context m_context;
  asio::executor_work_guard<asio::io_context::executor_type> m_work;
  std::thread m_thread;
};

}  // namespace radishrudder::standin

#endif  // RADISHRUDDER_STANDIN_SCHEDULER_H_
