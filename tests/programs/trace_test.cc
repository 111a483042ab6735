#include <gtest/gtest.h>

#include "radishrudder/settings/settings.h"
#include "tests/programs/run_program.h"

namespace radishrudder::command_line {
namespace {

TEST(TraceTest, PutsTheLogsOfACallTogether) {
  const Result result =
      RunWith({"trace", "ab12", "cases/entry.log", "cases/other_entry.log"});
  EXPECT_EQ(result.exit_code, settings::kExitSuccess);
  EXPECT_EQ(result.output,
            "cases/other_entry.log: its clock is 2200 ms ahead of that of "
            "cases/entry.log, by 1 records of the same news\n"
            "-2000 ms  cases/entry.log  2026-01-01T16:00:05.000Z WARN 205 "
            "store-lost prefix=op/ problem=\"no answer\"\n"
            "-500 ms  cases/other_entry.log  2026-01-01T16:00:06.500Z INFO 302 "
            "instance-leaving instance=i-1\n"
            "+0 ms  cases/entry.log  2026-01-01T16:00:07.000Z INFO 503 "
            "attempt-failed id=ab12 service=draft endpoint=i-1 status=0 "
            "reason=broken\n"
            "+200 ms  cases/entry.log  2026-01-01T16:00:07.200Z WARN 501 "
            "call-failed id=ab12 service=draft endpoint=i-2 status=0 "
            "reason=timeout\n");
  EXPECT_EQ(result.errors, "1 lines are no records\n");
}

TEST(TraceTest, SaysWhatAMissingRecordMeans) {
  const Result result = RunWith({"trace", "ffff", "cases/other_entry.log"});
  EXPECT_EQ(result.exit_code, settings::kExitFailure);
  EXPECT_EQ(result.output, "");
  EXPECT_NE(result.errors.find("\"ffff\": error: no record has this id"),
            std::string::npos)
      << result.errors;
}

TEST(TraceTest, NamesAFileThatIsMissing) {
  const Result result =
      RunWith({"trace", "ab12", "cases/entry.log", "cases/absent.log"});
  EXPECT_EQ(result.exit_code, settings::kExitFailure);
  EXPECT_NE(result.output.find("+200 ms"), std::string::npos);
  EXPECT_NE(result.errors.find("cases/absent.log: error: cannot be read"),
            std::string::npos)
      << result.errors;
}

}  // namespace
}  // namespace radishrudder::command_line
