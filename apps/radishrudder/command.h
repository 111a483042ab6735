#ifndef RADISHRUDDER_APPS_RADISHRUDDER_COMMAND_H_
#define RADISHRUDDER_APPS_RADISHRUDDER_COMMAND_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "radishrudder/settings/settings.h"

namespace radishrudder::command_line {

// One subcommand of the operator's program.
struct Command {
  std::string_view name;
  std::string_view arguments;  // For example "FILE...".
  std::string_view purpose;    // One sentence.
  std::vector<settings::Option> options;
  // Runs with checked settings; returns the exit code.
  int (*run)(const settings::CommandLine& command_line);
};

// Each in a file of its own, named after it.
Command CheckCommand();
Command CheckConfigurationCommand();
Command DiffCommand();
Command EventsCommand();
Command ExplainCommand();
Command ManifestCommand();
Command ReportCommand();
Command StatusCommand();
Command TraceCommand();

// Returns all commands in order of name.
std::vector<Command> AllCommands();

// Runs the program; returns its exit code.
int RunProgram(int argc, const char* const* argv);

}  // namespace radishrudder::command_line

#endif  // RADISHRUDDER_APPS_RADISHRUDDER_COMMAND_H_
