// Tests that numbers of any size in an endpoint's headers are decoded within
// the ranges that the entry computes with.
#include <gtest/gtest.h>

#include <chrono>
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

class OddHeaderTest
    : public testing::TestWithParam<std::tuple<std::string, std::string>> {};

// Guards against a number in a response that overflows a time or a count, or
// that withdraws an endpoint for longer than a day.
TEST_P(OddHeaderTest, IsDecodedInRange) {
  const auto& [name, value] = GetParam();
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
    testing::Combine(testing::Values("Retry-After",
                                     "Server-Limit",
                                     "Radishrudder-Cold-Ms",
                                     "Radishrudder-Weight-Versions",
                                     "Radishrudder-Instance-Load",
                                     "Keep-Alive"),
                     testing::Values("",
                                     "-1",
                                     "1e999",
                                     "-1e999",
                                     "1e300",
                                     "1e-400",
                                     "nan",
                                     "inf",
                                     "-inf",
                                     "18446744073709551615",
                                     "18446744073709551616",
                                     "99999999999999999999999999",
                                     "-9223372036854775808",
                                     "1.5",
                                     "0x10",
                                     "text",
                                     "\xff\xfe",
                                     "4294967295,4294967295,4294967295",
                                     "4294967296,0,1",
                                     "1,1,18446744073709551615,1e300",
                                     "1,1,8,nan",
                                     "1,1,8,-1e999",
                                     "timeout=99999999999999999999999999",
                                     "timeout=-1",
                                     std::string(65'536, '9'),
                                     std::string(65'536, ','))));

}  // namespace
}  // namespace radishrudder::platform
