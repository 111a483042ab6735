#include "radishrudder/daemon/run.h"

#include <asio.hpp>
#include <csignal>
#include <iostream>
#include <string>

#include "radishrudder/kernel/process_signals.h"
#include "radishrudder/logging/events.h"

namespace radishrudder::daemon {
namespace {

// How often a draining daemon looks whether its last call has ended.
constexpr std::chrono::milliseconds kDrainCheck{20};
// A leaving process stays this long, so that its peers hear of it.
constexpr std::chrono::milliseconds kFarewell{500};

// Signals that a daemon handles, until the process is gone. The last
// `asio::signal_set` of a signal restores its default action, which would end a
// process that is stopping; this one is never destroyed.
struct ProcessSignals {
  asio::io_context context{};
  asio::signal_set signals{context, SIGTERM, SIGINT};
};

// Waits for signals and ends the drain.
class Supervisor {
 public:
  Supervisor(const NodeSettings& settings, const DaemonControls& controls)
      : m_settings(settings),
        m_controls(controls),
        m_signals(m_context, SIGTERM, SIGINT),
        m_timer(m_context) {}

  void Wait() {
    AwaitSignal();
    m_context.run();
  }

 private:
  void AwaitSignal() {
    m_signals.async_wait([this](const std::error_code& error, int) {
      if (error) {
        return;
      }
      if (m_draining) {
        End("second signal");
      } else {
        BeginDrain();
        AwaitSignal();
      }
    });
  }

  void BeginDrain() {
    m_draining = true;
    m_began = std::chrono::steady_clock::now();
    logging::Log(logging::kProcessDraining,
                 {{"instance", m_settings.instance},
                  {"calls", std::to_string(m_controls.calls_in_progress())}});
    m_controls.drain();
    AwaitIdle();
  }

  void AwaitIdle() {
    const auto elapsed = std::chrono::steady_clock::now() - m_began;
    if (elapsed >= m_settings.drain_limit) {
      End("drain limit");
      return;
    }
    if (elapsed >= kFarewell && m_controls.calls_in_progress() == 0) {
      End("drained");
      return;
    }
    m_timer.expires_after(kDrainCheck);
    m_timer.async_wait([this](const std::error_code& error) {
      if (!error) {
        AwaitIdle();
      }
    });
  }

  void End(const std::string& reason) {
    const std::size_t cut = m_controls.calls_in_progress();
    if (cut != 0) {
      logging::Log(logging::kCallsCut, {{"instance", m_settings.instance},
                                        {"calls", std::to_string(cut)},
                                        {"reason", reason}});
    }
    m_timer.cancel();
    m_signals.cancel();
    m_context.stop();
  }

  const NodeSettings& m_settings;
  const DaemonControls& m_controls;
  asio::io_context m_context;
  asio::signal_set m_signals;
  asio::steady_timer m_timer;
  bool m_draining = false;
  std::chrono::steady_clock::time_point m_began;
};

}  // namespace

int Run(std::string_view program,
        const NodeSettings& settings,
        const DaemonControls& controls) {
  // SIGHUP among them: flags and environment variables do not change while the
  // process runs. Signals that `asio` reads keep its loop busy for as long as
  // they arrive without a pause, and SIGTERM waits behind them.
  kernel::IgnoreStraySignals();
  static const ProcessSignals* const signals = new ProcessSignals;
  static_cast<void>(signals);
  logging::Initialize(program, settings.log_level);
  Supervisor supervisor(settings, controls);
  if (const std::error_code error = controls.start()) {
    std::cerr << program << ": error: a port of " << settings.listen
              << " cannot be opened: " << error.message()
              << "; valid: an IP number of this instance and free ports\n";
    return settings::kExitFailure;
  }
  logging::Log(logging::kProcessStarted, {{"instance", settings.instance}});
  std::cout << "listening " << settings.instance << std::endl;
  supervisor.Wait();
  controls.stop();
  logging::Log(logging::kProcessStopped, {{"instance", settings.instance}});
  return settings::kExitSuccess;
}

}  // namespace radishrudder::daemon
