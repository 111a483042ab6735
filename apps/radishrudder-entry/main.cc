#include "radishrudder/daemon/entry_daemon.h"
#include "radishrudder/daemon/run.h"
#include "radishrudder/kernel/process_memory.h"
#include "radishrudder/kernel/process_signals.h"
#include "radishrudder/settings/settings.h"

int main(int argc, char** argv) {
  radishrudder::kernel::IgnoreStraySignals();
  radishrudder::kernel::ReturnLargeBlocks();
  using radishrudder::daemon::EntryDaemon;
  using radishrudder::daemon::EntrySettings;
  constexpr std::string_view kProgram = "radishrudder-entry";
  const auto options = radishrudder::daemon::EntryOptions();
  const auto start = radishrudder::settings::ParseMain(
      kProgram,
      "Takes callers' HTTP, admits, routes, retries and streams answers back.",
      options, argc, argv);
  if (!start.command_line) {
    return start.exit_code;
  }
  const EntrySettings settings =
      radishrudder::daemon::ParseEntrySettings(start.command_line->values);
  EntryDaemon daemon(settings);
  return radishrudder::daemon::Run(kProgram, settings.node,
                                   radishrudder::daemon::ControlsOf(daemon));
}
