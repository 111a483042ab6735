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

TEST(CatalogueTest, MatchesEventsPage) {
  std::vector<std::string> rows;
  for (const Event& event : Catalogue()) {
    rows.push_back(TableRow(event));
  }
  EXPECT_EQ(DocumentedRows(), rows);
}

TEST(CatalogueTest, NumbersAscendAndNamesAreUnique) {
  std::set<std::string_view> names;
  int previous_number = 0;
  for (const Event& event : Catalogue()) {
    EXPECT_GT(event.number, previous_number);
    EXPECT_TRUE(names.insert(event.name).second) << event.name;
    previous_number = event.number;
  }
}

std::string CaptureLog(Level minimum_level,
                       const Event& event,
                       std::initializer_list<Field> fields) {
  testing::internal::CaptureStderr();
  Initialize("test", minimum_level);
  Log(event, fields);
  return testing::internal::GetCapturedStderr();
}

TEST(LogTest, WritesOneEscapedRecordPerLine) {
  const std::string record =
      CaptureLog(Level::kInfo, kInstanceLost,
                 {{"instance", "a-1"}, {"reason", "no answer\nfor \"5\" s"}});
  const std::regex expected(
      R"(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z WARN 303 instance-lost )"
      R"(instance=a-1 reason="no answer\\u000afor \\"5\\" s"\n)");
  EXPECT_TRUE(std::regex_match(record, expected)) << record;
}

TEST(LogTest, OmitsRecordsBelowMinimumLevel) {
  EXPECT_EQ(CaptureLog(Level::kError, kInstanceLost, {}), "");
}

}  // namespace
}  // namespace radishrudder::logging
