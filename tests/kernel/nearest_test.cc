#include "radishrudder/kernel/nearest.h"

#include <gtest/gtest.h>

namespace radishrudder::kernel {
namespace {

struct NearestCase {
  const char* name;
  std::string_view given;
  std::string_view expected;
};

void PrintTo(const NearestCase& test, std::ostream* stream) {
  *stream << test.name;
}

class NearestTest : public testing::TestWithParam<NearestCase> {};

TEST_P(NearestTest, FindsLikelyMisspellings) {
  constexpr std::string_view kNames[] = {"timeoutMs", "routes", "share"};
  EXPECT_EQ(Nearest(GetParam().given, kNames), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    NearestTest,
    testing::Values(NearestCase{"Case", "timeoutms", "timeoutMs"},
                    NearestCase{"Transposition", "timeuotMs", "timeoutMs"},
                    NearestCase{"Plural", "shares", "share"},
                    NearestCase{"ExtraLetter", "raoute", "routes"},
                    NearestCase{"TooDifferent", "colour", ""},
                    NearestCase{"Empty", "", ""}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace radishrudder::kernel
