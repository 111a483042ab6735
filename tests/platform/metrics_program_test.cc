// Tests the metrics page of the entry as a separate process.
#include <gtest/gtest.h>

#include <string>
#include <string_view>

#include "tests/platform/platform_standin.h"
#include "tests/platform/running_program.h"

namespace radishrudder::platform {
namespace {

using std::chrono::milliseconds;

// A loaded machine may delay a process by seconds.
constexpr milliseconds kLimit{8000};
constexpr char kBounds[] = R"("revoke_ms": 5000, "grace_s": 2)";
constexpr char kKey[] = "op/evacuate/a";

class MetricsProgramTest : public testing::Test {
 protected:
  // Asks for the page until it has the line.
  bool AwaitLine(const std::string& line) const {
    const std::string_view request[] = {
        "GET /metrics HTTP/1.1\r\nHost: n-1\r\nConnection: close\r\n\r\n"};
    const auto end = std::chrono::steady_clock::now() + kLimit;
    while (std::chrono::steady_clock::now() < end) {
      const std::string page = SendParts(m_program.MetricsAddress(), request,
                                         milliseconds(0), kLimit);
      if (page.find("\n" + line + "\n") != std::string::npos) {
        return true;
      }
    }
    return false;
  }

  RunningProgram m_program{"entry"};
  PlatformStandin m_standin{
      m_program.StoreAddress(),
      {},
      {},
      {.service_members = R"(, "cold_start_s": 600, "cold_per_s": 20)"}};
};

// Guards against gauges that are not updated while the process runs.
TEST_F(MetricsProgramTest, PageHasColdEndpointsEvacuationsAndWaitingCalls) {
  m_program.WriteSettings(m_program.SettingsText(kBounds));
  m_program.Start();
  ASSERT_TRUE(m_program.AwaitLog(" process-started ", 1, kLimit));
  EXPECT_TRUE(AwaitLine(R"(radishrudder_endpoints_cold{service="plain"} 1)"));
  EXPECT_TRUE(AwaitLine(R"(radishrudder_calls_waiting{service="plain"} 0)"));
  EXPECT_TRUE(AwaitLine("radishrudder_data_centres_evacuated 0"));
  EXPECT_TRUE(AwaitLine("radishrudder_callers_ended_total 0"));
  m_standin.Write({kKey, "{}"});
  EXPECT_TRUE(AwaitLine("radishrudder_data_centres_evacuated 1"));
  m_standin.Remove(kKey);
  EXPECT_TRUE(AwaitLine("radishrudder_data_centres_evacuated 0"));
}

}  // namespace
}  // namespace radishrudder::platform
