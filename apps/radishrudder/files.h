#ifndef RADISHRUDDER_APPS_RADISHRUDDER_FILES_H_
#define RADISHRUDDER_APPS_RADISHRUDDER_FILES_H_

#include <optional>
#include <string>

#include "radishrudder/document/service_document.h"
#include "radishrudder/kernel/findings.h"

namespace radishrudder::command_line {

// Returns a file's content; what keeps it from being read is a finding.
std::optional<std::string> ReadFile(const std::string& path,
                                    kernel::Findings& findings);

// Reads and parses a service document.
std::optional<document::ServiceDocument> ReadDocument(
    const std::string& path,
    kernel::Findings& findings);

// Reports that a command takes another number of arguments than was given.
// Returns the exit code.
int ReportArguments(std::size_t given, const std::string& valid);

}  // namespace radishrudder::command_line

#endif  // RADISHRUDDER_APPS_RADISHRUDDER_FILES_H_
