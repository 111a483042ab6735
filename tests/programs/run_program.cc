#include "tests/programs/run_program.h"

#include <gtest/gtest.h>

#include "apps/radishrudder/command.h"

namespace radishrudder::command_line {

Result RunWith(const std::vector<std::string>& arguments) {
  std::vector<const char*> argv{"radishrudder"};
  for (const std::string& argument : arguments) {
    argv.push_back(argument.c_str());
  }
  testing::internal::CaptureStdout();
  testing::internal::CaptureStderr();
  Result result;
  result.exit_code = RunProgram(static_cast<int>(argv.size()), argv.data());
  result.output = testing::internal::GetCapturedStdout();
  result.errors = testing::internal::GetCapturedStderr();
  return result;
}

}  // namespace radishrudder::command_line
