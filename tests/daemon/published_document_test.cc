#include "radishrudder/daemon/published_document.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <string>
#include <tuple>

namespace radishrudder::daemon {
namespace {

constexpr char kLedger[] = R"({"service":"ledger","kind":"plain"})";

struct Case {
  const char* name;
  const char* service;
  const char* content;
  bool taken;
};

class ParsePublishedTest : public testing::TestWithParam<Case> {};

TEST_P(ParsePublishedTest, TakesOnlyAValidDocumentOfItsOwnService) {
  const Case& given = GetParam();
  const auto document =
      ParsePublished({given.service, 7, false, given.content});
  EXPECT_EQ(document.has_value(), given.taken);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    ParsePublishedTest,
    testing::Values(Case{"Own", "ledger", kLedger, true},
                    Case{"AnotherTeams", "shop", kLedger, false},
                    Case{"Malformed", "ledger", "{", false},
                    Case{"Empty", "ledger", "", false}),
    [](const auto& info) { return std::string(info.param.name); });

struct LimitMember {
  const char* name;
  const char* pointer;  // Two levels at most.
};

struct LimitForm {
  const char* name;
  const char* value;
};

class LimitFormTest
    : public testing::TestWithParam<std::tuple<LimitMember, LimitForm>> {};

// Guards against a document whose shares, routes or budgets are of another kind
// taking effect in part: the previous one, or none, stays in force.
TEST_P(LimitFormTest, IsRejectedWhole) {
  const auto& [member, form] = GetParam();
  auto content = nlohmann::json::parse(kLedger);
  content[nlohmann::json::json_pointer(member.pointer)] =
      nlohmann::json::parse(form.value);
  EXPECT_FALSE(ParsePublished({"ledger", 7, false, content.dump()}));
}

INSTANTIATE_TEST_SUITE_P(
    All,
    LimitFormTest,
    testing::Combine(
        testing::Values(LimitMember{"Workspaces", "/workspaces"},
                        LimitMember{"Calls", "/calls"},
                        LimitMember{"Timeout", "/calls/timeoutMs"},
                        LimitMember{"Queue", "/calls/maximumQueue"},
                        LimitMember{"Concurrency",
                                    "/calls/endpointConcurrency"},
                        LimitMember{"RetryBudget", "/calls/retryBudget"},
                        LimitMember{"HedgeBudget", "/calls/hedgeBudget"},
                        LimitMember{"Routes", "/calls/routes"},
                        LimitMember{"Rollout", "/rollout"}),
        testing::Values(LimitForm{"Null", "null"},
                        LimitForm{"Text", R"("9")"},
                        LimitForm{"Negative", "-1"},
                        LimitForm{"True", "true"},
                        LimitForm{"ListOfNull", "[null]"},
                        LimitForm{"ListOfEmptyObject", "[{}]"},
                        LimitForm{"ListOfLists", "[[]]"})),
    [](const auto& info) {
      return std::string(std::get<0>(info.param).name) +
             std::get<1>(info.param).name;
    });

}  // namespace
}  // namespace radishrudder::daemon
