#include <iostream>

#include "command.h"
#include "files.h"
#include "radishrudder/document/compare.h"

namespace radishrudder::command_line {
namespace {

int Run(const settings::CommandLine& command_line) {
  const std::vector<std::string>& paths = command_line.positional;
  if (paths.size() != 2) {
    return ReportArguments(paths.size(), "OLD NEW, two documents");
  }
  kernel::Findings findings;
  const auto before = ReadDocument(paths[0], findings);
  const auto after = ReadDocument(paths[1], findings);
  std::cerr << kernel::Format(findings);
  if (!before || !after) {
    return settings::kExitFailure;
  }
  const auto sentences = document::DescribeChanges(*before, *after);
  for (const std::string& sentence : sentences) {
    std::cout << sentence << "\n";
  }
  if (sentences.empty()) {
    std::cout << "Nothing changes.\n";
  }
  return settings::kExitSuccess;
}

}  // namespace

Command DiffCommand() {
  return {"diff",
          "OLD NEW",
          "Says in words what replacing one document by another will change.",
          {},
          Run};
}

}  // namespace radishrudder::command_line
