#include "radishrudder/settings/settings.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdlib>
#include <iostream>

#include <cxxopts.hpp>

#include "radishrudder/kernel/nearest.h"
#include "radishrudder/settings/version.h"
#include "value_check.h"

namespace radishrudder::settings {
namespace {

constexpr std::string_view kHelpOption = "help";
constexpr std::string_view kVersionOption = "version";

std::string Quoted(std::string_view text) {
  return "\"" + std::string(text) + "\"";
}

std::string Flag(std::string_view name) {
  return "--" + std::string(name);
}

cxxopts::Options Declare(std::string_view program,
                         std::string_view purpose,
                         std::span<const Option> options) {
  cxxopts::Options declared{std::string(program), std::string(purpose)};
  auto add = declared.add_options();
  add("h,help", "Print this help and exit.");
  add("version", "Print the version and exit.");
  for (const Option& option : options) {
    const auto value = cxxopts::value<std::string>();
    if (option.kind == ValueKind::kSwitch) {
      value->implicit_value("true");
    }
    add(option.name, option.help, value);
  }
  declared.allow_unrecognised_options();
  return declared;
}

const Option* FindOption(std::span<const Option> options,
                         std::string_view name) {
  const auto found = std::ranges::find(options, name, &Option::name);
  return found == options.end() ? nullptr : &*found;
}

// The command line cut into what cxxopts parses and what it must not see.
struct Arguments {
  std::vector<std::string> parsed;
  std::vector<std::string> positional;  // After "--".
};

Arguments Split(std::span<const std::string> arguments) {
  const auto end = std::ranges::find(arguments, "--");
  Arguments split;
  split.parsed.assign(arguments.begin(), end);
  if (end != arguments.end()) {
    split.positional.assign(end + 1, arguments.end());
  }
  return split;
}

// cxxopts throws when the last flag lacks its value; report it here so that
// the other findings are still made.
void RemoveLastWithoutValue(std::span<const Option> options,
                            std::vector<std::string>& arguments,
                            kernel::Findings& findings) {
  if (arguments.empty() || !arguments.back().starts_with("--")) {
    return;
  }
  const std::string last = arguments.back();
  const Option* const option = FindOption(options, last.substr(2));
  if (option == nullptr || option->kind == ValueKind::kSwitch) {
    return;
  }
  arguments.pop_back();
  findings.Error({last, 0, 0, ""}, "no value is given", ValidValues(*option));
}

std::string NearestFlag(std::span<const Option> options,
                        std::string_view name) {
  std::vector<std::string_view> names{kHelpOption, kVersionOption};
  for (const Option& option : options) {
    names.push_back(option.name);
  }
  const std::string_view nearest = kernel::Nearest(name, names);
  return nearest.empty() ? "the flags that --help lists" : Flag(nearest);
}

void ReportUnknownFlag(std::span<const Option> options,
                       std::string_view argument,
                       kernel::Findings& findings) {
  const std::string_view flag = argument.substr(0, argument.find('='));
  const std::size_t dashes = flag.find_first_not_of('-');
  const std::string_view name =
      dashes == std::string_view::npos ? "" : flag.substr(dashes);
  findings.Error({std::string(flag), 0, 0, ""}, "there is no such flag",
                 NearestFlag(options, name));
}

void TakeUnmatched(std::span<const Option> options,
                   const std::vector<std::string>& unmatched,
                   CommandLine& command_line,
                   kernel::Findings& findings) {
  for (const std::string& argument : unmatched) {
    if (argument.size() > 1 && argument.starts_with('-')) {
      ReportUnknownFlag(options, argument, findings);
    } else {
      command_line.positional.push_back(argument);
    }
  }
}

// Sets the value given by a flag; returns whether one was given.
bool TakeFlag(const Option& option,
              const cxxopts::ParseResult& result,
              Values& values,
              kernel::Findings& findings) {
  const std::size_t count = result.count(option.name);
  if (count == 0) {
    return false;
  }
  const auto value = result[option.name].as<std::string>();
  if (count > 1) {
    findings.Error({Flag(option.name), 0, 0, ""},
                   "is given " + std::to_string(count) + " times",
                   "to give it once");
  } else if (!IsValid(option, value)) {
    findings.Error({Flag(option.name), 0, 0, ""},
                   Quoted(value) + " is not valid", ValidValues(option));
  }
  values.Set(option.name, value);
  return true;
}

// Sets the value given by a variable; returns whether one was given.
bool TakeVariable(const Option& option,
                  const Environment& environment,
                  Values& values,
                  kernel::Findings& findings) {
  const std::string variable = VariableName(option.name);
  const std::optional<std::string> value = environment(variable);
  if (!value || value->empty()) {
    return false;
  }
  if (!IsValid(option, *value)) {
    findings.Error({variable, 0, 0, ""}, Quoted(*value) + " is not valid",
                   ValidValues(option));
  }
  values.Set(option.name, *value);
  return true;
}

void TakeDefault(const Option& option,
                 Values& values,
                 kernel::Findings& findings) {
  if (option.required && option.default_value.empty()) {
    findings.Error(
        {Flag(option.name), 0, 0, ""}, "is required",
        ValidValues(option) + ", here or in " + VariableName(option.name));
  }
  values.Set(option.name, option.default_value);
}

CommandLine ParseDeclared(std::span<const Option> options,
                          std::span<const std::string> arguments,
                          const Environment& environment,
                          kernel::Findings& findings) {
  CommandLine command_line;
  Arguments split = Split(arguments);
  RemoveLastWithoutValue(options, split.parsed, findings);
  std::vector<const char*> pointers{""};
  for (const std::string& argument : split.parsed) {
    pointers.push_back(argument.c_str());
  }
  cxxopts::Options declared = Declare("", "", options);
  const cxxopts::ParseResult result =
      declared.parse(static_cast<int>(pointers.size()), pointers.data());
  command_line.show_help = result.count(std::string(kHelpOption)) > 0;
  command_line.show_version = result.count(std::string(kVersionOption)) > 0;
  TakeUnmatched(options, result.unmatched(), command_line, findings);
  command_line.positional.insert(command_line.positional.end(),
                                 split.positional.begin(),
                                 split.positional.end());
  for (const Option& option : options) {
    if (!TakeFlag(option, result, command_line.values, findings) &&
        !TakeVariable(option, environment, command_line.values, findings)) {
      TakeDefault(option, command_line.values, findings);
    }
  }
  return command_line;
}

std::string DescribeOption(const Option& option) {
  std::string text = "  " + Flag(option.name);
  if (option.kind != ValueKind::kSwitch) {
    text += "=VALUE";
  }
  text += "  (" + VariableName(option.name) + ")\n      " + option.help + "\n";
  if (option.kind == ValueKind::kSwitch) {
    return text;
  }
  text += "      Valid: " + ValidValues(option) + ".";
  if (!option.default_value.empty()) {
    text += " Default: " + option.default_value + ".";
  } else if (option.required) {
    text += " Required.";
  }
  return text + "\n";
}

void RejectPositional(const std::vector<std::string>& positional,
                      std::string_view program,
                      kernel::Findings& findings) {
  for (const std::string& argument : positional) {
    findings.Error({Quoted(argument), 0, 0, ""}, "is not a flag",
                   std::string(program) + " takes flags only");
  }
}

std::optional<std::string> SystemEnvironment(std::string_view name) {
  const char* const value = std::getenv(std::string(name).c_str());
  return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

}  // namespace

const std::string& Values::Text(std::string_view name) const {
  static const std::string none;
  const auto found = m_values.find(name);
  return found == m_values.end() ? none : found->second;
}

std::int64_t Values::Integer(std::string_view name) const {
  const std::string& text = Text(name);
  std::int64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

bool Values::Switch(std::string_view name) const {
  return Text(name) == "true";
}

void Values::Set(std::string name, std::string value) {
  m_values.insert_or_assign(std::move(name), std::move(value));
}

std::string VariableName(std::string_view option_name) {
  std::string variable = "RADISHRUDDER_";
  for (const char letter : option_name) {
    variable += letter == '-' ? '_'
                              : static_cast<char>(std::toupper(
                                    static_cast<unsigned char>(letter)));
  }
  return variable;
}

CommandLine Parse(std::span<const Option> options,
                  std::span<const std::string> arguments,
                  const Environment& environment,
                  kernel::Findings& findings) {
  try {
    return ParseDeclared(options, arguments, environment, findings);
  } catch (const std::exception& error) {
    findings.Error({"command line", 0, 0, ""}, error.what(),
                   "the flags that --help lists");
    return {};
  }
}

std::string Help(std::string_view program,
                 std::string_view purpose,
                 std::span<const Option> options,
                 std::string_view positional) {
  std::string text = "Usage: " + std::string(program) + " [--flag=value]...";
  if (!positional.empty()) {
    text += " " + std::string(positional);
  }
  text += "\n\n" + std::string(purpose) + "\n\nSettings:\n";
  for (const Option& option : options) {
    text += DescribeOption(option);
  }
  text += "  -h, --help\n      Print this help and exit.\n";
  text += "  --version\n      Print the version and exit.\n\n";
  text += "A flag goes before its environment variable.\n";
  text += "Exit codes: 0 success, 1 failure, 2 wrong usage.\n";
  return text;
}

Start ParseMain(std::string_view program,
                std::string_view purpose,
                std::span<const Option> options,
                int argc,
                const char* const* argv,
                std::string_view positional) {
  const std::vector<std::string> arguments(argv + (argc > 0 ? 1 : 0),
                                           argv + argc);
  kernel::Findings findings;
  CommandLine command_line =
      Parse(options, arguments, SystemEnvironment, findings);
  if (command_line.show_help) {
    std::cout << Help(program, purpose, options, positional) << std::flush;
    return {std::nullopt, kExitSuccess};
  }
  if (command_line.show_version) {
    std::cout << program << " " << kVersion << std::endl;
    return {std::nullopt, kExitSuccess};
  }
  if (positional.empty()) {
    RejectPositional(command_line.positional, program, findings);
  }
  if (!findings.Empty()) {
    std::cerr << kernel::Format(findings) << std::flush;
  }
  if (findings.HasErrors()) {
    return {std::nullopt, kExitUsage};
  }
  return {std::move(command_line), kExitSuccess};
}

}  // namespace radishrudder::settings
