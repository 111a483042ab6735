#include "platform/configuration_text.h"

#include <string>

#include <gtest/gtest.h>

#include "platform/duplicate_members.h"
#include "platform/endpoint_list_file.h"
#include "platform/json_fields.h"

namespace radishrudder::platform {
namespace {

// Each value used to be taken for another one, or dropped, without a finding.
struct MemberCase {
  const char* name;
  const char* place;
  const char* value;
};

void PrintTo(const MemberCase& test, std::ostream* stream) {
  *stream << test.name;
}

class MemberTest : public testing::TestWithParam<MemberCase> {};

TEST_P(MemberTest, IsReportedWithItsPlaceAndWithoutKeys) {
  Json document = Json::parse(R"({"version": 1,
    "routes": [{"host": "h", "prefix": "/", "kind": "idempotent",
                "traffic_split": [{"service": "s", "weight": 1}]}],
    "services": [{"name": "s", "engine": {}}],
    "tenants": [{"name": "t", "api_keys": ["secret-key"]}]})");
  document[Json::json_pointer(GetParam().place)] =
      Json::parse(GetParam().value);
  const auto checked = CheckConfigurationText("f.json", document.dump(), {});
  bool found = false;
  for (const kernel::Finding& finding : checked.findings.Items()) {
    found = found || (finding.place.source == "f.json" &&
                      finding.place.pointer == GetParam().place);
  }
  const std::string report = kernel::Format(checked.findings);
  EXPECT_TRUE(found) << report;
  EXPECT_EQ(report.find("secret"), std::string::npos) << report;
}

INSTANTIATE_TEST_SUITE_P(
    All,
    MemberTest,
    testing::Values(
        MemberCase{"AttemptsTooLarge", "/routes/0/max_attempts", "4294967296"},
        MemberCase{"NegativeTimeout", "/routes/0/timeout_ms", "-5"},
        MemberCase{"HugeTimeout", "/routes/0/timeout_ms", "1e300"},
        MemberCase{"NegativeWeight", "/routes/0/traffic_split/0/weight", "-1"},
        MemberCase{"WeightTooLarge", "/routes/0/traffic_split/0/weight",
                   "1e300"},
        MemberCase{"FractionOfWeight", "/routes/0/traffic_split/0/weight",
                   "0.5"},
        MemberCase{"EngineOfAnotherType", "/services/0/engine", "[]"},
        MemberCase{"NegativeStep", "/services/0/engine/step_ms", "-1"},
        MemberCase{"NegativeLink", "/services/0/link_mbps", "-1"},
        MemberCase{"KeysOfAnotherType", "/tenants/0/api_keys",
                   R"("secret-key")"},
        MemberCase{"KeyOfAnotherType", "/tenants/0/api_keys/0",
                   R"(["secret-key"])"},
        MemberCase{"WorkspacesOfAnotherType", "/tenants",
                   R"({"api_keys": ["secret-key"]})"},
        MemberCase{"NegativeHeadTimeout", "/limits/header_timeout_ms", "-1"},
        MemberCase{"HugeIdleTimeout", "/limits/idle_timeout_ms", "1e19"}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(DuplicateMembersTest, ReportsThePlaceOfEach) {
  kernel::Findings findings;
  FindDuplicateMembers(
      "f", R"({"a": [1, [], {"b": 1, "c": {"b": 2}, "b": 3}], "a": 4})",
      findings);
  ASSERT_EQ(findings.Items().size(), 2U);
  EXPECT_EQ(findings.Items()[0].place.pointer, "/a/2/b");
  EXPECT_EQ(findings.Items()[1].place.pointer, "/a");
}

struct ListCase {
  const char* name;
  std::string text;
  bool decoded;
  std::size_t endpoints;
  bool findings;
};

void PrintTo(const ListCase& test, std::ostream* stream) {
  *stream << test.name;
}

class ListTest : public testing::TestWithParam<ListCase> {};

TEST_P(ListTest, DecodesTheAnswerOfTheStoreOrReportsAnError) {
  kernel::Findings findings;
  const auto endpoints = DecodeEndpointList(GetParam().text, findings);
  ASSERT_EQ(endpoints.has_value(), GetParam().decoded);
  EXPECT_EQ(!findings.Empty(), GetParam().findings);
  if (endpoints) {
    EXPECT_EQ(endpoints->size(), GetParam().endpoints);
  }
}

// A page with one endpoint that is ready, under this key.
std::string PageWith(const std::string& key) {
  return R"({"at":4,"items":[{"revision":1,"key":")" + key +
         R"(","value":"eyJzZXJ2aWNlIjoicyIsImFkZHJlc3MiOiIxLjIuMy40OjUiLCJz)"
         R"(dGF0ZSI6InJlYWR5In0="}]})";
}

INSTANTIATE_TEST_SUITE_P(
    All,
    ListTest,
    testing::Values(
        ListCase{"One", PageWith("servers/i"), true, 1, false},
        ListCase{"Removed",
                 R"({"at":4,"items":[{"key":"servers/i","revision":1,
                     "tombstone":true}]})",
                 true, 0, false},
        ListCase{"OtherKey", PageWith("op/x"), true, 0, true},
        ListCase{"InvalidEndpoint",
                 R"({"at":4,"items":[{"key":"servers/i","revision":1,
                     "value":"e30="}]})",
                 true, 0, true},
        ListCase{"Incomplete", R"({"at":4,"has_more":true,"items":[]})", false,
                 0, true},
        ListCase{"NotJson", "servers", false, 0, true}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace radishrudder::platform
