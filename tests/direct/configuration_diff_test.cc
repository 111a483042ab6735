#include "radishrudder/direct/configuration_diff.h"

#include <gtest/gtest.h>

#include "tests/direct/valid_configuration.h"

namespace radishrudder::direct {
namespace {

using std::chrono::milliseconds;

// Each case changes a valid configuration in one way; exactly this must be
// reported, so that no change reaches the entries unnoticed.
struct ChangeCase {
  const char* name;
  void (*change)(Configuration&);
  ChangeKind kind;
  const char* subject;
  const char* detail;
  const char* effect;
};

void PrintTo(const ChangeCase& test, std::ostream* stream) {
  *stream << test.name;
}

TEST(ConfigurationDiffTest, ReportsNothingForAHigherVersionAlone) {
  Configuration candidate = ValidConfiguration();
  candidate.version += 1;
  EXPECT_TRUE(CompareConfigurations(ValidConfiguration(), candidate).empty());
}

class ChangeTest : public testing::TestWithParam<ChangeCase> {};

TEST_P(ChangeTest, ReportsSubjectDetailAndEffect) {
  const ChangeCase& test = GetParam();
  Configuration candidate = ValidConfiguration();
  test.change(candidate);
  const auto changes = CompareConfigurations(ValidConfiguration(), candidate);
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].kind, test.kind);
  EXPECT_EQ(changes[0].subject, test.subject);
  EXPECT_EQ(changes[0].detail, test.detail);
  EXPECT_NE(changes[0].effect.find(test.effect), std::string::npos)
      << changes[0].effect;
}

constexpr ChangeKind kAdded = ChangeKind::kAdded;
constexpr ChangeKind kRemoved = ChangeKind::kRemoved;
constexpr ChangeKind kChanged = ChangeKind::kChanged;

INSTANTIATE_TEST_SUITE_P(
    Routes,
    ChangeTest,
    testing::Values(
        ChangeCase{
            "Added",
            [](auto& changed) { changed.routes.push_back({.name = "r-3"}); },
            kAdded, "route \"r-3\"", "", "are served"},
        ChangeCase{"Removed", [](auto& changed) { changed.routes.pop_back(); },
                   kRemoved, "route \"r-2\"", "", "404"},
        ChangeCase{"Host",
                   [](auto& changed) { changed.routes[0].host = "i.example"; },
                   kChanged, "route \"r-1\"",
                   "host: \"h.example\" -> \"i.example\"", "old host"},
        ChangeCase{"Prefix",
                   [](auto& changed) { changed.routes[0].prefix = "/c/"; },
                   kChanged, "route \"r-1\"", "prefix: \"/a/\" -> \"/c/\"",
                   "old prefix"},
        ChangeCase{"Kind",
                   [](auto& changed) {
                     changed.routes[0].kind = RouteKind::kIdempotent;
                   },
                   kChanged, "route \"r-1\"", "kind: stream -> idempotent",
                   "repeated"},
        ChangeCase{"Resumable",
                   [](auto& changed) { changed.routes[0].resumable = true; },
                   kChanged, "route \"r-1\"", "resumable: false -> true",
                   "interrupted stream"},
        ChangeCase{"KeyExempt",
                   [](auto& changed) { changed.routes[0].key_exempt = true; },
                   kChanged, "route \"r-1\"", "key exempt: false -> true",
                   "without a key are served"},
        ChangeCase{
            "Attempts",
            [](auto& changed) { changed.routes[0].maximum_attempts = 1; },
            kChanged, "route \"r-1\"", "maximum attempts: 2 -> 1", "how often"},
        ChangeCase{
            "Priority", [](auto& changed) { changed.routes[0].priority = 1; },
            kChanged, "route \"r-1\"", "priority: 0 -> 1", "served first"},
        ChangeCase{
            "Timeout",
            [](auto& changed) { changed.routes[0].timeout = milliseconds(0); },
            kChanged, "route \"r-1\"", "timeout: 6000 ms -> 0 ms",
            "0 ms is never"},
        ChangeCase{"LatencyTarget",
                   [](auto& changed) {
                     changed.routes[0].latency_target = milliseconds(1);
                   },
                   kChanged, "route \"r-1\"", "latency target: 400 ms -> 1 ms",
                   "may wait"},
        ChangeCase{"EventGapTarget",
                   [](auto& changed) {
                     changed.routes[0].event_gap_target = milliseconds(5);
                   },
                   kChanged, "route \"r-1\"", "event gap target: 0 ms -> 5 ms",
                   "pauses"},
        ChangeCase{
            "Weights",
            [](auto& changed) { changed.routes[1].services[0].weight = 80; },
            kChanged, "route \"r-2\"",
            "services: s 90, t 10 -> s 80, "
            "t 10",
            "by weight"},
        ChangeCase{"Regions",
                   [](auto& changed) {
                     changed.routes[1].allowed_regions = {"eu", "us"};
                   },
                   kChanged, "route \"r-2\"",
                   "allowed regions: all -> [eu, us]", "503"},
        ChangeCase{
            "NoRegion",
            [](auto& changed) { changed.routes[1].allowed_regions = {""}; },
            kChanged, "route \"r-2\"", "allowed regions: all -> none", "503"},
        ChangeCase{"Unreadable",
                   [](auto& changed) { changed.routes[1].readable = false; },
                   kChanged, "route \"r-2\"", "readable: true -> false",
                   "503"}),
    [](const auto& info) { return std::string(info.param.name); });

INSTANTIATE_TEST_SUITE_P(
    Services,
    ChangeTest,
    testing::Values(
        ChangeCase{
            "Added",
            [](auto& changed) { changed.services.push_back({.name = "u"}); },
            kAdded, "service \"u\"", "", "can send"},
        ChangeCase{"Removed",
                   [](auto& changed) { changed.services.pop_back(); }, kRemoved,
                   "service \"t\"", "", "503"},
        ChangeCase{"NoEngine",
                   [](auto& changed) { changed.services[0].engine.reset(); },
                   kChanged, "service \"s\"", "engine: true -> false",
                   "predicted waits"},
        ChangeCase{"EngineSlots",
                   [](auto& changed) { changed.services[0].engine->slots = 8; },
                   kChanged, "service \"s\"", "slots: 16 -> 8", "at once"},
        ChangeCase{
            "EngineStep",
            [](auto& changed) { changed.services[0].engine->step_ms = 8.5; },
            kChanged, "service \"s\"", "step time: 10 -> 8.5",
            "predicted waits"},
        ChangeCase{
            "EngineModel",
            [](auto& changed) { changed.services[0].engine->model = "m"; },
            kChanged, "service \"s\"", "model: \"\" -> \"m\"", "load"},
        ChangeCase{
            "Connections",
            [](auto& changed) { changed.services[0].maximum_connections = 9; },
            kChanged, "service \"s\"", "maximum connections: 0 -> 9",
            "in progress"},
        ChangeCase{"Origin",
                   [](auto& changed) { changed.services[1].origin = "a:1"; },
                   kChanged, "service \"t\"", "origin: \"\" -> \"a:1\"",
                   "takes no calls"},
        ChangeCase{"OriginSpeed",
                   [](auto& changed) {
                     changed.services[1].origin_bytes_per_second = 5;
                   },
                   kChanged, "service \"t\"", "origin bytes per second: 0 -> 5",
                   "how fast"},
        ChangeCase{
            "OriginDataCentre",
            [](auto& changed) { changed.services[1].origin_data_centre = "z"; },
            kChanged, "service \"t\"",
            "origin data centre: \"\" -> "
            "\"z\"",
            "which agents"},
        ChangeCase{"ColdStart",
                   [](auto& changed) {
                     changed.services[0].cold_start = milliseconds(9);
                   },
                   kChanged, "service \"s\"", "cold start: 20000 ms -> 9 ms",
                   "few calls"},
        ChangeCase{"ColdRate",
                   [](auto& changed) {
                     changed.services[0].cold_requests_per_second = 2.5;
                   },
                   kChanged, "service \"s\"",
                   "cold requests per second: 4 -> 2.5", "cold endpoint"}),
    [](const auto& info) { return std::string(info.param.name); });

INSTANTIATE_TEST_SUITE_P(
    WorkspacesAndLimits,
    ChangeTest,
    testing::Values(
        ChangeCase{"Added",
                   [](auto& changed) {
                     changed.workspaces.push_back({.name = "w-3"});
                   },
                   kAdded, "workspace \"w-3\"", "", "are served"},
        ChangeCase{"Removed",
                   [](auto& changed) { changed.workspaces.pop_back(); },
                   kRemoved, "workspace \"w-2\"", "", "401"},
        ChangeCase{"KeyAdded",
                   [](auto& changed) {
                     changed.workspaces[0].keys.push_back("new-key");
                   },
                   kAdded, "workspace \"w-1\"", "key new-...",
                   "served as this workspace"},
        ChangeCase{"KeyRemoved",
                   [](auto& changed) { changed.workspaces[0].keys.clear(); },
                   kRemoved, "workspace \"w-1\"", "key key-...",
                   "rejected with 401 within the revocation limit"},
        ChangeCase{"Priority",
                   [](auto& changed) { changed.workspaces[0].priority = 0; },
                   kChanged, "workspace \"w-1\"", "priority: of the route -> 0",
                   "served first"},
        ChangeCase{"Regions",
                   [](auto& changed) {
                     changed.workspaces[0].allowed_regions.clear();
                   },
                   kChanged, "workspace \"w-1\"",
                   "allowed regions: [eu] -> all", "503"},
        ChangeCase{"HeadBytes",
                   [](auto& changed) { changed.caller_limits.head_bytes = 9; },
                   kChanged, "limits", "head bytes: 16384 -> 9", "431"},
        ChangeCase{"BodyBytes",
                   [](auto& changed) { changed.caller_limits.body_bytes = 9; },
                   kChanged, "limits", "body bytes: 4194304 -> 9", "413"},
        ChangeCase{"HeadTimeout",
                   [](auto& changed) {
                     changed.caller_limits.head_timeout = milliseconds(9);
                   },
                   kChanged, "limits", "head timeout: 3000 ms -> 9 ms",
                   "disconnected"},
        ChangeCase{"IdleTimeout",
                   [](auto& changed) {
                     changed.caller_limits.idle_timeout = milliseconds(9);
                   },
                   kChanged, "limits", "idle timeout: 15000 ms -> 9 ms",
                   "closed"}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against announcing a rejection for a key that stays valid.
TEST(ConfigurationDiffTest, NamesTheNewWorkspaceOfAKey) {
  Configuration candidate = ValidConfiguration();
  candidate.workspaces[0].keys.clear();
  candidate.workspaces[1].keys.push_back("key-one");
  const auto changes = CompareConfigurations(ValidConfiguration(), candidate);
  ASSERT_EQ(changes.size(), 2U);
  EXPECT_EQ(changes[0].effect,
            "calls with this key are served as workspace \"w-2\"");
}

TEST(ConfigurationDiffTest, SaysThatKeysAreNoLongerRequired) {
  Configuration candidate = ValidConfiguration();
  candidate.workspaces.clear();
  const auto changes = CompareConfigurations(ValidConfiguration(), candidate);
  ASSERT_EQ(changes.size(), 3U);
  EXPECT_EQ(changes[0].effect,
            "calls with its keys are served without a workspace");
  EXPECT_EQ(changes[2].effect, "calls without a key are served");
}

// Guards against announcing that keys are no longer required when only the last
// workspaces are removed.
TEST(ConfigurationDiffTest, SaysThatKeysOfRemovedWorkspacesAreRejected) {
  Configuration candidate = ValidConfiguration();
  candidate.workspaces.clear();
  candidate.defines_workspaces = true;
  const auto changes = CompareConfigurations(ValidConfiguration(), candidate);
  ASSERT_EQ(changes.size(), 2U);
  EXPECT_NE(changes[0].effect.find("rejected with 401"), std::string::npos);
  EXPECT_NE(changes[1].effect.find("rejected with 401"), std::string::npos);
}

}  // namespace
}  // namespace radishrudder::direct
