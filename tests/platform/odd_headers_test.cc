// Tests that numbers of any size in an endpoint's headers are decoded within
// the ranges that the entry computes with.
#include <gtest/gtest.h>

#include <chrono>
#include <ostream>
#include <string>
#include <tuple>

#include "platform/messages.h"

namespace radishrudder::platform {
namespace {

using std::chrono::milliseconds;

// Longer times than a day are decoded as a day.
constexpr milliseconds kLongestTime{86'400'000};
constexpr double kHighestRate = 1e6;
constexpr double kHighestPace = 100;

struct OddNumber {
  const char* name;
  std::string value;
};

void PrintTo(const OddNumber& number, std::ostream* stream) {
  *stream << number.name;
}

class OddHeaderTest
    : public testing::TestWithParam<std::tuple<std::string, OddNumber>> {};

// Guards against a number in a response that overflows a time or a count, or
// that withdraws an endpoint for longer than a day.
TEST_P(OddHeaderTest, IsDecodedInRange) {
  const std::string& name = std::get<0>(GetParam());
  const std::string& value = std::get<1>(GetParam()).value;
  for (const int status : {200, 503}) {
    const auto response = CallCodec::DecodeResponse(
        {.status = status, .headers = {{name, value}}, .length = 2}, "i-1");
    const milliseconds pause =
        response.requested_pause.value_or(milliseconds(0));
    EXPECT_GE(pause, milliseconds(0));
    EXPECT_LE(pause, kLongestTime);
    const milliseconds cold = response.cold_time.value_or(milliseconds(0));
    EXPECT_GE(cold, milliseconds(0));
    EXPECT_LE(cold, kLongestTime);
    const double rate = response.requests_per_second.value_or(0);
    EXPECT_GE(rate, 0);
    EXPECT_LE(rate, kHighestRate);
    if (response.load) {
      EXPECT_GT(response.load->pace.value_or(1), 0);
      EXPECT_LE(response.load->pace.value_or(1), kHighestPace);
    }
    constexpr std::size_t kMaximumUnreadableBytes = 200;
    EXPECT_LE(response.unreadable.size(), kMaximumUnreadableBytes);
  }
}

INSTANTIATE_TEST_SUITE_P(
    All,
    OddHeaderTest,
    testing::Combine(
        testing::Values("Retry-After",
                        "Server-Limit",
                        "Radishrudder-Cold-Ms",
                        "Radishrudder-Weight-Versions",
                        "Radishrudder-Instance-Load",
                        "Keep-Alive"),
        testing::Values(
            OddNumber{"Empty", ""},
            OddNumber{"Negative", "-1"},
            OddNumber{"TooLargeExponent", "1e999"},
            OddNumber{"TooLargeNegative", "-1e999"},
            OddNumber{"LargeExponent", "1e300"},
            OddNumber{"SmallExponent", "1e-400"},
            OddNumber{"NotANumber", "nan"},
            OddNumber{"Infinite", "inf"},
            OddNumber{"NegativeInfinite", "-inf"},
            OddNumber{"LargestInteger", "18446744073709551615"},
            OddNumber{"AfterLargestInteger", "18446744073709551616"},
            OddNumber{"Digits26", "99999999999999999999999999"},
            OddNumber{"SmallestInteger", "-9223372036854775808"},
            OddNumber{"Fraction", "1.5"},
            OddNumber{"Hexadecimal", "0x10"},
            OddNumber{"Text", "text"},
            OddNumber{"Bytes", "\xff\xfe"},
            OddNumber{"LargestCounts", "4294967295,4294967295,4294967295"},
            OddNumber{"TooLargeCounts", "4294967296,0,1"},
            OddNumber{"TooLargePace", "1,1,18446744073709551615,1e300"},
            OddNumber{"PaceNotANumber", "1,1,8,nan"},
            OddNumber{"NegativePace", "1,1,8,-1e999"},
            OddNumber{"TooLargeTimeout", "timeout=99999999999999999999999999"},
            OddNumber{"NegativeTimeout", "timeout=-1"},
            OddNumber{"ManyDigits", std::string(65'536, '9')},
            OddNumber{"ManyCommas", std::string(65'536, ',')})),
    [](const auto& info) {
      std::string name = std::get<0>(info.param);
      std::erase(name, '-');
      return name + std::get<1>(info.param).name;
    });

}  // namespace
}  // namespace radishrudder::platform
