#ifndef RADISHRUDDER_TESTS_PROGRAMS_RUN_PROGRAM_H_
#define RADISHRUDDER_TESTS_PROGRAMS_RUN_PROGRAM_H_

#include <string>
#include <vector>

namespace radishrudder::command_line {

struct Result {
  int exit_code = 0;
  std::string output;
  std::string errors;
};

// Runs the operator's program in this process with captured output.
Result RunWith(const std::vector<std::string>& arguments);

}  // namespace radishrudder::command_line

#endif  // RADISHRUDDER_TESTS_PROGRAMS_RUN_PROGRAM_H_
