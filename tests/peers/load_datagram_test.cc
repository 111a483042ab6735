#include "radishrudder/peers/load_datagram.h"

#include <gtest/gtest.h>

#include <limits>
#include <nlohmann/json.hpp>

namespace radishrudder::peers {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

LoadReportDatagram Report() {
  return {.load = {.started_at_ms = 1'790'000'000'123,
                   .running = 11,
                   .waiting = 3,
                   .pace = 2.5,
                   .takes_no_new_calls = true,
                   .model = "chat",
                   .version = 7,
                   .cache_used = 40'000,
                   .cache_total = 120'000},
          .sequence = 1'790'000'000'999,
          .age = milliseconds(12)};
}

Json ReportJson() {
  return Json::from_cbor(Encode(Report()));
}

std::string ToBytes(const Json& json) {
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

TEST(LoadDatagramTest, DecodesWhatItEncodes) {
  const auto decoded = DecodeLoadDatagram(Encode(Report()));
  ASSERT_TRUE(decoded);
  const auto* report = std::get_if<LoadReportDatagram>(&*decoded);
  ASSERT_NE(report, nullptr);
  EXPECT_EQ(report->load, Report().load);
  EXPECT_EQ(report->sequence, Report().sequence);
  EXPECT_EQ(report->age, Report().age);

  const auto subscription = DecodeLoadDatagram(Encode(LoadSubscription{}));
  ASSERT_TRUE(subscription);
  EXPECT_TRUE(std::holds_alternative<LoadSubscription>(*subscription));
}

// Guards against a report that its receiver rejects because of its size.
TEST(LoadDatagramTest, StaysBelowTheLimitWithTheLargestFigures) {
  constexpr auto kMaximum = std::numeric_limits<std::uint64_t>::max();
  constexpr auto kCount = std::numeric_limits<std::uint32_t>::max();
  const std::string bytes =
      Encode(LoadReportDatagram{.load = {.started_at_ms = kMaximum,
                                         .running = kCount,
                                         .waiting = kCount,
                                         .pace = 100,
                                         .takes_no_new_calls = true,
                                         .model = std::string(64, 'm'),
                                         .version = kMaximum,
                                         .cache_used = kMaximum,
                                         .cache_total = kMaximum},
                                .sequence = kMaximum,
                                .age = std::chrono::hours(1000)});
  EXPECT_LT(bytes.size(), kLoadDatagramLimit);
  EXPECT_TRUE(DecodeLoadDatagram(bytes));
}

// Guards against a model whose name makes all of its reports too long.
TEST(LoadDatagramTest, LeavesOutALongModelName) {
  LoadReportDatagram report = Report();
  report.load.model = std::string(500, 'm');
  const auto decoded = DecodeLoadDatagram(Encode(report));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(std::get<LoadReportDatagram>(*decoded).load.model, "");
  EXPECT_EQ(std::get<LoadReportDatagram>(*decoded).load.version, 7U);
}

struct PaceCase {
  const char* name;
  double sent;
  double received;
};

class LoadDatagramPaceTest : public testing::TestWithParam<PaceCase> {};

// Guards against an absurd pace that excludes or prefers an endpoint.
TEST_P(LoadDatagramPaceTest, Pace) {
  LoadReportDatagram report = Report();
  report.load.pace = GetParam().sent;
  const auto decoded = DecodeLoadDatagram(Encode(report));
  ASSERT_TRUE(decoded);
  EXPECT_DOUBLE_EQ(std::get<LoadReportDatagram>(*decoded).load.pace,
                   GetParam().received);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    LoadDatagramPaceTest,
    testing::Values(
        PaceCase{"Usual", 1, 1},
        PaceCase{"Slowest", 100, 100},
        PaceCase{"Fastest", 0.01, 0.01},
        PaceCase{"Zero", 0, 1},
        PaceCase{"Negative", -2, 1},
        PaceCase{"TooHigh", 101, 1},
        PaceCase{"NotANumber", std::numeric_limits<double>::quiet_NaN(), 1},
        PaceCase{"Infinite", std::numeric_limits<double>::infinity(), 1}),
    [](const auto& info) { return std::string(info.param.name); });

struct MalformedCase {
  const char* name;
  std::string bytes;
};

std::vector<MalformedCase> MalformedCases() {
  const std::string report = Encode(Report());
  std::vector<MalformedCase> cases{
      {"Empty", ""},
      {"Text", "GET /report HTTP/1.1"},
      {"CutOff", report.substr(0, report.size() - 1)},
      {"TrailingBytes", report + "x"},
      {"TooLong", report + std::string(kLoadDatagramLimit, '\0')},
      {"Array", ToBytes(Json::array({1, 2}))},
      {"NoKind", ToBytes(Json::object())},
      {"UnknownKind", ToBytes({{"k", 9}})},
      // Each byte opens an array of one element.
      {"DeepNesting", std::string(kLoadDatagramLimit - 1, '\x81')}};
  const auto with = [&cases](const char* name, const char* member, Json value) {
    Json json = ReportJson();
    json[member] = std::move(value);
    cases.push_back({name, ToBytes(json)});
  };
  with("NegativeCount", "r", -1);
  with("CountTooHigh", "w", std::uint64_t{1} << 32U);
  with("FractionalCount", "r", 1.5);
  with("FlagIsNumber", "n", 1);
  with("ModelIsNumber", "m", 1);
  with("AgeTooHigh", "a", 60'001);
  with("SequenceIsText", "s", "1");
  const Json complete = ReportJson();
  for (const auto& [member, value] : complete.items()) {
    Json json = complete;
    json.erase(member);
    cases.push_back({"Without", ToBytes(json)});
  }
  return cases;
}

// Guards against datagrams of other programs, and damaged ones, that end the
// process or are taken for a load.
TEST(LoadDatagramTest, RejectsMalformedDatagrams) {
  for (const MalformedCase& item : MalformedCases()) {
    EXPECT_FALSE(DecodeLoadDatagram(item.bytes)) << item.name;
  }
}

// Guards against processes of one release that reject datagrams of the next.
TEST(LoadDatagramTest, IgnoresUnknownMembers) {
  Json json = ReportJson();
  json["x"] = 1;
  EXPECT_TRUE(DecodeLoadDatagram(ToBytes(json)));
}

// Guards against a damaged byte that ends the process.
TEST(LoadDatagramTest, SurvivesAnyDamagedByte) {
  const std::string report = Encode(Report());
  for (std::size_t place = 0; place < report.size(); ++place) {
    for (int value = 0; value < 256; ++value) {
      std::string damaged = report;
      damaged[place] = static_cast<char>(value);
      const auto decoded = DecodeLoadDatagram(damaged);
      if (decoded && std::holds_alternative<LoadReportDatagram>(*decoded)) {
        const auto& load = std::get<LoadReportDatagram>(*decoded).load;
        EXPECT_GE(load.pace, 0.01);
        EXPECT_LE(load.pace, 100);
      }
    }
  }
}

}  // namespace
}  // namespace radishrudder::peers
