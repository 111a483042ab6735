#include "radishrudder/direct/configuration_check.h"

#include <algorithm>

#include <gtest/gtest.h>

#include "tests/direct/valid_configuration.h"

namespace radishrudder::direct {
namespace {

using kernel::Severity;

// Each case damages a valid input in one way; the check must report it.
struct CheckCase {
  const char* name;
  void (*damage)(Configuration&, CheckContext&);
  Severity severity;
  const char* place;
  const char* text;
  const char* valid;
};

void PrintTo(const CheckCase& test, std::ostream* stream) {
  *stream << test.name;
}

CheckContext ValidContext() {
  CheckContext context;
  context.in_force = ValidConfiguration();
  context.in_force->version = 6;
  context.endpoints = {Endpoint("i-1", "s"), Endpoint("i-2", "s"),
                       Endpoint("i-3", "t")};
  context.regions = {"eu", "us"};
  return context;
}

TEST(ConfigurationCheckTest, FindsNothingInAValidConfiguration) {
  EXPECT_EQ(
      kernel::Format(CheckConfiguration(ValidConfiguration(), ValidContext())),
      "");
  EXPECT_EQ(kernel::Format(CheckConfiguration(ValidConfiguration(), {})), "");
}

class CheckTableTest : public testing::TestWithParam<CheckCase> {};

TEST_P(CheckTableTest, ReportsPlaceSeverityAndRemedy) {
  const CheckCase& test = GetParam();
  Configuration candidate = ValidConfiguration();
  CheckContext context = ValidContext();
  test.damage(candidate, context);
  const kernel::Findings findings = CheckConfiguration(candidate, context);
  const auto matches = [&test](const kernel::Finding& finding) {
    return finding.severity == test.severity &&
           finding.place.source == test.place &&
           finding.text.find(test.text) != std::string::npos &&
           finding.valid.find(test.valid) != std::string::npos;
  };
  EXPECT_TRUE(std::ranges::any_of(findings.Items(), matches))
      << kernel::Format(findings);
  EXPECT_EQ(findings.Items().size(), 1U) << kernel::Format(findings);
  EXPECT_EQ(kernel::Format(findings).find("key-one"), std::string::npos);
}

constexpr Severity kError = Severity::kError;
constexpr Severity kWarning = Severity::kWarning;

INSTANTIATE_TEST_SUITE_P(
    Routes,
    CheckTableTest,
    testing::Values(
        CheckCase{"Hidden",
                  [](auto& candidate, auto&) {
                    candidate.routes[1].host = "H.example:80";
                    candidate.routes[1].prefix = "/a/";
                  },
                  kError, "route \"r-2\"", "hidden behind route \"r-1\"",
                  "another host or prefix"},
        CheckCase{
            "SameName",
            [](auto& candidate, auto&) { candidate.routes[1].name = "r-1"; },
            kError, "route \"r-1\"", "defined twice", "one definition"},
        CheckCase{
            "NoHost",
            [](auto& candidate, auto&) { candidate.routes[0].host = ":80"; },
            kError, "route \"r-1\"", "can never match", "host"},
        CheckCase{
            "Prefix",
            [](auto& candidate, auto&) { candidate.routes[0].prefix = "a/"; },
            kError, "route \"r-1\"", "prefix \"a/\"", "slash"},
        CheckCase{"NoRoutes",
                  [](auto& candidate, auto&) { candidate.routes.clear(); },
                  kError, "routes", "there are none", "at least one"},
        CheckCase{"UnknownService",
                  [](auto& candidate, auto&) {
                    candidate.routes[0].services = {{"x", 1}};
                  },
                  kError, "route \"r-1\"", "service \"x\" does not exist",
                  "s, t"},
        CheckCase{"ServiceWithOrigin",
                  [](auto& candidate, auto&) {
                    candidate.services[1].origin = "10.0.0.1:80";
                  },
                  kError, "route \"r-2\"", "takes no calls", "without"},
        CheckCase{"Weights",
                  [](auto& candidate, auto&) {
                    candidate.routes[1].services[0].weight = 0;
                    candidate.routes[1].services[1].weight = 0;
                  },
                  kError, "route \"r-2\"", "sum to 0", "above 0"},
        CheckCase{"TimeoutBelowTarget",
                  [](auto& candidate, auto&) {
                    candidate.routes[0].timeout =
                        std::chrono::milliseconds(399);
                  },
                  kError, "route \"r-1\"", "shorter than the latency target",
                  "at least the target"},
        CheckCase{"TimeoutBelowGap",
                  [](auto& candidate, auto&) {
                    candidate.routes[0].event_gap_target =
                        std::chrono::milliseconds(6001);
                  },
                  kError, "route \"r-1\"", "shorter than the event gap target",
                  "at least the target"},
        CheckCase{"NoAttempts",
                  [](auto& candidate, auto&) {
                    candidate.routes[0].maximum_attempts = 0;
                  },
                  kError, "route \"r-1\"", "maximum attempts is 0", "1 or"},
        CheckCase{"MoreAttemptsThanEndpoints",
                  [](auto& candidate, auto&) {
                    candidate.routes[0].maximum_attempts = 3;
                  },
                  kWarning, "route \"r-1\"", "3 with 2 endpoints", "at most"},
        CheckCase{"UnknownRegion",
                  [](auto& candidate, auto&) {
                    candidate.routes[1].allowed_regions = {"eu", "mars"};
                  },
                  kError, "route \"r-2\"", "region \"mars\" does not exist",
                  "eu, us"},
        CheckCase{"UnreadableRegions",
                  [](auto& candidate, auto& context) {
                    context.regions.reset();
                    candidate.routes[1].allowed_regions = {"eu", ""};
                  },
                  kError, "route \"r-2\"", "region \"\" does not exist",
                  "name of a region"},
        CheckCase{"NoSharedRegion",
                  [](auto& candidate, auto&) {
                    candidate.routes[0].allowed_regions = {"us"};
                  },
                  kWarning, "route \"r-1\"",
                  "shares no region with workspace \"w-1\"", "both lists"}),
    [](const auto& info) { return std::string(info.param.name); });

INSTANTIATE_TEST_SUITE_P(
    Rest,
    CheckTableTest,
    testing::Values(
        CheckCase{"ServiceWithoutEndpoints",
                  [](auto&, auto& context) { context.endpoints->pop_back(); },
                  kError, "service \"t\"", "no endpoint", "at least one"},
        CheckCase{"OnlyLeavingEndpoints",
                  [](auto&, auto& context) {
                    context.endpoints->back().leaving = true;
                  },
                  kError, "service \"t\"", "no endpoint", "not leaving"},
        CheckCase{"UnusedServiceWithoutEndpoints",
                  [](auto& candidate, auto&) {
                    candidate.services.push_back({.name = "u"});
                  },
                  kWarning, "service \"u\"", "no route", "at least one"},
        CheckCase{"ServiceTwice",
                  [](auto& candidate, auto&) {
                    candidate.services.push_back(candidate.services[1]);
                  },
                  kError, "service \"t\"", "defined twice", "one definition"},
        CheckCase{"ColdStartWithoutRate",
                  [](auto& candidate, auto&) {
                    candidate.services[0].cold_requests_per_second = 0;
                  },
                  kWarning, "service \"s\"", "no effect", "above 0"},
        CheckCase{"NeverWarm",
                  [](auto& candidate, auto&) {
                    candidate.services[0].cold_requests_per_second = 0.01;
                  },
                  kError, "service \"s\"", "can never warm up", "0.05"},
        // 16 slots; a usual call takes 1 s by the engine's figures.
        CheckCase{"ColdRateAboveCapacity",
                  [](auto& candidate, auto&) {
                    candidate.services[0].cold_requests_per_second = 17;
                  },
                  kError, "service \"s\"", "above what", "at most 16.0"},
        CheckCase{"KeyOfTwoWorkspaces",
                  [](auto& candidate, auto&) {
                    candidate.workspaces[1].keys.push_back("key-one");
                  },
                  kError, "workspace \"w-2\"",
                  "key key-... already belongs to workspace \"w-1\"", "once"},
        CheckCase{"KeyTwice",
                  [](auto& candidate, auto&) {
                    candidate.workspaces[0].keys.push_back("key-one");
                  },
                  kError, "workspace \"w-1\"", "already belongs", "once"},
        CheckCase{"EmptyKey",
                  [](auto& candidate, auto&) {
                    candidate.workspaces[0].keys.push_back("");
                  },
                  kError, "workspace \"w-1\"", "empty key", "a key"},
        CheckCase{"NoKeys",
                  [](auto& candidate, auto&) {
                    candidate.workspaces[1].keys.clear();
                  },
                  kWarning, "workspace \"w-2\"", "has no keys", "at least"},
        CheckCase{"WorkspaceTwice",
                  [](auto& candidate, auto&) {
                    candidate.workspaces[1].name = "w-1";
                  },
                  kError, "workspace \"w-1\"", "defined twice", "one"},
        CheckCase{"WorkspaceWithoutName",
                  [](auto& candidate, auto&) {
                    candidate.workspaces[1].name.clear();
                  },
                  kError, "workspace \"\"", "has no name", "a name"},
        CheckCase{"RegionOfWorkspace",
                  [](auto& candidate, auto&) {
                    candidate.workspaces[1].allowed_regions = {"mars"};
                  },
                  kError, "workspace \"w-2\"", "\"mars\" does not exist",
                  "eu, us"},
        CheckCase{"NoWorkspaces",
                  [](auto& candidate, auto& context) {
                    candidate.workspaces.clear();
                    context.in_force.reset();
                  },
                  kWarning, "workspaces", "without a key", "at least one"},
        CheckCase{"LostWorkspaces",
                  [](auto& candidate, auto&) { candidate.workspaces.clear(); },
                  kError, "workspaces", "without a key", "in force"},
        CheckCase{"NoWorkspaceLeft",
                  [](auto& candidate, auto& context) {
                    candidate.workspaces.clear();
                    candidate.defines_workspaces = true;
                    context.in_force.reset();
                  },
                  kWarning, "workspaces", "rejected with 401", "at least one"},
        CheckCase{"LastWorkspaceRemoved",
                  [](auto& candidate, auto&) {
                    candidate.workspaces.clear();
                    candidate.defines_workspaces = true;
                  },
                  kError, "workspaces", "rejected with 401", "in force"},
        CheckCase{"UnreadableRoute",
                  [](auto& candidate, auto&) {
                    candidate.routes[1].readable = false;
                  },
                  kError, "route \"r-2\"", "rejected with 503",
                  "all its members"},
        CheckCase{"SameVersion",
                  [](auto& candidate, auto&) { candidate.version = 6; }, kError,
                  "version", "ignore the configuration", "more than 6"},
        CheckCase{"VersionFarAbove",
                  [](auto& candidate, auto&) { candidate.version = 1000007; },
                  kWarning, "version", "far above", "usually 7"},
        CheckCase{"HeadLimit",
                  [](auto& candidate, auto&) {
                    candidate.caller_limits.head_bytes = 0;
                  },
                  kError, "limits", "head bytes is 0", "1 or more"},
        CheckCase{"BodyLimit",
                  [](auto& candidate, auto&) {
                    candidate.caller_limits.body_bytes = 0;
                  },
                  kError, "limits", "body bytes is 0", "1 or more"}),
    [](const auto& info) { return std::string(info.param.name); });

struct PairCase {
  const char* name;
  std::vector<std::string> of_route;
  std::vector<std::string> of_workspace;
  bool key_exempt;
  bool found;
};

class RegionPairTest : public testing::TestWithParam<PairCase> {};

// Guards against false reports for pairs whose calls the entries serve.
TEST_P(RegionPairTest, ReportsOnlyPairsWithoutACommonRegion) {
  Configuration candidate = ValidConfiguration();
  candidate.workspaces.pop_back();
  candidate.routes.resize(1);
  candidate.routes[0].allowed_regions = GetParam().of_route;
  candidate.routes[0].key_exempt = GetParam().key_exempt;
  candidate.workspaces[0].allowed_regions = GetParam().of_workspace;
  EXPECT_EQ(!CheckConfiguration(candidate, {}).Empty(), GetParam().found);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    RegionPairTest,
    testing::Values(
        PairCase{"NoLists", {}, {}, false, false},
        PairCase{"OnlyRoute", {"eu"}, {}, false, false},
        PairCase{"OnlyWorkspace", {}, {"eu"}, false, false},
        PairCase{"Shared", {"us", "eu"}, {"eu", "as"}, false, false},
        PairCase{"Disjoint", {"us"}, {"eu"}, false, true},
        PairCase{"DisjointButExempt", {"us"}, {"eu"}, true, false}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against a key that a message shows whole.
TEST(AbbreviatedKeyTest, NeverShowsTheWholeKey) {
  EXPECT_EQ(AbbreviatedKey("abcdefgh"), "abcd...");
  EXPECT_EQ(AbbreviatedKey("abcd"), "abc...");
  EXPECT_EQ(AbbreviatedKey("a"), "...");
  EXPECT_EQ(AbbreviatedKey(""), "...");
}

}  // namespace
}  // namespace radishrudder::direct
