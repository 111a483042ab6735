#include "scheduler.h"

#include <asio/steady_timer.hpp>
#include <memory>
#include <utility>

namespace radishrudder::standin {

Scheduler::Scheduler()
    : m_work(asio::make_work_guard(m_context)),
      m_thread([this] { m_context.run(); }) {}

Scheduler::~Scheduler() {
  m_context.stop();
  m_thread.join();
}

void Scheduler::After(std::chrono::nanoseconds delay,
                      std::function<void()> function) {
  auto timer = std::make_shared<asio::steady_timer>(m_context, delay);
  timer->async_wait(
      [timer, function = std::move(function)](const asio::error_code& error) {
        if (!error) {
          function();
        }
      });
}

}  // namespace radishrudder::standin
