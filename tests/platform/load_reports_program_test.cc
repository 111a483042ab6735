// Tests load reports between an entry and an agent, as separate processes.
#include <gtest/gtest.h>
#include <signal.h>

#include <nlohmann/json.hpp>
#include <string>

#include "tests/platform/platform_standin.h"
#include "tests/platform/running_program.h"

namespace radishrudder::platform {
namespace {

using std::chrono::milliseconds;

// A loaded machine may delay a process by seconds.
constexpr milliseconds kLimit{8000};
constexpr int kCalls = 10;
constexpr char kBounds[] = R"("revoke_ms": 5000, "grace_s": 2)";
// Entry and agent use the same UDP port.
constexpr char kAgentIp[] = "127.0.0.2";

StandinEndpoint EndpointWithPace() {
  return {.ip = kAgentIp,
          .service_members = R"(, "engine": {"slots": 12, "step_ms": 8.87,)"
                             R"("per_seq_ms": 0.0388, "context_per_k": 0.0227,)"
                             R"("read_per_s": 19100, "pairs_per_m": 1.47,)"
                             R"("chunk": 2048, "stride": 5,)"
                             R"("models": [{"name": "m"}]})",
          .listed_members = R"(, "models": [{"name": "m", "version": 1}])",
          .load_header = "1,0,12,150",
          .report = R"({"born": 1, "busy": false, "active": 1, "queued": 0,)"
                    R"("pace": 1.5, "models": [{"name": "m", "version": 1}]})"};
}

class LoadReportsProgramTest : public testing::Test {
 protected:
  void SetUp() override {
    m_entry.WriteSettings(m_entry.SettingsText(kBounds));
    m_agent.WriteSettings(AgentSettings());
    m_entry.Start();
    m_agent.Start();
    ASSERT_TRUE(m_entry.AwaitLog(" process-started ", 1, kLimit));
    ASSERT_TRUE(m_agent.AwaitLog(" process-started ", 1, kLimit));
  }

  // The agent runs on the endpoint's machine, with the entry's ports.
  std::string AgentSettings() const {
    auto settings = nlohmann::json::parse(m_entry.SettingsText(kBounds));
    settings["node"] = "i-1";
    settings["ip"] = kAgentIp;
    settings["app"] = m_standin.EndpointAddress();
    settings["service"] = "plain";
    return settings.dump();
  }

  int Call() {
    m_caller.Call(
        "POST /s/1 HTTP/1.1\r\nHost: h.example\r\n"
        "Radishrudder-Attempt-Id: id-1\r\n"
        "Radishrudder-Deadline-Ms: 4000\r\nContent-Length: 4\r\n\r\nbody");
    return m_caller.Status();
  }
  bool AwaitServed() {
    const auto end = std::chrono::steady_clock::now() + kLimit;
    while (std::chrono::steady_clock::now() < end) {
      if (Call() == 200) {
        return true;
      }
    }
    return false;
  }
  void ExpectAllServed() {
    for (int i = 0; i < kCalls; ++i) {
      EXPECT_EQ(Call(), 200);
    }
  }

  RunningProgram m_entry{"entry"};
  RunningProgram m_agent{"agent"};
  PlatformStandin m_standin{m_entry.StoreAddress(), {}, {}, EndpointWithPace()};
  StandinCaller m_caller{m_entry.CallersAddress()};
};

// Guards against subscriptions or reports that don't reach the other process,
// and against calls that are refused while there are no reports.
TEST_F(LoadReportsProgramTest, ReportsArriveUntilTheAgentStops) {
  ASSERT_TRUE(AwaitServed());
  EXPECT_TRUE(m_entry.AwaitLog(" 705 load-reports-arrive ", 1, kLimit));
  ExpectAllServed();
  m_agent.Signal(SIGTERM);
  EXPECT_EQ(m_agent.AwaitExit(kLimit), 0);
  EXPECT_TRUE(m_entry.AwaitLog(" 706 load-reports-stopped ", 1, kLimit));
  ExpectAllServed();
}

}  // namespace
}  // namespace radishrudder::platform
