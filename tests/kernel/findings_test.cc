#include "radishrudder/kernel/findings.h"

#include <gtest/gtest.h>

namespace radishrudder::kernel {
namespace {

struct FormatCase {
  const char* name;
  Finding finding;
  const char* expected;
};

class FindingFormatTest : public testing::TestWithParam<FormatCase> {};

TEST_P(FindingFormatTest, IncludesPositionAndValidValues) {
  EXPECT_EQ(Format(GetParam().finding), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    FindingFormatTest,
    testing::Values(
        FormatCase{"LineAndPointer",
                   {Severity::kError,
                    {"a.json", 3, 7, "/model/name"},
                    "\"\" is empty",
                    "a name"},
                   "a.json:3:7: error: \"\" is empty at /model/name; valid: "
                   "a name"},
        FormatCase{"FlagWithoutLine",
                   {Severity::kError, {"--port", 0, 0, ""}, "\"x\"", "1 to 9"},
                   "--port: error: \"x\"; valid: 1 to 9"},
        FormatCase{"Warning",
                   {Severity::kWarning, {"f", 1, 1, ""}, "unused", ""},
                   "f:1:1: warning: unused"}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against a document of unknown origin that fills the memory, and
// against one whose errors go unnoticed because they come late.
TEST(FindingsTest, KeepsTheFirstFindingsAndKnowsOfErrors) {
  Findings findings(2);
  findings.Warning({}, "first", "");
  findings.Warning({}, "second", "");
  EXPECT_FALSE(findings.HasErrors());
  findings.Error({}, "third", "");
  EXPECT_TRUE(findings.HasErrors());
  Findings all;
  all.Append(findings);
  EXPECT_TRUE(all.HasErrors());
  ASSERT_EQ(all.Items().size(), 2U);
  EXPECT_EQ(all.Items()[1].text, "second");
}

TEST(FindingsTest, HasErrorsIgnoresWarnings) {
  Findings findings;
  findings.Warning({}, "w", "");
  EXPECT_FALSE(findings.HasErrors());
  findings.Error({}, "e", "");
  EXPECT_TRUE(findings.HasErrors());
  EXPECT_EQ(findings.Items().size(), 2U);
}

}  // namespace
}  // namespace radishrudder::kernel
