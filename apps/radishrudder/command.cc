#include "command.h"

namespace radishrudder::command_line {

std::vector<Command> AllCommands() {
  return {CheckCommand(), DiffCommand(), EventsCommand()};
}

}  // namespace radishrudder::command_line
