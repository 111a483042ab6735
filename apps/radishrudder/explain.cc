#include <chrono>
#include <iostream>

#include "command.h"
#include "explanation.h"
#include "files.h"
#include "status_fetch.h"
#include "status_view.h"

namespace radishrudder::command_line {
namespace {

int Run(const settings::CommandLine& command_line) {
  const std::vector<std::string>& arguments = command_line.positional;
  if (arguments.size() < 2) {
    return ReportArguments(arguments.size(),
                           "URL... SERVICE, one or more admin ports and the "
                           "name of a service");
  }
  const std::span<const std::string> urls(arguments.data(),
                                          arguments.size() - 1);
  kernel::Findings findings;
  CheckUrls(urls, findings);
  if (findings.HasErrors()) {
    std::cerr << kernel::Format(findings);
    return settings::kExitUsage;
  }
  const auto processes =
      FetchAll(urls, std::chrono::milliseconds(
                         command_line.values.Integer("timeout-milliseconds")));
  for (const std::string& sentence : Explain(processes, arguments.back())) {
    std::cout << sentence << "\n";
  }
  return AllAnswered(processes) ? settings::kExitSuccess
                                : settings::kExitFailure;
}

}  // namespace

Command ExplainCommand() {
  return {"explain",
          "URL... SERVICE",
          "Says in words why the instances of a service run what they run, and "
          "where its calls would go.",
          {{.name = "timeout-milliseconds",
            .kind = settings::ValueKind::kMilliseconds,
            .help = "Longest wait for the answer of a process.",
            .default_value = "2000",
            .minimum = 1,
            .maximum = 60'000}},
          Run};
}

}  // namespace radishrudder::command_line
