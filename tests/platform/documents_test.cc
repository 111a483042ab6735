#include "platform/documents.h"

#include <gtest/gtest.h>

namespace radishrudder::platform {
namespace {

constexpr char kConfiguration[] = R"({
  "version": 7, "routes": [
    {"name": "r-1", "host": "h.example", "prefix": "/a/", "kind": "streaming",
     "timeout_ms": 6000, "target_latency_ms": 400, "priority": 1,
     "service": "s", "max_attempts": 2, "auth_exempt": false, "sticky": true,
     "resumable": true, "target_gap_ms": 300},
    {"name": "r-2", "host": "h.example", "prefix": "/b/", "kind": "idempotent",
     "traffic_split": [{"service": "s", "weight": 90},
                       {"service": "t", "weight": 10}]},
    {"name": "r-3", "host": "h.example", "prefix": "/c/", "kind": "odd",
     "service": "s"}],
  "services": [
    {"name": "s", "max_connections": 264, "engine": {"slots": 16, "stride": 5,
     "models": [{"name": "m"}], "chunks": 64, "chunk_bytes": 32768,
     "usual": {"prompt": 979, "answer": 92}}},
    {"name": "w", "origin": "172.20.0.3:8006", "zone": "z", "link_mbps": 8}],
  "limits": {"max_header_bytes": 100, "idle_timeout_ms": 2500},
  "tenants": [{"name": "t-1", "api_keys": ["k1", "k2"], "priority": 3}]})";

TEST(ConfigurationTest, DecodesRoutesServicesAndLimits) {
  kernel::Findings findings;
  const auto configuration = DecodeConfiguration(kConfiguration, findings);
  ASSERT_TRUE(configuration);
  EXPECT_EQ(configuration->version, 7U);
  ASSERT_EQ(configuration->routes.size(), 3U);
  const direct::RouteRule& stream = configuration->routes[0];
  EXPECT_EQ(stream.kind, direct::RouteKind::kStream);
  EXPECT_TRUE(stream.IsRepeatable());
  EXPECT_EQ(stream.timeout, std::chrono::seconds(6));
  EXPECT_EQ(stream.event_gap_target, std::chrono::milliseconds(300));
  EXPECT_EQ(configuration->routes[1].services.size(), 2U);
  EXPECT_EQ(configuration->services[0].engine->model, "m");
  EXPECT_EQ(configuration->services[0].engine->tokens_per_event, 5U);
  EXPECT_EQ(configuration->services[1].origin_bytes_per_second, 1e6);
  EXPECT_EQ(configuration->workspaces[0].keys.size(), 2U);
  EXPECT_EQ(configuration->workspaces[0].priority, 3U);
  EXPECT_EQ(configuration->caller_limits.head_bytes, 100U);
  EXPECT_EQ(configuration->caller_limits.idle_timeout,
            std::chrono::milliseconds(2500));
  EXPECT_TRUE(stream.readable);
  EXPECT_TRUE(configuration->routes[1].readable);
  // The route of an unknown kind is reported with its position. It keeps its
  // paths.
  EXPECT_FALSE(configuration->routes[2].readable);
  EXPECT_EQ(configuration->routes[2].prefix, "/c/");
  ASSERT_EQ(findings.Items().size(), 1U);
  EXPECT_EQ(findings.Items()[0].place.pointer, "/routes/2/kind");
}

struct RegionsCase {
  const char* name;
  const char* list;
  std::vector<std::string> expected;
  std::size_t findings;
};

class RegionsTest : public testing::TestWithParam<RegionsCase> {};

// Guards against a list that can't be read allowing all regions, and against it
// discarding the rest of the configuration.
TEST_P(RegionsTest, DecodesListOfRouteAndWorkspaceOrAllowsNone) {
  const std::string list = GetParam().list;
  const std::string text =
      R"({"version": 1, "routes": [{"name": "r", "host": "h.example",
          "prefix": "/a/", "kind": "idempotent", "service": "s")" +
      list + R"(}], "services": [{"name": "s"}],
          "tenants": [{"name": "t", "api_keys": ["k"])" +
      list + "}]}";
  kernel::Findings findings;
  const auto configuration = DecodeConfiguration(text, findings);
  ASSERT_TRUE(configuration);
  ASSERT_EQ(configuration->routes.size(), 1U);
  ASSERT_EQ(configuration->workspaces.size(), 1U);
  EXPECT_EQ(configuration->routes[0].allowed_regions, GetParam().expected);
  EXPECT_EQ(configuration->workspaces[0].allowed_regions, GetParam().expected);
  ASSERT_EQ(findings.Items().size(), GetParam().findings);
  if (GetParam().findings > 0) {
    EXPECT_EQ(findings.Items()[0].place.pointer, "/routes/0/allowed_regions");
    EXPECT_EQ(findings.Items()[1].place.pointer, "/tenants/0/allowed_regions");
  }
}

INSTANTIATE_TEST_SUITE_P(
    All,
    RegionsTest,
    testing::Values(
        RegionsCase{"Absent", "", {}, 0},
        RegionsCase{"Null", R"(,"allowed_regions":null)", {""}, 2},
        RegionsCase{"Empty", R"(,"allowed_regions":[])", {}, 0},
        RegionsCase{"Two", R"(,"allowed_regions":["a","b"])", {"a", "b"}, 0},
        RegionsCase{"Text", R"(,"allowed_regions":"a")", {""}, 2},
        RegionsCase{"Object", R"(,"allowed_regions":{})", {""}, 2},
        RegionsCase{"Numbers", R"(,"allowed_regions":["a",1])", {""}, 2},
        RegionsCase{"Nested", R"(,"allowed_regions":[["a"]])", {""}, 2}),
    [](const auto& test) { return test.param.name; });

struct PriorityCase {
  const char* name;
  const char* member;
  std::uint32_t of_route;
  std::optional<std::uint32_t> of_workspace;
  std::size_t findings;
};

class PriorityTest : public testing::TestWithParam<PriorityCase> {};

// Guards against a priority that can't be read counting as the highest.
TEST_P(PriorityTest, IsTheLowestIfItCanNotBeRead) {
  const std::string text =
      R"({"version": 1, "routes": [{"name": "r", "host": "h.example",
          "prefix": "/a/", "kind": "idempotent", "service": "s")" +
      std::string(GetParam().member) + R"(}], "services": [{"name": "s"}],
          "tenants": [{"name": "t", "api_keys": ["k"])" +
      GetParam().member + "}]}";
  kernel::Findings findings;
  const auto configuration = DecodeConfiguration(text, findings);
  ASSERT_TRUE(configuration);
  EXPECT_EQ(configuration->routes.at(0).priority, GetParam().of_route);
  EXPECT_EQ(configuration->workspaces.at(0).priority, GetParam().of_workspace);
  EXPECT_EQ(findings.Items().size(), GetParam().findings);
}

constexpr std::uint32_t kLowest = 0xFFFFFFFF;

INSTANTIATE_TEST_SUITE_P(
    All,
    PriorityTest,
    testing::Values(
        PriorityCase{"Absent", "", 0, std::nullopt, 0},
        PriorityCase{"Highest", R"(,"priority":0)", 0, 0, 0},
        PriorityCase{"Third", R"(,"priority":3)", 3, 3, 0},
        PriorityCase{"Null", R"(,"priority":null)", kLowest, kLowest, 2},
        PriorityCase{"Text", R"(,"priority":"0")", kLowest, kLowest, 2},
        PriorityCase{"Negative", R"(,"priority":-1)", kLowest, kLowest, 2},
        PriorityCase{"Huge", R"(,"priority":1e300)", kLowest, kLowest, 2},
        PriorityCase{"List", R"(,"priority":[])", kLowest, kLowest, 2}),
    [](const auto& test) { return test.param.name; });

struct CallerLimitForm {
  const char* name;
  const char* limits;
};

class CallerLimitTest : public testing::TestWithParam<CallerLimitForm> {};

// Guards against a limit of callers that is gone because it can't be read.
TEST_P(CallerLimitTest, HasItsDefaultIfItCanNotBeRead) {
  const std::string text =
      R"({"version": 1, "routes": [], "services": [], "limits": )" +
      std::string(GetParam().limits) + "}";
  kernel::Findings findings;
  const auto configuration = DecodeConfiguration(text, findings);
  ASSERT_TRUE(configuration);
  const direct::CallerLimits expected;
  const direct::CallerLimits& limits = configuration->caller_limits;
  EXPECT_EQ(limits.head_bytes, expected.head_bytes);
  EXPECT_EQ(limits.body_bytes, expected.body_bytes);
  EXPECT_EQ(limits.head_timeout, expected.head_timeout);
  EXPECT_EQ(limits.idle_timeout, expected.idle_timeout);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    CallerLimitTest,
    testing::Values(CallerLimitForm{"Null", "null"},
                    CallerLimitForm{"EmptyObject", "{}"},
                    CallerLimitForm{"List", "[]"},
                    CallerLimitForm{"Number", "7"},
                    CallerLimitForm{"Nulls", R"({"max_header_bytes": null,
            "max_body_bytes": null, "header_timeout_ms": null,
            "idle_timeout_ms": null})"},
                    CallerLimitForm{"Texts", R"({"max_header_bytes": "1",
            "max_body_bytes": "1", "header_timeout_ms": "1",
            "idle_timeout_ms": "1"})"},
                    CallerLimitForm{"Negative", R"({"max_header_bytes": -1,
            "max_body_bytes": -1, "header_timeout_ms": -1,
            "idle_timeout_ms": -1})"},
                    CallerLimitForm{"Huge", R"({"max_header_bytes": 1e300,
            "max_body_bytes": 1e300, "header_timeout_ms": 1e300,
            "idle_timeout_ms": 1e300})"}),
    [](const auto& test) { return test.param.name; });

struct ColdRuleCase {
  const char* name;
  const char* fields;
  std::chrono::milliseconds start;
  double rate;
  std::size_t findings;
};

class ColdRuleTest : public testing::TestWithParam<ColdRuleCase> {};

// Guards against absurd figures, which count as missing and are reported.
TEST_P(ColdRuleTest, DecodesFiguresOrReportsThem) {
  const std::string text =
      R"({"version": 1, "routes": [], "services": [{"name": "s")" +
      std::string(GetParam().fields) + "}]}";
  kernel::Findings findings;
  const auto configuration = DecodeConfiguration(text, findings);
  ASSERT_TRUE(configuration);
  ASSERT_EQ(configuration->services.size(), 1U);
  EXPECT_EQ(configuration->services[0].cold_start, GetParam().start);
  EXPECT_EQ(configuration->services[0].cold_requests_per_second,
            GetParam().rate);
  EXPECT_EQ(findings.Items().size(), GetParam().findings);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    ColdRuleTest,
    testing::Values(
        ColdRuleCase{"Absent", "", std::chrono::milliseconds(0), 0, 0},
        ColdRuleCase{"Both", R"(,"cold_start_s":20.5,"cold_per_s":8)",
                     std::chrono::milliseconds(20500), 8, 0},
        ColdRuleCase{"Negative", R"(,"cold_start_s":-1,"cold_per_s":-8)",
                     std::chrono::milliseconds(0), 0, 2},
        ColdRuleCase{"Huge", R"(,"cold_start_s":1e300,"cold_per_s":1e300)",
                     std::chrono::milliseconds(0), 0, 2},
        ColdRuleCase{"Text", R"(,"cold_start_s":"20","cold_per_s":8)",
                     std::chrono::milliseconds(0), 8, 1}),
    [](const auto& test) { return test.param.name; });

struct ColdTimeCase {
  const char* name;
  const char* value;
  std::chrono::milliseconds cold_time;
  bool reported;
};

class ColdTimeTest : public testing::TestWithParam<ColdTimeCase> {};

// Guards against an endpoint being lost from the list because of its cold time.
TEST_P(ColdTimeTest, DecodesTimeOrReportsIt) {
  const std::string text =
      R"({"service":"s","address":"1.2.3.4:5","state":"ready",
          "cold_remaining_ms":)" +
      std::string(GetParam().value) + "}";
  kernel::Findings findings;
  const auto endpoint =
      DecodeEndpoint({"servers/i-1", text, 4, false}, findings);
  ASSERT_TRUE(endpoint);
  EXPECT_EQ(endpoint->cold_time, GetParam().cold_time);
  EXPECT_EQ(!findings.Items().empty(), GetParam().reported);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    ColdTimeTest,
    testing::Values(
        ColdTimeCase{"Whole", "1500", std::chrono::milliseconds(1500), false},
        ColdTimeCase{"Zero", "0", std::chrono::milliseconds(0), false},
        ColdTimeCase{"Null", "null", std::chrono::milliseconds(0), false},
        ColdTimeCase{"Negative", "-5", std::chrono::milliseconds(0), true},
        ColdTimeCase{"Huge", "1e300", std::chrono::milliseconds(0), true},
        ColdTimeCase{"Text", R"("5")", std::chrono::milliseconds(0), true}),
    [](const auto& test) { return test.param.name; });

struct EvacuationKeyCase {
  const char* name;
  const char* key;
  const char* data_centre;
};

class EvacuationKeyTest : public testing::TestWithParam<EvacuationKeyCase> {};

TEST_P(EvacuationKeyTest, NamesTheDataCentre) {
  EXPECT_EQ(EvacuatedDataCentre(GetParam().key), GetParam().data_centre);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    EvacuationKeyTest,
    testing::Values(EvacuationKeyCase{"Evacuation", "op/evacuate/a-1", "a-1"},
                    EvacuationKeyCase{"NoName", "op/evacuate/", ""},
                    EvacuationKeyCase{"Configuration", "op/config", ""},
                    EvacuationKeyCase{"Version", "op/version/m", ""},
                    EvacuationKeyCase{"Endpoint", "servers/i-1", ""}),
    [](const auto& test) { return test.param.name; });

struct EndpointCase {
  const char* name;
  const char* text;
  bool decoded;
  bool leaving;
  std::uint64_t version;
};

class EndpointTest : public testing::TestWithParam<EndpointCase> {};

TEST_P(EndpointTest, DecodesUsableEndpointOrReportsError) {
  kernel::Findings findings;
  const auto endpoint =
      DecodeEndpoint({"servers/i-1", GetParam().text, 4, false}, findings);
  EXPECT_EQ(endpoint.has_value(), GetParam().decoded);
  if (endpoint) {
    EXPECT_EQ(endpoint->id, "i-1");
    EXPECT_EQ(endpoint->revision, 4U);
    EXPECT_EQ(endpoint->leaving, GetParam().leaving);
    EXPECT_EQ(endpoint->model_version, GetParam().version);
  } else {
    EXPECT_TRUE(findings.HasErrors());
  }
}

INSTANTIATE_TEST_SUITE_P(
    All,
    EndpointTest,
    testing::Values(
        EndpointCase{"Plain",
                     R"({"service":"s","address":"1.2.3.4:5","slots":6,
                         "state":"ready"})",
                     true, false, 0},
        EndpointCase{"Leaving",
                     R"({"service":"s","address":"1.2.3.4:5",
                         "state":"draining"})",
                     true, true, 0},
        EndpointCase{"Model",
                     R"({"service":"s","address":"1.2.3.4:5","state":"ready",
                         "models":[{"name":"m","version":2}]})",
                     true, false, 2},
        EndpointCase{"AllLayers",
                     R"({"service":"s","address":"1.2.3.4:5","state":"ready",
                         "models":[{"name":"m","version":2,"layers":
                         [{"from":0,"to":16,"version":2}]}]})",
                     true, false, 2},
        EndpointCase{"NoLayers",
                     R"({"service":"s","address":"1.2.3.4:5","state":"ready",
                         "models":[{"name":"m","version":2,"layers":[]}]})",
                     true, false, 0},
        EndpointCase{"LayersOfTwoVersions",
                     R"({"service":"s","address":"1.2.3.4:5","state":"ready",
                         "models":[{"name":"m","version":2,"layers":
                         [{"from":0,"to":8,"version":1},
                          {"from":8,"to":16,"version":2}]}]})",
                     true, false, 0},
        EndpointCase{"UnknownState",
                     R"({"service":"s","address":"1.2.3.4:5","state":"odd"})",
                     false, false, 0},
        EndpointCase{"AddressOfAnotherType",
                     R"({"service":"s","address":5,"state":"ready"})", false,
                     false, 0},
        EndpointCase{"NoService", R"({"address":"1.2.3.4:5","state":"ready"})",
                     false, false, 0},
        EndpointCase{"NotJson", "\xff\xfe", false, false, 0},
        EndpointCase{"NotAnObject", "[1]", false, false, 0}),
    [](const auto& info) { return info.param.name; });

struct VersionCase {
  const char* name;
  const char* text;
  std::uint64_t number;  // 0: not a version.
};

class VersionTest : public testing::TestWithParam<VersionCase> {};

TEST_P(VersionTest, DecodesVersionOrNothing) {
  kernel::Findings findings;
  const auto version = DecodeVersion(GetParam().text, findings);
  EXPECT_EQ(version ? version->number : 0, GetParam().number);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    VersionTest,
    testing::Values(VersionCase{"Good", R"({"model":"m","version":4})", 4},
                    VersionCase{"Text", R"({"model":"m","version":"4"})", 0},
                    VersionCase{"Negative", R"({"model":"m","version":-4})", 0},
                    VersionCase{"NoModel", R"({"version":4})", 0}),
    [](const auto& info) { return info.param.name; });

TEST(PieceListTest, RejectsListOfAnotherVersion) {
  constexpr char kText[] =
      R"({"model":"m","version":2,"chunk_bytes":8,"digests":[]})";
  kernel::Findings findings;
  EXPECT_TRUE(DecodePieceList({"m", 2}, kText, findings));
  EXPECT_FALSE(DecodePieceList({"m", 3}, kText, findings));
}

TEST(PieceListTest, RejectsInvalidDigest) {
  kernel::Findings findings;
  EXPECT_FALSE(DecodePieceList(
      {"m", 2}, R"({"model":"m","version":2,"chunk_bytes":8,"digests":["12"]})",
      findings));
}

TEST(ReportTest, DecodesTheLoad) {
  kernel::Findings findings;
  const staging::EndpointReport report = DecodeReport(
      R"({"born": 1790000000123, "busy": true, "sequence": 4,
          "models": [{"name": "m", "version": 3}], "active": 11, "queued": 3,
          "pace": 2.5, "kv_used": 40000, "kv_total": 120000})",
      findings);
  EXPECT_TRUE(findings.Items().empty());
  EXPECT_TRUE(report.reachable);
  EXPECT_EQ(report.started_at_ms, 1790000000123U);
  EXPECT_TRUE(report.busy);
  EXPECT_EQ(report.version, 3U);
  EXPECT_EQ(report.running, 11U);
  EXPECT_EQ(report.waiting, 3U);
  EXPECT_EQ(report.pace, 2.5);
  EXPECT_EQ(report.cache_used, 40000U);
  EXPECT_EQ(report.cache_total, 120000U);
}

// Guards against an endpoint of an older release that staging no longer
// supplies because its report states no load.
TEST(ReportTest, TheLoadMayBeMissing) {
  kernel::Findings findings;
  const staging::EndpointReport report =
      DecodeReport(R"({"born": 5, "busy": false})", findings);
  EXPECT_TRUE(findings.Items().empty());
  EXPECT_TRUE(report.reachable);
  EXPECT_EQ(report.running, 0U);
  EXPECT_EQ(report.pace, 1);
}

struct PaceCase {
  const char* name;
  const char* text;
  double pace;
};

class ReportPaceTest : public testing::TestWithParam<PaceCase> {};

// Guards against an absurd pace that excludes or prefers an endpoint, and
// against a report that is lost because of it.
TEST_P(ReportPaceTest, Pace) {
  kernel::Findings findings;
  const staging::EndpointReport report =
      DecodeReport(GetParam().text, findings);
  EXPECT_EQ(report.pace, GetParam().pace);
  EXPECT_EQ(report.running, 2U);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    ReportPaceTest,
    testing::Values(
        PaceCase{"Number", R"({"active": 2, "pace": 0.5})", 0.5},
        PaceCase{"Integer", R"({"active": 2, "pace": 3})", 3},
        PaceCase{"Slowest", R"({"active": 2, "pace": 100})", 100},
        PaceCase{"TooHigh", R"({"active": 2, "pace": 100.5})", 1},
        PaceCase{"Zero", R"({"active": 2, "pace": 0})", 1},
        PaceCase{"Negative", R"({"active": 2, "pace": -1})", 1},
        PaceCase{"Huge", R"({"active": 2, "pace": 1e308})", 1},
        PaceCase{"Text", R"({"active": 2, "pace": "2"})", 1},
        PaceCase{"Null", R"({"active": 2, "pace": null})", 1},
        PaceCase{"OfAModel",
                 R"({"active": 2, "models": [{"name": "m"}, {"pace": 2}]})", 2},
        PaceCase{"OfTheReportFirst",
                 R"({"active": 2, "pace": 3, "models": [{"pace": 2}]})", 3},
        PaceCase{"OfAModelIfAbsurd",
                 R"({"active": 2, "pace": 0, "models": [{"pace": 2}]})", 2},
        PaceCase{"AbsurdOfAModel", R"({"active": 2, "models": [{"pace": -2}]})",
                 1}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace radishrudder::platform
