#include <unistd.h>

#include <chrono>
#include <iostream>
#include <thread>

#include "command.h"
#include "files.h"
#include "status_fetch.h"
#include "status_view.h"

namespace radishrudder::command_line {
namespace {

constexpr char kClearScreen[] = "\x1b[H\x1b[2J";

bool IsTerminal() {
  return isatty(STDOUT_FILENO) == 1;
}

// Shows all processes once; returns whether all answered.
bool Show(const settings::CommandLine& command_line) {
  const settings::Values& values = command_line.values;
  const auto processes = FetchAll(
      command_line.positional,
      std::chrono::milliseconds(values.Integer("timeout-milliseconds")));
  if (values.Switch("follow") && IsTerminal()) {
    std::cout << kClearScreen;
  }
  std::cout << (values.Switch("json") ? RenderJson(processes)
                                      : RenderStatus(processes))
            << std::flush;
  return AllAnswered(processes);
}

int Run(const settings::CommandLine& command_line) {
  const settings::Values& values = command_line.values;
  if (command_line.positional.empty()) {
    return ReportArguments(0, "URL..., one or more admin ports");
  }
  kernel::Findings findings;
  CheckUrls(command_line.positional, findings);
  if (findings.HasErrors()) {
    std::cerr << kernel::Format(findings);
    return settings::kExitUsage;
  }
  bool all_answered = Show(command_line);
  while (values.Switch("follow") && std::cout) {
    std::this_thread::sleep_for(
        std::chrono::milliseconds(values.Integer("interval-milliseconds")));
    all_answered = Show(command_line);
  }
  return all_answered ? settings::kExitSuccess : settings::kExitFailure;
}

std::vector<settings::Option> Options() {
  return {
      {.name = "json",
       .kind = settings::ValueKind::kSwitch,
       .help = "Print one JSON array, with what each process answered."},
      {.name = "follow",
       .kind = settings::ValueKind::kSwitch,
       .help = "Ask again until interrupted; on a terminal, in place."},
      {.name = "interval-milliseconds",
       .kind = settings::ValueKind::kMilliseconds,
       .help = "Pause between two rounds of --follow.",
       .default_value = "1000",
       .minimum = 100,
       .maximum = 3'600'000},
      {.name = "timeout-milliseconds",
       .kind = settings::ValueKind::kMilliseconds,
       .help = "Longest wait for the answer of a process.",
       .default_value = "2000",
       .minimum = 1,
       .maximum = 60'000},
  };
}

}  // namespace

Command StatusCommand() {
  return {"status", "URL...",
          "Shows agents, entries and rollouts, as the admin ports at the URLs "
          "say.",
          Options(), Run};
}

}  // namespace radishrudder::command_line
