#include "radishrudder/logging/record.h"

#include <gtest/gtest.h>

namespace radishrudder::logging {
namespace {

TEST(RecordTest, ParsesAllPartsOfLine) {
  const auto record = ParseRecord(
      "1970-01-02T00:00:01.005Z WARN 501 call-failed id=ab12 "
      "detail=\"a \\\"b\\\" c\" status=0 problem=\"\"");
  ASSERT_TRUE(record);
  EXPECT_EQ(record->time, std::chrono::milliseconds(86'401'005));
  EXPECT_EQ(record->level, "WARN");
  EXPECT_EQ(record->number, 501U);
  EXPECT_EQ(record->name, "call-failed");
  EXPECT_EQ(record->Find("id"), "ab12");
  EXPECT_EQ(record->Find("detail"), "a \\\"b\\\" c");
  EXPECT_EQ(record->Find("status"), "0");
  EXPECT_EQ(record->Find("problem"), "");
  EXPECT_TRUE(record->Mentions("ab12"));
  EXPECT_FALSE(record->Mentions("ab1"));
}

class InvalidRecordTest : public testing::TestWithParam<const char*> {};

TEST_P(InvalidRecordTest, IsRejected) {
  EXPECT_FALSE(ParseRecord(GetParam()));
}

INSTANTIATE_TEST_SUITE_P(
    All,
    InvalidRecordTest,
    testing::Values("",
                    "terminate called",
                    "1970-01-02 00:00:01.005Z WARN 501 call-failed",
                    "1970-13-02T00:00:01.005Z WARN 501 call-failed",
                    "1970-01-02T00:00:01.005Z WARN x call-failed",
                    "1970-01-02T00:00:01.005Z WARN 501 call-failed id",
                    "1970-01-02T00:00:01.005Z WARN 501 call-failed id=\"a"));

}  // namespace
}  // namespace radishrudder::logging
