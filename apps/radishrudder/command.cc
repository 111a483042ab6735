#include "command.h"

#include <algorithm>
#include <iostream>

#include "radishrudder/kernel/nearest.h"
#include "radishrudder/settings/version.h"

namespace radishrudder::command_line {
namespace {

constexpr std::string_view kProgram = "radishrudder";

std::string Overview(const std::vector<Command>& commands) {
  std::string text =
      "Usage: radishrudder COMMAND [--flag=value]... [ARGUMENT]...\n\n"
      "The operator's command line of radishrudder.\n\nCommands:\n";
  for (const Command& command : commands) {
    text += "  " + std::string(command.name) + " " +
            std::string(command.arguments) + "\n      " +
            std::string(command.purpose) + "\n";
  }
  return text +
         "\nradishrudder COMMAND --help describes a command.\n"
         "Exit codes: 0 success, 1 failure, 2 wrong usage.\n";
}

int ReportUnknown(std::string_view name, const std::vector<Command>& commands) {
  std::vector<std::string_view> names;
  std::string all;
  for (const Command& command : commands) {
    names.push_back(command.name);
    all += (all.empty() ? "" : ", ") + std::string(command.name);
  }
  const std::string_view nearest = kernel::Nearest(name, names);
  kernel::Findings findings;
  findings.Error({"\"" + std::string(name) + "\"", 0, 0, ""},
                 "is not a command",
                 nearest.empty() ? all : std::string(nearest));
  std::cerr << kernel::Format(findings);
  return settings::kExitUsage;
}

int RunCommand(const Command& command, int argc, const char* const* argv) {
  const std::string program =
      std::string(kProgram) + " " + std::string(command.name);
  const settings::Start start = settings::ParseMain(
      program, command.purpose, command.options, argc, argv, command.arguments);
  return start.command_line ? command.run(*start.command_line)
                            : start.exit_code;
}

}  // namespace

std::vector<Command> AllCommands() {
  return {CheckCommand(),   CheckConfigurationCommand(),
          DiffCommand(),    EventsCommand(),
          ExplainCommand(), ManifestCommand(),
          ReportCommand(),  StatusCommand(),
          TraceCommand()};
}

int RunProgram(int argc, const char* const* argv) {
  const std::vector<Command> commands = AllCommands();
  if (argc < 2) {
    std::cerr << Overview(commands);
    return settings::kExitUsage;
  }
  const std::string_view name = argv[1];
  if (name == "--help" || name == "-h") {
    std::cout << Overview(commands);
    return settings::kExitSuccess;
  }
  if (name == "--version") {
    std::cout << kProgram << " " << settings::kVersion << "\n";
    return settings::kExitSuccess;
  }
  const auto found = std::ranges::find(commands, name, &Command::name);
  return found == commands.end() ? ReportUnknown(name, commands)
                                 : RunCommand(*found, argc - 1, argv + 1);
}

}  // namespace radishrudder::command_line
