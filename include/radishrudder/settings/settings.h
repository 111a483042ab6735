#ifndef RADISHRUDDER_SETTINGS_SETTINGS_H_
#define RADISHRUDDER_SETTINGS_SETTINGS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "radishrudder/kernel/findings.h"

namespace radishrudder::settings {

// kAddress is an IP number, with or without ":port"; kUrl is http or https;
// kSwitch takes no value and is "true" when given.
enum class ValueKind {
  kText,
  kInteger,
  kAddress,
  kUrl,
  kMilliseconds,
  kBytes,
  kSwitch
};

// One setting of a program: a flag `--name` and an environment variable
// `RADISHRUDDER_NAME` (upper case, dashes as underscores). A flag wins.
struct Option {
  std::string name = {};
  ValueKind kind = ValueKind::kText;
  std::string help = {};           // One sentence, with the unit.
  std::string default_value = {};  // Empty and `required`: must be given.
  bool required = false;
  std::int64_t minimum = 0;  // For numbers, inclusive.
  std::int64_t maximum = INT64_MAX;
  std::vector<std::string> choices = {};  // For text; empty: any.
};

// Checked values of all options, by name.
class Values {
 public:
  const std::string& Text(std::string_view name) const;
  std::int64_t Integer(std::string_view name) const;
  bool Switch(std::string_view name) const;
  void Set(std::string name, std::string value);

 private:
  std::map<std::string, std::string, std::less<>> m_values;
};

// What the command line asks for.
struct CommandLine {
  Values values;
  std::vector<std::string> positional;
  bool show_help = false;
  bool show_version = false;
};

using Environment =
    std::function<std::optional<std::string>(std::string_view name)>;

// Parses flags and environment variables against `options`. Every finding
// names the flag or variable that it is about; all are reported together.
CommandLine Parse(std::span<const Option> options,
                  std::span<const std::string> arguments,
                  const Environment& environment,
                  kernel::Findings& findings);

// Returns the environment variable of an option: RADISHRUDDER_NAME.
std::string VariableName(std::string_view option_name);

// Returns the help text of a program. `positional` names what it takes beside
// options, for example "FILE..."; empty if it takes nothing.
std::string Help(std::string_view program,
                 std::string_view purpose,
                 std::span<const Option> options,
                 std::string_view positional = "");

// Exit codes of every program.
inline constexpr int kExitSuccess = 0;
inline constexpr int kExitFailure = 1;
inline constexpr int kExitUsage = 2;

// Handles --help, --version and findings for a main function. Returns the
// values, or the exit code with which the program must end. Positional
// arguments are findings unless `positional` names them.
struct Start {
  std::optional<CommandLine> command_line;
  int exit_code = kExitSuccess;
};
Start ParseMain(std::string_view program,
                std::string_view purpose,
                std::span<const Option> options,
                int argc,
                const char* const* argv,
                std::string_view positional = "");

}  // namespace radishrudder::settings

#endif  // RADISHRUDDER_SETTINGS_SETTINGS_H_
