#include <gtest/gtest.h>

#include "radishrudder/daemon/endpoint_client.h"
#include "radishrudder/daemon/platform_reader.h"

namespace radishrudder::daemon {
namespace {

TEST(ParseDocumentsTest, ReadsRevisionsAndTombstones) {
  std::string problem;
  const auto read = ParseDocuments(
      R"({"revision":9,"documents":[
          {"service":"a","revision":8,"content":"{}"},
          {"service":"b","revision":9,"deleted":true}]})",
      problem);
  ASSERT_TRUE(read) << problem;
  EXPECT_TRUE(read->succeeded);
  EXPECT_EQ(read->revision, 9U);
  ASSERT_EQ(read->documents.size(), 2U);
  EXPECT_EQ(read->documents[0].content, "{}");
  EXPECT_TRUE(read->documents[1].deleted);
}

TEST(ParseInstancesTest, ReadsRolesAndLeaving) {
  std::string problem;
  const auto read = ParseInstances(
      R"({"revision":3,"instances":[
          {"instance":"e","role":"entry","address":"127.0.0.1:1",
           "data_centre":"x"},
          {"instance":"a","role":"agent","service":"s","address":"127.0.0.1:2",
           "data_centre":"x","region":"r","leaving":true}]})",
      problem);
  ASSERT_TRUE(read) << problem;
  ASSERT_EQ(read->instances.size(), 2U);
  EXPECT_EQ(read->instances[0].role, membership::Role::kEntry);
  EXPECT_EQ(read->instances[0].region, "x");
  EXPECT_EQ(read->instances[1].service, "s");
  EXPECT_TRUE(read->instances[1].leaving);
}

class MalformedAnswerTest : public testing::TestWithParam<const char*> {};

TEST_P(MalformedAnswerTest, IsAProblemAndNotAnException) {
  std::string problem;
  EXPECT_FALSE(ParseDocuments(GetParam(), problem));
  EXPECT_FALSE(problem.empty());
  problem.clear();
  EXPECT_FALSE(ParseInstances(GetParam(), problem));
  EXPECT_FALSE(problem.empty());
  EXPECT_FALSE(ParseEndpointReport(GetParam()));
}

INSTANTIATE_TEST_SUITE_P(
    All,
    MalformedAnswerTest,
    testing::Values("",
                    "{",
                    "[]",
                    "{}",
                    R"({"revision":"x","documents":[],"instances":[]})",
                    R"({"revision":1,"documents":[{}],"instances":[{}]})",
                    R"({"revision":1,"documents":3,"instances":3})"));

TEST(ParseEndpointReportTest, ReadsWhatRuns) {
  const auto report = ParseEndpointReport(
      R"({"running_digest":"sha256:aa","start_id":"7","capacity":8})");
  ASSERT_TRUE(report);
  EXPECT_TRUE(report->status.reachable);
  EXPECT_EQ(report->status.running_digest, "sha256:aa");
  EXPECT_EQ(report->status.start_id, "7");
  EXPECT_EQ(report->capacity, 8U);
}

}  // namespace
}  // namespace radishrudder::daemon
