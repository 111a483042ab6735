#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "radishrudder/settings/settings.h"
#include "tests/programs/run_program.h"

namespace radishrudder::command_line {
namespace {

std::string Case(const std::string& name) {
  return "cases/configuration/" + name;
}

// Guards against a pipeline that sends a configuration with errors, or that
// takes a check which could not run for a clean one.
struct ExitCase {
  const char* name;
  std::vector<std::string> arguments;
  int exit_code;
  const char* in_errors;
};

void PrintTo(const ExitCase& test, std::ostream* stream) {
  *stream << test.name;
}

class CheckConfigurationExitTest : public testing::TestWithParam<ExitCase> {};

TEST_P(CheckConfigurationExitTest, EndsWithCodeAndReason) {
  std::vector<std::string> arguments{"check-configuration"};
  arguments.insert(arguments.end(), GetParam().arguments.begin(),
                   GetParam().arguments.end());
  const Result result = RunWith(arguments);
  EXPECT_EQ(result.exit_code, GetParam().exit_code);
  EXPECT_NE(result.errors.find(GetParam().in_errors), std::string::npos)
      << result.errors;
}

INSTANTIATE_TEST_SUITE_P(
    All,
    CheckConfigurationExitTest,
    testing::Values(
        ExitCase{"Clean", {Case("clean.json")}, 0, ""},
        ExitCase{
            "CleanWithAllDocuments",
            {Case("clean.json"), "--in-force", Case("in_force.json"), "--list",
             Case("list.json"), "--settings", Case("settings.json")},
            0,
            ""},
        ExitCase{"OnlyWarnings",
                 {Case("no_keys.json")},
                 0,
                 "no_keys.json: workspace \"shop\": warning: has no keys"},
        ExitCase{"Contradiction",
                 {Case("contradiction.json")},
                 1,
                 "contradiction.json: route \"chat\": error: timeout of 300"},
        ExitCase{"Truncated",
                 {Case("truncated.json")},
                 1,
                 "truncated.json: error: not a JSON object"},
        ExitCase{"SameVersion",
                 {Case("in_force.json"), "--in-force", Case("in_force.json")},
                 1,
                 "in_force.json: version: error: 6 is not higher"},
        ExitCase{"NoEndpoints",
                 {Case("clean.json"), "--list", Case("empty_list.json")},
                 1,
                 "clean.json: service \"s\": error: has no endpoint"},
        ExitCase{"UnknownRegion",
                 {Case("region.json"), "--settings", Case("settings.json")},
                 1,
                 "region \"mars\" does not exist; valid: eu, us"},
        ExitCase{"NoFile", {}, 2, "0 arguments are given"},
        ExitCase{"TwoFiles", {"a", "b"}, 2, "2 arguments are given"},
        ExitCase{"UnknownFlag", {"--in-forse=x", "a"}, 2, "--in-forse"},
        ExitCase{"AbsentFile", {Case("absent.json")}, 2, "cannot be read"},
        ExitCase{"AbsentInForce",
                 {Case("clean.json"), "--in-force", Case("absent.json")},
                 2,
                 "cannot be read"},
        ExitCase{"UnreadableInForce",
                 {Case("clean.json"), "--in-force", Case("truncated.json")},
                 2,
                 "is not a configuration"},
        ExitCase{"UnreadableList",
                 {Case("clean.json"), "--list", Case("truncated.json")},
                 2,
                 "is not a list of endpoints"},
        ExitCase{"UnreadableSettings",
                 {Case("clean.json"), "--settings", Case("truncated.json")},
                 2,
                 "not a JSON object"}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(CheckConfigurationTest, PrintsChangesWithTheirEffect) {
  const Result result = RunWith({"check-configuration", Case("clean.json"),
                                 "--in-force", Case("in_force.json")});
  EXPECT_EQ(result.output,
            "removed workspace \"shop\", key olde...: calls with this key are "
            "rejected with 401 within the revocation limit\n"
            "cases/configuration/clean.json: version 7, errors: 0, warnings: "
            "0\n");
  EXPECT_EQ(result.errors, "");
}

// Guards against scripts that can't read the report, or that read other
// findings than people see.
TEST(CheckConfigurationTest, PrintsOneJsonObject) {
  const Result result =
      RunWith({"check-configuration", Case("contradiction.json"), "--in-force",
               Case("in_force.json"), "--json"});
  EXPECT_EQ(result.exit_code, settings::kExitFailure);
  EXPECT_EQ(result.errors, "");
  const auto report = nlohmann::json::parse(result.output, nullptr, false);
  const auto expected = nlohmann::json::parse(R"({
    "file": "cases/configuration/contradiction.json", "version": 7,
    "findings": [{"severity": "error", "pointer": "",
      "source": "cases/configuration/contradiction.json: route \"chat\"",
      "text":
        "timeout of 300 ms is shorter than the latency target of 400 ms",
      "valid": "a timeout of at least the target, or 0 for none"}],
    "changes": [{"kind": "changed", "subject": "route \"chat\"",
      "detail": "timeout: 6000 ms -> 300 ms",
      "effect": "changes when an unfinished call is ended; 0 ms is never"}]})");
  EXPECT_EQ(report, expected) << result.output;
}

TEST(CheckConfigurationTest, PrintsJsonForAnUnreadableConfiguration) {
  const Result result =
      RunWith({"check-configuration", Case("truncated.json"), "--json"});
  EXPECT_EQ(result.exit_code, settings::kExitFailure);
  const auto report = nlohmann::json::parse(result.output, nullptr, false);
  ASSERT_TRUE(report.is_object());
  EXPECT_TRUE(report["version"].is_null());
  EXPECT_FALSE(report["findings"].empty());
}

}  // namespace
}  // namespace radishrudder::command_line
