#include "radishrudder/logging/events.h"

#include <iostream>

#include "command.h"
#include "files.h"

namespace radishrudder::command_line {
namespace {

std::string_view LevelName(logging::Level level) {
  switch (level) {
    case logging::Level::kDebug:
      return "debug";
    case logging::Level::kInfo:
      return "info";
    case logging::Level::kWarning:
      return "warning";
    case logging::Level::kError:
      return "error";
  }
  return "";
}

int Run(const settings::CommandLine& command_line) {
  if (!command_line.positional.empty()) {
    return ReportArguments(command_line.positional.size(), "no arguments");
  }
  for (const logging::Event& event : logging::Catalogue()) {
    std::cout << event.number << " " << event.name << " ("
              << LevelName(event.level) << "): " << event.meaning << "\n";
  }
  return settings::kExitSuccess;
}

}  // namespace

Command EventsCommand() {
  return {"events", "", "Lists the numbered events of the log.", {}, Run};
}

}  // namespace radishrudder::command_line
