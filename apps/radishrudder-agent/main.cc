#include "radishrudder/daemon/agent_daemon.h"
#include "radishrudder/daemon/run.h"
#include "radishrudder/kernel/process_memory.h"
#include "radishrudder/kernel/process_signals.h"
#include "radishrudder/settings/settings.h"

int main(int argc, char** argv) {
  radishrudder::kernel::IgnoreStraySignals();
  radishrudder::kernel::ReturnLargeBlocks();
  using radishrudder::daemon::AgentDaemon;
  using radishrudder::daemon::AgentSettings;
  constexpr std::string_view kProgram = "radishrudder-agent";
  const auto options = radishrudder::daemon::AgentOptions();
  const auto start =
      radishrudder::settings::ParseMain(kProgram,
                                        "Gate of one endpoint: admits calls, "
                                        "brings its weights, gives its orders.",
                                        options, argc, argv);
  if (!start.command_line) {
    return start.exit_code;
  }
  const AgentSettings settings =
      radishrudder::daemon::ParseAgentSettings(start.command_line->values);
  AgentDaemon daemon(settings);
  return radishrudder::daemon::Run(kProgram, settings.node,
                                   radishrudder::daemon::ControlsOf(daemon));
}
