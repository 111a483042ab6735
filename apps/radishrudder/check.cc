#include <iostream>

#include "command.h"
#include "files.h"

namespace radishrudder::command_line {
namespace {

// Returns whether the document has no errors.
bool CheckFile(const std::string& path) {
  kernel::Findings findings;
  const auto document = ReadDocument(path, findings);
  std::cerr << kernel::Format(findings);
  if (document) {
    std::cout << path << ": valid document of service " << document->service
              << "\n";
  }
  return document.has_value();
}

int Run(const settings::CommandLine& command_line) {
  if (command_line.positional.empty()) {
    return ReportArguments(0, "FILE..., one or more documents");
  }
  bool all_valid = true;
  for (const std::string& path : command_line.positional) {
    all_valid = CheckFile(path) && all_valid;
  }
  return all_valid ? settings::kExitSuccess : settings::kExitFailure;
}

}  // namespace

Command CheckCommand() {
  return {"check",
          "FILE...",
          "Checks service documents and reports all findings with their "
          "place.",
          {},
          Run};
}

}  // namespace radishrudder::command_line
