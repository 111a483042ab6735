#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>

#include <gtest/gtest.h>

#include "radishrudder/document/service_document.h"

namespace radishrudder::document {
namespace {

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

// The documents in cases/, each with its findings in a file beside it.
std::vector<std::string> CaseNames() {
  std::vector<std::string> names;
  for (const auto& entry : std::filesystem::directory_iterator("cases")) {
    if (entry.path().extension() == ".json") {
      names.push_back(entry.path().stem().string());
    }
  }
  std::ranges::sort(names);
  return names;
}

class ParseCaseTest : public testing::TestWithParam<std::string> {};

TEST_P(ParseCaseTest, ReportsItsFindings) {
  const std::filesystem::path base = "cases/" + GetParam();
  kernel::Findings findings;
  const auto document =
      Parse(GetParam() + ".json", ReadFile(base.string() + ".json"), findings);
  EXPECT_EQ(kernel::Format(findings), ReadFile(base.string() + ".expected"));
  EXPECT_EQ(document.has_value(), !findings.HasErrors());
}

INSTANTIATE_TEST_SUITE_P(All,
                         ParseCaseTest,
                         testing::ValuesIn(CaseNames()),
                         [](const auto& info) { return info.param; });

ServiceDocument ParseCase(const std::string& name) {
  kernel::Findings findings;
  return Parse(name, ReadFile("cases/" + name + ".json"), findings).value();
}

TEST(ParseTest, FillsEveryField) {
  const ServiceDocument document = ParseCase("model_full");
  const std::string a(64, 'a');
  const std::string b(64, 'b');
  ServiceDocument expected;
  expected.service = "draft-llm";
  expected.kind = ServiceKind::kModel;
  expected.model = {"drafter", "2026-12-01", "sha256:" + a, {"sha256:" + b}};
  expected.workspaces = {{"shop-17", 3}, {"shop-18", 1}};
  expected.calls = {
      std::chrono::seconds(30), 32, 16, 0.1, 0.02, "prefix-affinity",
      {{"POST", "/v1", true}}};
  expected.rollout = {0.8, 2};
  expected.transfer = {0.9};
  EXPECT_EQ(document, expected);
}

TEST(ParseTest, LeavesDefaultsWhereNothingIsSaid) {
  ServiceDocument expected;
  expected.service = "shop-api";
  expected.kind = ServiceKind::kPlain;
  EXPECT_EQ(ParseCase("plain_least"), expected);
}

TEST(ParseTest, RefusesTextsOverAMebibyte) {
  kernel::Findings findings;
  const std::string text((std::size_t{1} << 20U) + 1, ' ');
  EXPECT_FALSE(Parse("big", text, findings).has_value());
  EXPECT_EQ(kernel::Format(findings),
            "big:1:1: error: is 1048577 bytes long; valid: at most 1048576 "
            "bytes\n");
}

std::string Repeated(int times, const std::string& text) {
  std::string repeated;
  for (int i = 0; i < times; ++i) {
    repeated += text;
  }
  return repeated;
}

TEST(ParseTest, StopsAtTheBoundOnValues) {
  kernel::Findings findings;
  const std::string text = "[" + Repeated(20'000, "0,") + "0]";
  EXPECT_FALSE(Parse("many", text, findings).has_value());
  EXPECT_EQ(kernel::Format(findings),
            "many:1:1: error: is an array; valid: an object\n"
            "many:1:32768: error: has too many values; valid: at most 16384\n");
}

TEST(ParseTest, BoundsTheNumberOfFindings) {
  kernel::Findings findings;
  const std::string text =
      "{" + Repeated(300, "\"x\": 1, ") + R"("service": "s", "kind": "plain"})";
  EXPECT_FALSE(Parse("many", text, findings).has_value());
  ASSERT_EQ(findings.Items().size(), 101U);
  EXPECT_EQ(kernel::Format(findings.Items().back()),
            "many: error: has more findings than these; valid: to mend these "
            "first");
}

}  // namespace
}  // namespace radishrudder::document
