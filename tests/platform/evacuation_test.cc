// Tests that the entry, as a separate process, obeys evacuations in the store.
#include <gtest/gtest.h>

#include <string>

#include "tests/platform/platform_standin.h"
#include "tests/platform/running_program.h"

namespace radishrudder::platform {
namespace {

using std::chrono::milliseconds;

// A loaded machine may delay a process by seconds.
constexpr milliseconds kLimit{10000};
constexpr int kCalls = 20;
constexpr char kBounds[] = R"("revoke_ms": 5000, "grace_s": 2)";
constexpr char kKey[] = "op/evacuate/a";

class EvacuationTest : public testing::Test {
 protected:
  void Start() {
    m_program.WriteSettings(m_program.SettingsText(kBounds));
    m_program.Start();
    EXPECT_TRUE(m_program.AwaitLog(" process-started ", 1, kLimit));
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
  void ExpectAllRefused() {
    for (int i = 0; i < kCalls; ++i) {
      EXPECT_EQ(Call(), 503);
    }
  }

  RunningProgram m_program{"entry"};
  StandinCaller m_caller{m_program.CallersAddress()};
};

// Guards against calls to the only data centre while it is evacuated, and
// against its endpoints staying unused afterwards.
TEST_F(EvacuationTest, RefusesCallsUntilItIsTakenBack) {
  PlatformStandin standin(m_program.StoreAddress());
  Start();
  ASSERT_TRUE(AwaitServed());
  standin.Write({kKey, "{}"});
  ASSERT_TRUE(m_program.AwaitLog(" data-centre-evacuated ", 1, kLimit));
  ExpectAllRefused();
  standin.Remove(kKey);
  ASSERT_TRUE(m_program.AwaitLog(" evacuation-ended ", 1, kLimit));
  EXPECT_TRUE(AwaitServed());
}

// Guards against an entry that serves calls after its start before it has read
// the evacuations.
TEST_F(EvacuationTest, HoldsFromTheStartOfAProcess) {
  PlatformStandin standin(m_program.StoreAddress(), {{kKey, "{}"}});
  Start();
  ASSERT_TRUE(m_program.AwaitLog(" data-centre-evacuated ", 1, kLimit));
  ExpectAllRefused();
  standin.Remove(kKey);
  EXPECT_TRUE(AwaitServed());
}

}  // namespace
}  // namespace radishrudder::platform
