#ifndef RADISHRUDDER_APPS_RADISHRUDDER_STATUS_VIEW_H_
#define RADISHRUDDER_APPS_RADISHRUDDER_STATUS_VIEW_H_

#include <span>
#include <string>
#include <string_view>

#include "status_report.h"

namespace radishrudder::command_line {

// Returns the view for a terminal: a bar for the rollout of each service, then
// agents, entries and the processes without a status.
std::string RenderStatus(std::span<const ProcessStatus> processes);

// Returns a JSON array of {"url", "status"} or {"url", "error"}.
std::string RenderJson(std::span<const ProcessStatus> processes);

// Returns "sha256:" and the first digits, enough to tell versions apart.
std::string ShortDigest(std::string_view digest);

// Returns bytes with a unit, such as "1.5 MiB".
std::string Size(std::uint64_t bytes);

// Returns whether all processes have a status.
bool AllAnswered(std::span<const ProcessStatus> processes);

}  // namespace radishrudder::command_line

#endif  // RADISHRUDDER_APPS_RADISHRUDDER_STATUS_VIEW_H_
