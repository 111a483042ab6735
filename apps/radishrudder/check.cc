#include <algorithm>
#include <iostream>

#include "command.h"
#include "files.h"
#include "radishrudder/routing/built_in_policies.h"
#include "radishrudder/routing/policy.h"

namespace radishrudder::command_line {
namespace {

// Documents may name policies that other builds of the programs add, so one
// that is unknown here is a warning.
void CheckPolicy(const std::string& path,
                 const document::ServiceDocument& document,
                 kernel::Findings& findings) {
  routing::RegisterBuiltInPolicies();
  const std::vector<std::string> names =
      routing::PolicyRegistry::Instance().Names();
  const std::string& policy = document.calls.routing_policy;
  if (std::ranges::find(names, policy) != names.end()) {
    return;
  }
  std::string valid;
  for (const std::string& name : names) {
    valid += (valid.empty() ? "" : ", ") + name;
  }
  findings.Warning({path, 0, 0, "/calls/routingPolicy"},
                   "\"" + policy + "\" is no policy of this program", valid);
}

// Returns whether the document has no errors.
bool CheckFile(const std::string& path) {
  kernel::Findings findings;
  const auto document = ReadDocument(path, findings);
  if (document) {
    CheckPolicy(path, *document, findings);
    std::cout << path << ": valid document of service " << document->service
              << "\n";
  }
  std::cerr << kernel::Format(findings);
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
