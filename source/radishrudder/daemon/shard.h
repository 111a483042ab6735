#ifndef RADISHRUDDER_DAEMON_SHARD_H_
#define RADISHRUDDER_DAEMON_SHARD_H_

#include <algorithm>
#include <asio.hpp>
#include <chrono>
#include <concepts>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

#include "radishrudder/kernel/time.h"

namespace radishrudder::daemon {

// A state machine that a shard can hold.
template <typename Core, typename Output>
concept StateMachine = requires(Core core, kernel::Time now) {
  {core.OnTick(now)};
  { core.NextTick() } -> std::same_as<kernel::Time>;
  { core.TakeOutputs() } -> std::same_as<std::vector<Output>>;
};

// Holds one state machine under its own lock, drives its timer, and hands its
// outputs to `dispatch` in order, without the lock.
template <typename Core, typename Output>
requires StateMachine<Core, Output>
class Shard {
 public:
  using Dispatch = std::function<void(Output)>;

  template <typename... Arguments>
  Shard(asio::io_context& context, Dispatch dispatch, Arguments&&... arguments)
      : m_strand(asio::make_strand(context)),
        m_timer(context),
        m_dispatch(std::move(dispatch)),
        m_core(std::forward<Arguments>(arguments)...) {}

  // Calls `action(core, now)` under the lock and hands out what follows.
  template <typename Action>
  void Run(Action action) {
    const std::lock_guard lock(m_mutex);
    action(m_core, std::chrono::steady_clock::now());
    HandOut();
    Arm();
  }

  // Waits until the outputs so far have been handed to their consumer. Returns
  // whether that happened within the time.
  bool AwaitOutputs(std::chrono::milliseconds limit) {
    const auto reached = std::make_shared<std::promise<void>>();
    std::future<void> future = reached->get_future();
    asio::post(m_strand, [reached] { reached->set_value(); });
    return future.wait_for(limit) == std::future_status::ready;
  }

  // Calls `question(core)` under the lock and returns its answer.
  template <typename Question>
  auto Ask(Question question) const {
    const std::lock_guard lock(m_mutex);
    return question(m_core);
  }

 private:
  // Bounds the rate of ticks if a state machine wants them all the time.
  static constexpr std::chrono::milliseconds kShortestTick{1};

  // Requires the lock, which keeps the order of outputs.
  void HandOut() {
    std::vector<Output> outputs = m_core.TakeOutputs();
    if (outputs.empty()) {
      return;
    }
    asio::post(m_strand, [this, outputs = std::move(outputs)]() mutable {
      for (Output& output : outputs) {
        m_dispatch(std::move(output));
      }
    });
  }

  // Requires the lock.
  void Arm() {
    const kernel::Time wanted = m_core.NextTick();
    if (wanted == m_armed || wanted == kernel::Time::max()) {
      return;
    }
    m_armed = wanted;
    const kernel::Time earliest =
        std::chrono::steady_clock::now() + kShortestTick;
    m_timer.expires_at(std::max(wanted, earliest));
    m_timer.async_wait([this](const std::error_code& error) {
      if (!error) {
        Tick();
      }
    });
  }

  void Tick() {
    const std::lock_guard lock(m_mutex);
    m_armed = kernel::Time::max();
    m_core.OnTick(std::chrono::steady_clock::now());
    HandOut();
    Arm();
  }

  mutable std::mutex m_mutex;
  asio::strand<asio::io_context::executor_type> m_strand;
  asio::steady_timer m_timer;
  Dispatch m_dispatch;
  Core m_core;
  kernel::Time m_armed = kernel::Time::max();
};

// Joins lambdas into one visitor for std::visit.
template <typename... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace radishrudder::daemon

#endif  // RADISHRUDDER_DAEMON_SHARD_H_
