#ifndef RADISHRUDDER_STANDIN_SUBCOMMANDS_H_
#define RADISHRUDDER_STANDIN_SUBCOMMANDS_H_

#include <functional>
#include <memory>
#include <string_view>
#include <vector>

#include "radishrudder/settings/settings.h"
#include "stand_in.h"

namespace radishrudder::standin {

// One stand-in that the program can be.
struct Subcommand {
  std::string_view name;
  std::string_view purpose;
  std::vector<settings::Option> options;  // Beside --port.
  std::function<std::unique_ptr<StandIn>(const settings::Values&, Scheduler&)>
      make;
};

std::vector<Subcommand> AllSubcommands();

}  // namespace radishrudder::standin

#endif  // RADISHRUDDER_STANDIN_SUBCOMMANDS_H_
