#ifndef RADISHRUDDER_DAEMON_RUN_H_
#define RADISHRUDDER_DAEMON_RUN_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <string_view>
#include <system_error>

#include "radishrudder/daemon/node_settings.h"

namespace radishrudder::daemon {

// What `Run` needs of a daemon.
struct DaemonControls {
  std::function<std::error_code()> start;
  std::function<void()> drain;
  std::function<std::size_t()> calls_in_progress;
  std::function<void()> stop;
};

// Runs a daemon until SIGTERM or SIGINT has drained it, a second signal came
// or the drain limit passed. Returns the exit code of the program.
int Run(std::string_view program,
        const NodeSettings& settings,
        const DaemonControls& controls);

// The controls of a daemon class.
template <typename Daemon>
DaemonControls ControlsOf(Daemon& daemon) {
  return {[&daemon] { return daemon.Start(); }, [&daemon] { daemon.Drain(); },
          [&daemon] { return daemon.CallsInProgress(); },
          [&daemon] { daemon.Stop(); }};
}

}  // namespace radishrudder::daemon

#endif  // RADISHRUDDER_DAEMON_RUN_H_
