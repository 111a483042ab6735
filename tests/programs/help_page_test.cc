#include <algorithm>
#include <fstream>
#include <iterator>
#include <sstream>

#include <gtest/gtest.h>

#include "apps/radishrudder/command.h"
#include "radishrudder/logging/events.h"

namespace radishrudder::command_line {
namespace {

std::string ReadPage(const std::string& name) {
  std::ifstream file("../../docs/help/" + name);
  return {std::istreambuf_iterator<char>(file), {}};
}

// Returns the text as the code block of a page.
std::string Block(const std::string& text) {
  std::istringstream lines(text);
  std::string block;
  for (std::string line; std::getline(lines, line);) {
    block += line.empty() ? "\n" : "    " + line + "\n";
  }
  return block;
}

std::vector<std::string> Names() {
  std::vector<std::string> names;
  for (const Command& command : AllCommands()) {
    names.emplace_back(command.name);
  }
  return names;
}

class HelpPageTest : public testing::TestWithParam<std::string> {};

TEST_P(HelpPageTest, HoldsWhatHelpPrints) {
  const std::string& name = GetParam();
  const std::vector<Command> commands = AllCommands();
  const Command& command = *std::ranges::find(commands, name, &Command::name);
  const std::string help =
      settings::Help("radishrudder " + name, command.purpose, command.options,
                     command.arguments);
  const std::string page = ReadPage("radishrudder-" + name + ".md");
  EXPECT_NE(page.find(Block(help)), std::string::npos)
      << "docs/help/radishrudder-" << name << ".md lacks:\n"
      << Block(help);
}

INSTANTIATE_TEST_SUITE_P(All,
                         HelpPageTest,
                         testing::ValuesIn(Names()),
                         [](const auto& info) {
                           // GoogleTest allows no hyphens in names.
                           std::string name = info.param;
                           std::ranges::replace(name, '-', '_');
                           return name;
                         });

TEST(EventPageTest, HasASectionForEachEvent) {
  const std::string page = ReadPage("events.md");
  for (const logging::Event& event : logging::Catalogue()) {
    const std::string title = "\n## " + std::to_string(event.number) + " " +
                              std::string(event.name) + "\n";
    EXPECT_NE(page.find(title), std::string::npos) << title;
  }
}

}  // namespace
}  // namespace radishrudder::command_line
