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
  ASSERT_EQ(configuration->routes.size(), 2U);
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
  // The route of an unknown kind is skipped and reported with its position.
  ASSERT_EQ(findings.Items().size(), 1U);
  EXPECT_EQ(findings.Items()[0].place.pointer, "/routes/2/kind");
}

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
  EXPECT_EQ(report.kv_used, 40000U);
  EXPECT_EQ(report.kv_total, 120000U);
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
