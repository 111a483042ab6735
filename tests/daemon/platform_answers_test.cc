#include <gtest/gtest.h>

#include <string>

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
                    R"({"revision":1,"documents":3,"instances":3})"));

class OddItemTest : public testing::TestWithParam<const char*> {};

// Guards against one odd instance or document of the platform after which none
// of the others are followed, and against numbers that are converted although
// they do not fit.
TEST_P(OddItemTest, IsAProblemAndTheOthersHold) {
  const std::string odd = GetParam();
  std::string problem;
  const auto documents = ParseDocuments(
      R"({"revision":9,"documents":[{"service":"a","revision":3},)" + odd +
          R"(,{"service":"b","revision":4}]})",
      problem);
  EXPECT_FALSE(problem.empty());
  ASSERT_TRUE(documents);
  EXPECT_TRUE(documents->succeeded);
  EXPECT_EQ(documents->revision, 9U);
  ASSERT_EQ(documents->documents.size(), 2U);
  EXPECT_EQ(documents->documents[1].service, "b");
  problem.clear();
  constexpr char kGood[] =
      R"({"instance":"a","role":"entry","address":"127.0.0.1:1",)"
      R"("data_centre":"x"})";
  const auto instances =
      ParseInstances(R"({"revision":9,"instances":[)" + odd + "," + kGood +
                         "," + odd + "," + kGood + "]}",
                     problem);
  EXPECT_FALSE(problem.empty());
  EXPECT_LE(problem.size(), 1024U);
  ASSERT_TRUE(instances);
  EXPECT_EQ(instances->revision, 9U);
  EXPECT_EQ(instances->instances.size(), 2U);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    OddItemTest,
    testing::Values(
        "7",
        "null",
        "[]",
        "{}",
        R"("text")",
        R"({"service":"s","instance":7,"role":"agent","address":"1.2.3.4:5",
            "data_centre":"x","revision":"3"})",
        R"({"service":7,"instance":"i","role":"agent","address":"1.2.3.4:5",
            "data_centre":"x","revision":3})",
        R"({"service":"s","instance":"i","role":"agent","address":5,
            "data_centre":"x","revision":-1})",
        R"({"service":"s","instance":"i","role":[],"address":"1.2.3.4:5",
            "data_centre":"x","revision":1e300})",
        R"({"service":"s","instance":"i","role":"agent",
            "address":"1.2.3.4:5","data_centre":{},
            "revision":99999999999999999999999999})",
        R"({"service":"s","instance":"i","role":"agent",
            "address":"1.2.3.4:5","data_centre":"x","leaving":1,
            "revision":3,"deleted":1})",
        R"({"service":"s","instance":"i","role":"agent",
            "address":"1.2.3.4:5","data_centre":"x","region":7,
            "revision":3,"content":[]})"));

class OddRevisionTest : public testing::TestWithParam<const char*> {};

// Guards against a revision beyond all others, after which no change would be
// read, and one that is converted although it does not fit.
TEST_P(OddRevisionTest, OfTheAnswerIsAProblem) {
  const std::string revision = GetParam();
  std::string problem;
  EXPECT_FALSE(ParseDocuments(
      R"({"revision":)" + revision + R"(,"documents":[]})", problem));
  EXPECT_FALSE(problem.empty());
  problem.clear();
  EXPECT_FALSE(ParseInstances(
      R"({"revision":)" + revision + R"(,"instances":[]})", problem));
  EXPECT_FALSE(problem.empty());
}

INSTANTIATE_TEST_SUITE_P(All,
                         OddRevisionTest,
                         testing::Values("-1",
                                         "1.5",
                                         "1e300",
                                         "1e999",
                                         "99999999999999999999999999",
                                         "null",
                                         R"("9")"));

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
