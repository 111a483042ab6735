#ifndef RADISHRUDDER_APPS_RADISHRUDDER_REPORT_DATA_H_
#define RADISHRUDDER_APPS_RADISHRUDDER_REPORT_DATA_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "radishrudder/kernel/findings.h"

namespace radishrudder::command_line {

// Replicas ready at a time since the start of the run.
struct ReplicaSample {
  double seconds = 0;
  std::uint64_t ready = 0;
};

// Bytes that one link carried in the run.
struct LinkBytes {
  std::string link;
  std::uint64_t bytes = 0;
};

// The latencies of one workspace's calls, in seconds.
struct WorkspaceLatencies {
  std::string workspace;
  std::vector<double> seconds;
};

// One recorded run. docs/help/radishrudder-report.md describes its records.
struct RunData {
  std::string title;
  double bound_seconds = 0;    // Fluid bound of the time to all; 0: unknown.
  std::uint64_t replicas = 0;  // Wanted; 0: unknown.
  std::vector<ReplicaSample> samples;          // In order of time.
  std::vector<LinkBytes> links;                // In order of first mention.
  std::vector<WorkspaceLatencies> workspaces;  // In order of name.
};

// Reads one JSON object a line. Each line that is not a valid record is a
// finding with its number.
RunData ParseRun(std::string_view source,
                 std::string_view text,
                 kernel::Findings& findings);

}  // namespace radishrudder::command_line

#endif  // RADISHRUDDER_APPS_RADISHRUDDER_REPORT_DATA_H_
