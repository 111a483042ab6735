#include "files.h"

#include <cerrno>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <system_error>

#include "radishrudder/settings/settings.h"

namespace radishrudder::command_line {

std::optional<std::string> ReadFile(const std::string& path,
                                    kernel::Findings& findings) {
  constexpr char kValid[] = "the path of a file that can be read";
  std::error_code error;
  if (std::filesystem::is_directory(path, error)) {
    findings.Error({path, 0, 0, ""}, "is a folder", kValid);
    return std::nullopt;
  }
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    const std::error_code cause(errno, std::generic_category());
    findings.Error({path, 0, 0, ""}, "cannot be read: " + cause.message(),
                   kValid);
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

std::optional<document::ServiceDocument> ReadDocument(
    const std::string& path,
    kernel::Findings& findings) {
  const std::optional<std::string> text = ReadFile(path, findings);
  if (!text) {
    return std::nullopt;
  }
  return document::Parse(path, *text, findings);
}

int ReportArguments(std::size_t given, const std::string& valid) {
  kernel::Findings findings;
  findings.Error({"command line", 0, 0, ""},
                 std::to_string(given) + " arguments are given", valid);
  std::cerr << kernel::Format(findings);
  return settings::kExitUsage;
}

}  // namespace radishrudder::command_line
