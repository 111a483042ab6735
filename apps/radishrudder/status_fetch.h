#ifndef RADISHRUDDER_APPS_RADISHRUDDER_STATUS_FETCH_H_
#define RADISHRUDDER_APPS_RADISHRUDDER_STATUS_FETCH_H_

#include <chrono>
#include <span>
#include <string>
#include <vector>

#include "radishrudder/kernel/findings.h"
#include "status_report.h"

namespace radishrudder::command_line {

// Asks all admin ports at once; answers in the order of `urls`. A process that
// does not answer within `timeout` has `NoStatus`.
std::vector<ProcessStatus> FetchAll(std::span<const std::string> urls,
                                    std::chrono::milliseconds timeout);

// Reports URLs that are no http or https URLs.
void CheckUrls(std::span<const std::string> urls, kernel::Findings& findings);

}  // namespace radishrudder::command_line

#endif  // RADISHRUDDER_APPS_RADISHRUDDER_STATUS_FETCH_H_
