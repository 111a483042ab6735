#include "radishrudder/peers/peer_report.h"

#include <gtest/gtest.h>

namespace radishrudder::peers {
namespace {

using std::chrono::milliseconds;

TEST(PeerReportTest, ParsesWhatItWrites) {
  const PeerReport report{
      .address = "10.0.0.1:80",
      .peers = {"10.0.0.2:80"},
      .store_age = milliseconds(20),
      .store_lost = true,
      .configuration = {{12, milliseconds(340)}},
      .declarations = {{"draft", 4, milliseconds(30), milliseconds(900), true},
                       {"draft", 3, milliseconds(70), std::nullopt, false}},
      .suspects = {{"5c1e",
                    {{"i-1/7", milliseconds(40), milliseconds(90)}},
                    {}},
                   {"91bd", {}, milliseconds(70)}},
      .demands = {{"entry-1", "service", 12.5, milliseconds(900)}},
      .limits = {{"i-1", 7, 1.5, milliseconds(60)},
                 {"i-2", 8, std::nullopt, milliseconds(80)}}};
  const auto parsed = ParsePeerReport(ToText(report));
  ASSERT_TRUE(parsed);
  EXPECT_EQ(parsed->address, report.address);
  EXPECT_EQ(parsed->peers, report.peers);
  EXPECT_EQ(parsed->store_age, report.store_age);
  EXPECT_TRUE(parsed->store_lost);
  ASSERT_TRUE(parsed->configuration);
  EXPECT_EQ(parsed->configuration->version, 12U);
  EXPECT_EQ(parsed->configuration->age, milliseconds(340));
  ASSERT_EQ(parsed->declarations.size(), 2U);
  EXPECT_TRUE(parsed->declarations[0].store_lost);
  EXPECT_FALSE(parsed->declarations[1].store_lost);
  EXPECT_EQ(parsed->declarations[0].model, "draft");
  EXPECT_EQ(parsed->declarations[0].version, 4U);
  EXPECT_EQ(parsed->declarations[0].read_age, milliseconds(30));
  EXPECT_EQ(parsed->declarations[0].absent_age, milliseconds(900));
  EXPECT_FALSE(parsed->declarations[1].absent_age);
  ASSERT_EQ(parsed->suspects.size(), 2U);
  EXPECT_EQ(parsed->suspects[0].signature, "5c1e");
  ASSERT_EQ(parsed->suspects[0].crashes.size(), 1U);
  EXPECT_EQ(parsed->suspects[0].crashes[0].run, "i-1/7");
  EXPECT_EQ(parsed->suspects[0].crashes[0].age, milliseconds(40));
  EXPECT_EQ(parsed->suspects[0].crashes[0].began_age, milliseconds(90));
  EXPECT_FALSE(parsed->suspects[0].cleared_age);
  EXPECT_EQ(parsed->suspects[1].cleared_age, milliseconds(70));
  ASSERT_EQ(parsed->demands.size(), 1U);
  EXPECT_EQ(parsed->demands[0].entry, "entry-1");
  EXPECT_EQ(parsed->demands[0].service, "service");
  EXPECT_EQ(parsed->demands[0].calls_per_second, 12.5);
  EXPECT_EQ(parsed->demands[0].age, milliseconds(900));
  ASSERT_EQ(parsed->limits.size(), 2U);
  EXPECT_EQ(parsed->limits[0].endpoint, "i-1");
  EXPECT_EQ(parsed->limits[0].incarnation, 7U);
  EXPECT_EQ(parsed->limits[0].requests_per_second, 1.5);
  EXPECT_EQ(parsed->limits[0].age, milliseconds(60));
  EXPECT_FALSE(parsed->limits[1].requests_per_second);
}

// Guards against a process that ends by an exception because a caller named a
// prompt part that is not UTF-8.
TEST(PeerReportTest, WritesSignaturesOfAnyBytes) {
  const PeerReport report{.address = "10.0.0.1:80",
                          .suspects = {{"\xff\xfe", {}, milliseconds(70)},
                                       {"91bd", {}, milliseconds(70)}}};
  const auto parsed = ParsePeerReport(ToText(report));
  ASSERT_TRUE(parsed);
  ASSERT_EQ(parsed->suspects.size(), 2U);
  EXPECT_EQ(parsed->suspects[1].signature, "91bd");
}

// Processes of the release before may still run beside this one.
TEST(PeerReportTest, ReadsSuspectsWithoutAges) {
  const auto parsed = ParsePeerReport(
      R"({"address":"a","peers":[],"declarations":[],"parts":[)"
      R"({"part":"p","cleared":false,"crashes":[{"run":"r","ageMs":5}]},)"
      R"({"part":"q","cleared":true,"crashes":[]}]})");
  ASSERT_TRUE(parsed);
  ASSERT_EQ(parsed->suspects.size(), 2U);
  EXPECT_EQ(parsed->suspects[0].crashes[0].began_age, milliseconds(5));
  EXPECT_FALSE(parsed->suspects[0].cleared_age);
  EXPECT_EQ(parsed->suspects[1].cleared_age, milliseconds(0));
}

// Guards against processes that no longer understand each other once they have
// run for longer than a day: a declaration is reported as long as it is known.
TEST(PeerReportTest, ReadsAgesOfProcessesThatRunForMonths) {
  constexpr std::chrono::days kAge{100};
  const PeerReport report{
      .address = "10.0.0.1:80",
      .store_age = kAge,
      .declarations = {{"draft", 4, kAge, kAge, false}},
      .suspects = {
          {"5c1e", {{"i-1/7", milliseconds(1), milliseconds(2)}}, {}}}};
  const auto parsed = ParsePeerReport(ToText(report));
  ASSERT_TRUE(parsed);
  EXPECT_EQ(parsed->store_age, kAge);
  ASSERT_EQ(parsed->declarations.size(), 1U);
  EXPECT_EQ(parsed->declarations[0].read_age, kAge);
  EXPECT_EQ(parsed->suspects.size(), 1U);
}

// Anything may arrive at the port for peers; it must not end the process.
class InvalidReportTest : public testing::TestWithParam<const char*> {};

TEST_P(InvalidReportTest, IsRejected) {
  EXPECT_FALSE(ParsePeerReport(GetParam()));
}

INSTANTIATE_TEST_SUITE_P(
    All,
    InvalidReportTest,
    testing::Values(
        "",
        "[]",
        "{}",
        R"({"address":1,"peers":[],"declarations":[]})",
        R"({"address":"a","peers":[1],"declarations":[]})",
        R"({"address":"a","peers":[],"declarations":[{}]})",
        R"({"address":"a","peers":[],"declarations":[],)"
        R"("storeMs":"x"})",
        R"({"address":"a","peers":[],"declarations":[],)"
        R"("parts":[{"part":"p","crashes":[{"run":"r"}]}]})",
        R"({"address":"a","peers":[],"declarations":[],"parts":[)"
        R"({"part":"p","crashes":[{"run":"r","ageMs":5,)"
        R"("beganMs":4}]}]})",
        R"({"address":"a","peers":[],"declarations":[],"demands":)"
        R"([{"entry":"e","service":"s","perSecond":-1,"ageMs":0}]})",
        R"({"address":"a","peers":[],"declarations":[],"demands":)"
        R"([{"entry":"e","service":"s","perSecond":"x"}]})",
        R"({"address":"a","peers":[],"declarations":[],"limits":)"
        R"([{"endpoint":"i","incarnation":1,"perSecond":-1,"ageMs":0}]})",
        R"({"address":"a","peers":[],"declarations":[],"limits":)"
        R"([{"endpoint":"i","incarnation":"x","ageMs":0}]})",
        R"({"address":"a","peers":[],"declarations":[],"limits":{"a":1}})",
        R"({"address":"a","peers":[],"declarations":[],"configuration":3})",
        R"({"address":"a","peers":[],"declarations":[],)"
        R"("configuration":{"version":"x","ageMs":1}})",
        R"({"address":"a","peers":[],"declarations":[],)"
        R"("storeMs":-1})",
        R"({"address":"a","peers":[],"declarations":[],)"
        R"("storeMs":315360000001})",
        R"({"address":"a","peers":[],"declarations":[],)"
        R"("storeMs":18446744073709551615})",
        R"({"address":"a","peers":[],"declarations":[{"model":"m",)"
        R"("version":1,"readMs":9,"absentMs":8}]})"));

}  // namespace
}  // namespace radishrudder::peers
