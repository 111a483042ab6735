#ifndef RADISHRUDDER_APPS_RADISHRUDDER_CONFIGURATION_REPORT_H_
#define RADISHRUDDER_APPS_RADISHRUDDER_CONFIGURATION_REPORT_H_

#include <string>

#include "platform/configuration_text.h"

namespace radishrudder::command_line {

// Returns the changes, one per line, and a summary; without findings.
std::string TextReport(const std::string& path,
                       const platform::CheckedConfiguration& checked,
                       bool compared);

// Returns one JSON object with the file, its version (null if unreadable),
// findings and changes, and a line break.
std::string JsonReport(const std::string& path,
                       const platform::CheckedConfiguration& checked);

}  // namespace radishrudder::command_line

#endif  // RADISHRUDDER_APPS_RADISHRUDDER_CONFIGURATION_REPORT_H_
