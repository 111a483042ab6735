#include "radishrudder/daemon/published_document.h"

#include <gtest/gtest.h>

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

}  // namespace
}  // namespace radishrudder::daemon
