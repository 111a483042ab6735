#include "radishrudder/logging/events.h"

#include <fstream>
#include <iterator>
#include <regex>
#include <set>

#include <gtest/gtest.h>

namespace radishrudder::logging {
namespace {

std::string LevelName(Level level) {
  switch (level) {
    case Level::kDebug:
      return "debug";
    case Level::kInfo:
      return "info";
    case Level::kWarning:
      return "warning";
    case Level::kError:
      return "error";
  }
  return "";
}

std::string TableRow(const Event& event) {
  return "| " + std::to_string(event.number) + " | " + std::string(event.name) +
         " | " + LevelName(event.level) + " | " + std::string(event.meaning) +
         " |";
}

std::vector<std::string> DocumentedRows() {
  std::ifstream page("../../docs/events.md");
  std::vector<std::string> rows;
  for (std::string line; std::getline(page, line);) {
    if (std::regex_search(line, std::regex("^\\| [0-9]"))) {
      rows.push_back(line);
    }
  }
  return rows;
}

TEST(CatalogueTest, DocumentedAsInTheCode) {
  std::vector<std::string> rows;
  for (const Event& event : Catalogue()) {
    rows.push_back(TableRow(event));
  }
  EXPECT_EQ(DocumentedRows(), rows);
}

TEST(CatalogueTest, NumbersRiseAndNamesAreUnique) {
  std::set<std::string_view> names;
  int last = 0;
  for (const Event& event : Catalogue()) {
    EXPECT_GT(event.number, last);
    EXPECT_TRUE(names.insert(event.name).second) << event.name;
    last = event.number;
  }
}

std::string Logged(Level least,
                   const Event& event,
                   std::initializer_list<Field> fields) {
  testing::internal::CaptureStderr();
  Initialize("test", least);
  Log(event, fields);
  return testing::internal::GetCapturedStderr();
}

TEST(LogTest, WritesOneRecordALine) {
  const std::string record =
      Logged(Level::kInfo, kInstanceLost,
             {{"instance", "a-1"}, {"reason", "no answer\nfor \"5\" s"}});
  const std::regex expected(
      R"(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z WARN 303 instance-lost )"
      R"(instance=a-1 reason="no answer\\u000afor \\"5\\" s"\n)");
  EXPECT_TRUE(std::regex_match(record, expected)) << record;
}

TEST(LogTest, LeavesOutWhatIsBelowTheLevel) {
  EXPECT_EQ(Logged(Level::kError, kInstanceLost, {}), "");
}

}  // namespace
}  // namespace radishrudder::logging
