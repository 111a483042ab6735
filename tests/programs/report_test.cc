#include <gtest/gtest.h>

#include "apps/radishrudder/report_data.h"
#include "apps/radishrudder/report_page.h"
#include "apps/radishrudder/svg_plot.h"
#include "tests/programs/run_program.h"

namespace radishrudder::command_line {
namespace {

constexpr char kRun[] =
    R"({"kind": "run", "title": "16 <replicas>", "bound_seconds": 4, "replicas": 2}
{"kind": "replicas", "seconds": 5, "ready": 2}
{"kind": "replicas", "seconds": 2.5, "ready": 1}

{"kind": "link", "link": "origin", "bytes": 1024}
{"kind": "link", "link": "origin", "bytes": 1024}
{"kind": "latency", "workspace": "shop-2", "seconds": 0.004}
{"kind": "latency", "workspace": "shop-1", "seconds": 0.2}
{"kind": "latency", "workspace": "shop-1", "seconds": 40}
)";

TEST(ParseRunTest, SortsAndAddsUp) {
  kernel::Findings findings;
  const RunData run = ParseRun("run", kRun, findings);
  EXPECT_TRUE(findings.Empty()) << kernel::Format(findings);
  ASSERT_EQ(run.samples.size(), 2U);
  EXPECT_EQ(run.samples[0].seconds, 2.5);
  ASSERT_EQ(run.links.size(), 1U);
  EXPECT_EQ(run.links[0].bytes, 2048U);
  ASSERT_EQ(run.workspaces.size(), 2U);
  EXPECT_EQ(run.workspaces[0].workspace, "shop-1");
}

struct BadLine {
  const char* name;
  const char* line;
  const char* expected;
};

void PrintTo(const BadLine& test, std::ostream* stream) {
  *stream << test.name;
}

class BadRunTest : public testing::TestWithParam<BadLine> {};

TEST_P(BadRunTest, NamesLineAndMember) {
  kernel::Findings findings;
  ParseRun("run", std::string("\n") + GetParam().line, findings);
  EXPECT_EQ(kernel::Format(findings), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    BadRunTest,
    testing::Values(
        BadLine{"NotJson", "x",
                "run:2:1: error: is not a JSON object; valid: one JSON object "
                "a line\n"},
        BadLine{"NoKind", "{}",
                "run:2:1: error: key \"kind\" is missing at /kind; valid: a "
                "string\n"},
        BadLine{"UnknownKind", R"({"kind":"lnik"})",
                "run:2:1: error: \"lnik\" is not valid at /kind; valid: run, "
                "replicas, link, latency\n"},
        BadLine{"NegativeTime", R"({"kind":"replicas","seconds":-1,"ready":2})",
                "run:2:1: error: -1 is not valid at /seconds; valid: a number "
                "of seconds from 0 to 1000000000\n"},
        BadLine{"NoBytes", R"({"kind":"link","link":"origin"})",
                "run:2:1: error: key \"bytes\" is missing at /bytes; valid: a "
                "whole number that is not negative\n"}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(ReportPageTest, PlotsAgainstTheBoundAndEscapesNames) {
  kernel::Findings findings;
  const std::string page = RenderReport(ParseRun("run", kRun, findings));
  EXPECT_NE(page.find("<h1>16 &lt;replicas&gt;</h1>"), std::string::npos);
  EXPECT_NE(page.find("2 replicas were ready after 5 s, 1.25 times the fluid "
                      "bound of 4 s."),
            std::string::npos);
  // Left, the first step at half the time and height, the last top right.
  EXPECT_NE(page.find("points=\"70,250 385,250 385,140 700,140 700,30\""),
            std::string::npos);
  EXPECT_NE(page.find("class=\"bound\""), std::string::npos);
  EXPECT_NE(page.find("2.0 KiB"), std::string::npos);
  EXPECT_NE(page.find("2 calls; quantile 0.5: 200 ms; quantile 0.95: 40000 ms"),
            std::string::npos);
}

TEST(ReportPageTest, LoadsNothingFromElsewhere) {
  kernel::Findings findings;
  const std::string page = RenderReport(ParseRun("run", kRun, findings));
  for (const char* const loader :
       {"<script", "<link", "src=", "@import", "url("}) {
    EXPECT_EQ(page.find(loader), std::string::npos) << loader;
  }
}

TEST(ReportPageTest, SaysThatARunDidNotReachItsReplicas) {
  RunData run;
  run.replicas = 3;
  run.samples = {{1, 2}};
  EXPECT_NE(RenderReport(run).find("did not reach"), std::string::npos);
}

TEST(ReportCommandTest, NeedsOneFile) {
  EXPECT_EQ(RunWith({"report"}).exit_code, 2);
  EXPECT_EQ(RunWith({"report", "cases/old.json"}).exit_code, 1);
}

}  // namespace
}  // namespace radishrudder::command_line
