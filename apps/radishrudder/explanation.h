#ifndef RADISHRUDDER_APPS_RADISHRUDDER_EXPLANATION_H_
#define RADISHRUDDER_APPS_RADISHRUDDER_EXPLANATION_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "status_report.h"

namespace radishrudder::command_line {

// Returns sentences that say why the instances of a service run what they run,
// and where its calls would go now.
std::vector<std::string> Explain(std::span<const ProcessStatus> processes,
                                 std::string_view service);

}  // namespace radishrudder::command_line

#endif  // RADISHRUDDER_APPS_RADISHRUDDER_EXPLANATION_H_
