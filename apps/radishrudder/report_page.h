#ifndef RADISHRUDDER_APPS_RADISHRUDDER_REPORT_PAGE_H_
#define RADISHRUDDER_APPS_RADISHRUDDER_REPORT_PAGE_H_

#include <string>

#include "report_data.h"

namespace radishrudder::command_line {

// Returns a whole HTML page that loads nothing from elsewhere.
std::string RenderReport(const RunData& run);

}  // namespace radishrudder::command_line

#endif  // RADISHRUDDER_APPS_RADISHRUDDER_REPORT_PAGE_H_
