#include <iostream>

#include "command.h"
#include "files.h"
#include "report_data.h"
#include "report_page.h"

namespace radishrudder::command_line {
namespace {

int Run(const settings::CommandLine& command_line) {
  const std::vector<std::string>& paths = command_line.positional;
  if (paths.size() != 1) {
    return ReportArguments(paths.size(), "RUN.jsonl, one recorded run");
  }
  kernel::Findings findings;
  const auto text = ReadFile(paths[0], findings);
  const RunData run = ParseRun(paths[0], text.value_or(""), findings);
  std::cerr << kernel::Format(findings);
  if (findings.HasErrors()) {
    return settings::kExitFailure;
  }
  std::cout << RenderReport(run) << std::flush;
  return settings::kExitSuccess;
}

}  // namespace

Command ReportCommand() {
  return {"report",
          "RUN.jsonl",
          "Writes a recorded run as an HTML page with plots to standard "
          "output.",
          {},
          Run};
}

}  // namespace radishrudder::command_line
