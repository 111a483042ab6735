// Tests that a document of any form is rejected in bounded time, with findings
// of bounded size.
#include <gtest/gtest.h>

#include <chrono>
#include <ostream>
#include <string>
#include <string_view>

#include "radishrudder/document/service_document.h"
#include "radishrudder/kernel/findings.h"

namespace radishrudder::document {
namespace {

constexpr std::size_t kMaximumBytes = std::size_t{1} << 20U;
constexpr std::size_t kMaximumFindingBytes = 1024;
// A daemon follows the changes of the others within this time.
constexpr std::chrono::seconds kLimit{2};

std::string Repeated(std::string_view text, std::size_t bytes) {
  std::string repeated;
  while (repeated.size() + text.size() <= bytes) {
    repeated += text;
  }
  return repeated;
}

std::string WithMember(std::string_view name, std::string_view value) {
  return R"({"service": "s", "kind": "plain", ")" + std::string(name) +
         "\": " + std::string(value) + "}";
}

struct OddDocument {
  const char* name;
  std::string text;
};

void PrintTo(const OddDocument& odd, std::ostream* stream) {
  *stream << odd.name;
}

class OddDocumentTest : public testing::TestWithParam<OddDocument> {};

// Guards against a document that holds up the daemons or the command line, or
// that fills their logs.
TEST_P(OddDocumentTest, IsRejectedInTimeWithShortFindings) {
  const auto begin = std::chrono::steady_clock::now();
  kernel::Findings findings;
  EXPECT_FALSE(Parse("odd", GetParam().text, findings));
  EXPECT_TRUE(findings.HasErrors());
  for (const kernel::Finding& finding : findings.Items()) {
    ASSERT_LE(kernel::Format(finding).size(), kMaximumFindingBytes);
  }
  EXPECT_LE(std::chrono::steady_clock::now() - begin, kLimit);
}

constexpr std::size_t kLarge = kMaximumBytes - 256;

INSTANTIATE_TEST_SUITE_P(
    All,
    OddDocumentTest,
    testing::Values(
        OddDocument{"Empty", ""},
        OddDocument{"Null", "null"},
        OddDocument{"Bytes", "\xff\xfe\x80"},
        OddDocument{"HalfSurrogate", WithMember("owner", R"("\ud800")")},
        OddDocument{"NestedArrays", Repeated("[", kLarge)},
        OddDocument{"TwoMillionArrays", std::string(2'000'000, '[')},
        OddDocument{"NestedObjects", Repeated(R"({"":)", kLarge)},
        OddDocument{
            "ArraysInMember",
            WithMember("routes",
                       Repeated("[", kLarge / 2) + Repeated("]", kLarge / 2))},
        OddDocument{
            "ArraysInUnknownMember",
            WithMember("x",
                       Repeated("[", kLarge / 2) + Repeated("]", kLarge / 2))},
        OddDocument{"NumbersAsRoutes",
                    WithMember("routes", "[" + Repeated("0,", 30'000) + "0]")},
        OddDocument{"ObjectsAsRoutes",
                    WithMember("routes", "[" + Repeated("{},", 30'000) + "0]")},
        OddDocument{"ArrayAsText",
                    WithMember("service", "[" + Repeated("0,", 30'000) + "0]")},
        OddDocument{"SameMember", "{" + Repeated(R"("service":0,)", 190'000) +
                                      R"("kind":"plain"})"},
        OddDocument{"UnknownMembers",
                    "{" + Repeated(R"("x":0,)", 90'000) + R"("kind":0})"},
        OddDocument{"LongText",
                    WithMember("x", '"' + std::string(kLarge, 'x') + '"')},
        OddDocument{"LongService",
                    R"({"service": ")" + std::string(kLarge, 'x') + "\"}"},
        OddDocument{"LongKey", WithMember(std::string(kLarge, 'x'), "0")},
        OddDocument{"LongNumber", WithMember("kind", std::string(kLarge, '9'))},
        OddDocument{"Exponent", WithMember("kind", "1e999")},
        OddDocument{"Digits26",
                    WithMember("kind", "99999999999999999999999999")},
        OddDocument{"LargestInteger",
                    WithMember("kind", "18446744073709551615")},
        OddDocument{"TooLarge", std::string(2 * kMaximumBytes, ' ')}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace radishrudder::document
