#include <algorithm>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

#include "radishrudder/kernel/findings.h"
#include "radishrudder/settings/settings.h"
#include "radishrudder/settings/version.h"
#include "serve.h"
#include "subcommands.h"

namespace radishrudder::standin {
namespace {

constexpr std::string_view kProgram = "radishrudder-standin";
constexpr std::int64_t kMaximumPort = 65535;

std::string Overview(const std::vector<Subcommand>& subcommands) {
  std::string text =
      "Usage: radishrudder-standin STAND-IN [--flag=value]...\n\n"
      "Small fakes of the platform for tests and the quick start.\n\n"
      "Stand-ins:\n";
  for (const Subcommand& subcommand : subcommands) {
    text += "  " + std::string(subcommand.name) + "\n      " +
            std::string(subcommand.purpose) + "\n";
  }
  return text + "\nradishrudder-standin STAND-IN --help describes one.\n";
}

int ReportUnknown(std::string_view name,
                  const std::vector<Subcommand>& subcommands) {
  std::string all;
  for (const Subcommand& subcommand : subcommands) {
    all += (all.empty() ? "" : ", ") + std::string(subcommand.name);
  }
  kernel::Findings findings;
  findings.Error({"\"" + std::string(name) + "\"", 0, 0, ""},
                 "is not a stand-in", all);
  std::cerr << kernel::Format(findings);
  return settings::kExitUsage;
}

int RunSubcommand(const Subcommand& subcommand,
                  int argc,
                  const char* const* argv) {
  std::vector<settings::Option> options = subcommand.options;
  options.push_back({.name = "port",
                     .kind = settings::ValueKind::kInteger,
                     .help = "Port on 127.0.0.1; 0 is any free one.",
                     .default_value = "0",
                     .maximum = kMaximumPort});
  const std::string program =
      std::string(kProgram) + " " + std::string(subcommand.name);
  const settings::Start start =
      settings::ParseMain(program, subcommand.purpose, options, argc, argv);
  if (!start.command_line) {
    return start.exit_code;
  }
  const settings::Values& values = start.command_line->values;
  return Serve(
      static_cast<std::uint16_t>(values.Integer("port")),
      [&](Scheduler& scheduler) { return subcommand.make(values, scheduler); });
}

int Run(int argc, const char* const* argv) {
  const auto subcommands = AllSubcommands();
  if (argc < 2) {
    std::cerr << Overview(subcommands);
    return settings::kExitUsage;
  }
  const std::string_view name = argv[1];
  if (name == "--help") {
    std::cout << Overview(subcommands);
    return settings::kExitSuccess;
  }
  if (name == "--version") {
    std::cout << kProgram << " " << settings::kVersion << "\n";
    return settings::kExitSuccess;
  }
  const auto found = std::ranges::find(subcommands, name, &Subcommand::name);
  return found == subcommands.end() ? ReportUnknown(name, subcommands)
                                    : RunSubcommand(*found, argc - 1, argv + 1);
}

}  // namespace
}  // namespace radishrudder::standin

int main(int argc, char** argv) {
  return radishrudder::standin::Run(argc, argv);
}
