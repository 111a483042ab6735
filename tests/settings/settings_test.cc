#include "radishrudder/settings/settings.h"

#include <gtest/gtest.h>

namespace radishrudder::settings {
namespace {

using Variables = std::map<std::string, std::string, std::less<>>;

std::vector<Option> Options() {
  return {
      {.name = "port",
       .kind = ValueKind::kInteger,
       .help = "Port.",
       .default_value = "8080",
       .maximum = 65'535},
      {.name = "instance", .help = "Name of the instance.", .required = true},
      {.name = "listen",
       .kind = ValueKind::kAddress,
       .help = "Address.",
       .default_value = "127.0.0.1"},
      {.name = "store", .kind = ValueKind::kUrl, .help = "Weight store."},
      {.name = "log-level",
       .help = "Level.",
       .default_value = "info",
       .choices = {"debug", "info"}},
      {.name = "json", .kind = ValueKind::kSwitch, .help = "As JSON."},
  };
}

struct Outcome {
  CommandLine command_line;
  kernel::Findings findings;
};

Outcome ParseWith(const std::vector<std::string>& arguments,
                  const Variables& variables = {}) {
  const std::vector<Option> options = Options();
  Outcome outcome;
  const Environment environment =
      [&](std::string_view name) -> std::optional<std::string> {
    const auto found = variables.find(name);
    return found == variables.end() ? std::nullopt
                                    : std::optional(found->second);
  };
  outcome.command_line =
      Parse(options, arguments, environment, outcome.findings);
  return outcome;
}

struct FindingCase {
  const char* name;
  std::vector<std::string> arguments;
  Variables variables;
  const char* expected;
};

void PrintTo(const FindingCase& test, std::ostream* stream) {
  *stream << test.name;
}

class SettingsFindingTest : public testing::TestWithParam<FindingCase> {};

TEST_P(SettingsFindingTest, NamesFlagValueAndWhatIsValid) {
  const Outcome outcome = ParseWith(GetParam().arguments, GetParam().variables);
  EXPECT_EQ(kernel::Format(outcome.findings), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    SettingsFindingTest,
    testing::Values(
        FindingCase{"None", {"--instance=a"}, {}, ""},
        FindingCase{"Required",
                    {},
                    {},
                    "--instance: error: is required; valid: a text that is "
                    "not empty, here or in RADISHRUDDER_INSTANCE\n"},
        FindingCase{"OutOfRange",
                    {"--instance=a", "--port", "70000"},
                    {},
                    "--port: error: \"70000\" is not valid; valid: a whole "
                    "number from 0 to 65535\n"},
        FindingCase{"Negative",
                    {"--instance=a", "--port", "-1"},
                    {},
                    "--port: error: \"-1\" is not valid; valid: a whole "
                    "number from 0 to 65535\n"},
        FindingCase{"VariableWithRest",
                    {"--instance=a"},
                    {{"RADISHRUDDER_PORT", "80x"}},
                    "RADISHRUDDER_PORT: error: \"80x\" is not valid; valid: "
                    "a whole number from 0 to 65535\n"},
        FindingCase{"Choice",
                    {"--instance=a", "--log-level=loud"},
                    {},
                    "--log-level: error: \"loud\" is not valid; valid: "
                    "debug, info\n"},
        FindingCase{"HostNameAsAddress",
                    {"--instance=a", "--listen=localhost"},
                    {},
                    "--listen: error: \"localhost\" is not valid; valid: an "
                    "IP number, with or without a port, such as "
                    "127.0.0.1:8080\n"},
        FindingCase{"UrlWithoutScheme",
                    {"--instance=a", "--store=127.0.0.1:9"},
                    {},
                    "--store: error: \"127.0.0.1:9\" is not valid; valid: a "
                    "URL such as http://127.0.0.1:8080\n"},
        FindingCase{"Misspelled",
                    {"--instance=a", "--prot=1"},
                    {},
                    "--prot: error: there is no such flag; valid: --port\n"},
        FindingCase{"NoValueAtTheEnd",
                    {"--instance=a", "--listen"},
                    {},
                    "--listen: error: no value is given; valid: an IP "
                    "number, with or without a port, such as "
                    "127.0.0.1:8080\n"},
        FindingCase{"Twice",
                    {"--instance=a", "--port=1", "--port=2"},
                    {},
                    "--port: error: is given 2 times; valid: to give it "
                    "once\n"},
        FindingCase{"AllTogether",
                    {"--port=x", "--unlike-any"},
                    {{"RADISHRUDDER_LOG_LEVEL", "loud"}},
                    "--unlike-any: error: there is no such flag; valid: the "
                    "flags that --help lists\n"
                    "--port: error: \"x\" is not valid; valid: a whole "
                    "number from 0 to 65535\n"
                    "--instance: error: is required; valid: a text that is "
                    "not empty, here or in RADISHRUDDER_INSTANCE\n"
                    "RADISHRUDDER_LOG_LEVEL: error: \"loud\" is not valid; "
                    "valid: debug, info\n"}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(SettingsTest, FlagGoesBeforeVariableAndVariableBeforeDefault) {
  const Variables variables{{"RADISHRUDDER_PORT", "1"},
                            {"RADISHRUDDER_INSTANCE", "a"}};
  EXPECT_EQ(
      ParseWith({"--port=2"}, variables).command_line.values.Integer("port"),
      2);
  EXPECT_EQ(ParseWith({}, variables).command_line.values.Integer("port"), 1);
  EXPECT_EQ(ParseWith({"--instance=a"}).command_line.values.Integer("port"),
            8080);
}

TEST(SettingsTest, EmptyVariableCountsAsUnset) {
  const Outcome outcome =
      ParseWith({"--instance=a"}, {{"RADISHRUDDER_PORT", ""}});
  EXPECT_TRUE(outcome.findings.Empty());
  EXPECT_EQ(outcome.command_line.values.Integer("port"), 8080);
}

TEST(SettingsTest, KeepsPositionalArgumentsInOrder) {
  const Outcome outcome =
      ParseWith({"a,b.json", "--instance", "x", "--json", "c", "--", "--port"});
  const std::vector<std::string> expected{"a,b.json", "c", "--port"};
  EXPECT_EQ(outcome.command_line.positional, expected);
  EXPECT_TRUE(outcome.command_line.values.Switch("json"));
}

TEST(SettingsTest, AcceptsAddressesWithAndWithoutPort) {
  for (const char* const address :
       {"127.0.0.1", "10.0.0.1:80", "::1", "[::1]", "[::1]:80"}) {
    const Outcome outcome =
        ParseWith({"--instance=a", "--listen=" + std::string(address)});
    EXPECT_TRUE(outcome.findings.Empty()) << address;
  }
}

struct ExitCase {
  const char* name;
  std::vector<const char*> arguments;
  std::string_view positional;
  bool runs;
  int exit_code;
};

void PrintTo(const ExitCase& test, std::ostream* stream) {
  *stream << test.name;
}

class ParseMainTest : public testing::TestWithParam<ExitCase> {};

TEST_P(ParseMainTest, EndsWithItsExitCode) {
  std::vector<const char*> argv{"program"};
  const ExitCase& test = GetParam();
  argv.insert(argv.end(), test.arguments.begin(), test.arguments.end());
  const std::vector<Option> options = Options();
  testing::internal::CaptureStdout();
  testing::internal::CaptureStderr();
  const Start start =
      ParseMain("program", "Purpose.", options, static_cast<int>(argv.size()),
                argv.data(), test.positional);
  testing::internal::GetCapturedStdout();
  testing::internal::GetCapturedStderr();
  EXPECT_EQ(start.command_line.has_value(), test.runs);
  EXPECT_EQ(start.exit_code, test.exit_code);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    ParseMainTest,
    testing::Values(
        ExitCase{"Runs", {"--instance=a"}, "", true, kExitSuccess},
        ExitCase{"Help", {"--help"}, "", false, kExitSuccess},
        ExitCase{"Version", {"--version"}, "", false, kExitSuccess},
        ExitCase{"Usage", {}, "", false, kExitUsage},
        ExitCase{"Stray", {"--instance=a", "x"}, "", false, kExitUsage},
        ExitCase{"File", {"--instance=a", "x"}, "FILE", true, kExitSuccess}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(HelpTest, NamesEveryOptionAndItsVariable) {
  const std::vector<Option> options = Options();
  const std::string help = Help("program", "Purpose.", options, "FILE...");
  for (const Option& option : options) {
    EXPECT_NE(help.find("--" + option.name), std::string::npos);
    EXPECT_NE(help.find(VariableName(option.name)), std::string::npos);
  }
  EXPECT_NE(help.find("FILE..."), std::string::npos);
}

}  // namespace
}  // namespace radishrudder::settings
