#include <iostream>

#include "command.h"
#include "files.h"
#include "timeline.h"

namespace radishrudder::command_line {
namespace {

int Run(const settings::CommandLine& command_line) {
  if (command_line.positional.size() < 2) {
    return ReportArguments(command_line.positional.size(), "ID FILE...");
  }
  const std::string& id = command_line.positional.front();
  kernel::Findings findings;
  Timeline timeline;
  for (std::size_t i = 1; i < command_line.positional.size(); ++i) {
    const std::string& path = command_line.positional[i];
    if (const auto text = ReadFile(path, findings)) {
      timeline.Add(path, *text);
    }
  }
  if (!timeline.Knows(id) && findings.Items().empty()) {
    findings.Error({"\"" + id + "\"", 0, 0, ""},
                   "no record has this id: the call was answered with success, "
                   "was left out (see lines_left_out), never arrived, or its "
                   "process was killed (see 101 process-started)",
                   "an attempt id of these logs");
  }
  std::cout << timeline.DescribeClocks() << timeline.Describe(id);
  if (timeline.OtherLines() > 0) {
    std::cerr << timeline.OtherLines() << " lines are no records\n";
  }
  std::cerr << kernel::Format(findings);
  return findings.Items().empty() ? settings::kExitSuccess
                                  : settings::kExitFailure;
}

}  // namespace

Command TraceCommand() {
  return {"trace",
          "ID FILE...",
          "Tells what the logs of several processes say of one call.",
          {},
          Run};
}

}  // namespace radishrudder::command_line
