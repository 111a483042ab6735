// Tests what the check, the comparison and the agents' part of a configuration
// make of members that limit who may do what.
#include "tests/platform/access_forms.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "platform/configuration_text.h"
#include "platform/documents.h"

namespace radishrudder::platform {
namespace {

class AccessFormTest : public testing::TestWithParam<AccessForm> {
 protected:
  CheckedConfiguration Check() const {
    kernel::Findings findings;
    direct::CheckContext context;
    context.in_force =
        DecodeConfiguration(ConfigurationText("7", FormInForce()), findings);
    return CheckConfigurationText("f.json", ConfigurationText("8", GetParam()),
                                  context);
  }
  bool IsOpen() const { return GetParam().access == Access::kEverybody; }
};

// Guards against a check that takes a list without workspaces for one that
// isn't there, and against one that lets a form pass of which the entries use
// only a part.
TEST_P(AccessFormTest, CheckSaysWhoIsServed) {
  const std::string report = kernel::Format(Check().findings);
  const bool open = GetParam().members.empty();
  EXPECT_EQ(report.find("served without a key") != std::string::npos, open)
      << report;
  kernel::Findings findings;
  DecodeConfiguration(ConfigurationText("8", GetParam()), findings);
  EXPECT_EQ(findings.HasErrors(), !GetParam().valid)
      << kernel::Format(findings);
}

// Guards against a comparison that hides that calls without keys are served, or
// says so of a list without workspaces.
TEST_P(AccessFormTest, ComparisonSaysWhoIsServed) {
  const auto checked = Check();
  const auto says = [&](std::string_view effect) {
    return std::ranges::any_of(checked.changes, [&](const auto& change) {
      return change.effect.find(effect) != std::string::npos;
    });
  };
  EXPECT_EQ(says("without a key are served"), IsOpen());
  EXPECT_EQ(says("served without a workspace"), GetParam().members.empty());
}

// Guards against a form that keeps an agent from the services, and so from the
// weights that it has to bring.
TEST_P(AccessFormTest, AgentReadsServices) {
  kernel::Findings findings;
  auto configuration =
      DecodeConfiguration(ConfigurationText("8", GetParam()), findings);
  ASSERT_TRUE(configuration);
  direct::ConfigurationTable table;
  ASSERT_TRUE(table.Apply(std::move(*configuration)));
  EXPECT_NE(table.FindService("plain"), nullptr);
}

INSTANTIATE_TEST_SUITE_P(All,
                         AccessFormTest,
                         testing::ValuesIn(AccessForms()),
                         [](const auto& info) { return info.param.name; });

class UnreadableTextTest : public testing::TestWithParam<UnreadableText> {};

// Guards against a text of which the check or a reader uses a part, such as one
// without a version.
TEST_P(UnreadableTextTest, IsNoConfiguration) {
  const auto checked = CheckConfigurationText("f.json", GetParam().text, {});
  EXPECT_FALSE(checked.configuration);
  EXPECT_TRUE(checked.findings.HasErrors());
}

INSTANTIATE_TEST_SUITE_P(All,
                         UnreadableTextTest,
                         testing::ValuesIn(UnreadableTexts()),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace radishrudder::platform
