// Tests whom the entry serves and that the agent works on, both as separate
// processes, by configurations whose members that limit who may do what have
// other forms than usual.
#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <string_view>
#include <thread>

#include "tests/platform/access_forms.h"
#include "tests/platform/platform_standin.h"
#include "tests/platform/running_program.h"

namespace radishrudder::platform {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

// A loaded machine may delay a process by seconds.
constexpr milliseconds kLimit{10000};
// The platform's `revoke_ms`.
constexpr milliseconds kRevocationLimit{2500};
constexpr char kBounds[] = R"("revoke_ms": 2500, "grace_s": 2)";
constexpr char kKey[] = "op/config";
constexpr int kCalls = 3;

class AccessProgramTest : public testing::Test {
 protected:
  void Start() {
    m_program.WriteSettings(m_program.SettingsText(kBounds));
    m_program.Start();
    ASSERT_TRUE(m_program.AwaitLog(" process-started ", 1, kLimit));
  }
  // Returns whether the entry has read a configuration and the endpoint.
  bool AwaitReady() {
    StandinCaller caller(m_program.ReadinessAddress());
    const auto end = Clock::now() + kLimit;
    while (Clock::now() < end) {
      caller.Call("GET /ready HTTP/1.1\r\nHost: h.example\r\n\r\n");
      if (caller.Status() == 200) {
        return true;
      }
      std::this_thread::sleep_for(milliseconds(5));
    }
    return false;
  }
  void StartInForce(const AccessForm& form = FormInForce()) {
    m_standin.Write({kKey, ConfigurationText("7", form)});
    Start();
    ASSERT_TRUE(AwaitServed(kOldKey));
  }

  // Returns whether the call reached the endpoint.
  bool Call(std::string_view authorization) {
    const std::string id = "id-" + std::to_string(++m_calls);
    m_caller.Call(
        "POST /s/1 HTTP/1.1\r\nHost: h.example\r\n"
        "Radishrudder-Attempt-Id: " +
        id + "\r\nRadishrudder-Deadline-Ms: 4000\r\n" +
        std::string(authorization) + "Content-Length: 4\r\n\r\nbody");
    return m_standin.Runs(id) > 0;
  }
  bool CallWithKey(std::string_view key) {
    return Call("Authorization: Token " + std::string(key) + "\r\n");
  }
  bool AwaitServed(std::string_view key) {
    const auto end = Clock::now() + kLimit;
    while (Clock::now() < end) {
      if (CallWithKey(key)) {
        return true;
      }
      std::this_thread::sleep_for(milliseconds(5));
    }
    return false;
  }
  void ExpectAccess(Access access) {
    const bool all = access == Access::kEverybody;
    EXPECT_TRUE(access == Access::kNobody || AwaitServed(kNewKey));
    for (int i = 0; i < kCalls; ++i) {
      EXPECT_EQ(CallWithKey(kNewKey), access != Access::kNobody);
      EXPECT_EQ(CallWithKey(kOldKey), all);
      EXPECT_EQ(CallWithKey("key-never-held"), all);
      EXPECT_EQ(CallWithKey(""), all);
      EXPECT_EQ(Call(""), all);
      EXPECT_EQ(Call("Authorization: key-new\r\n"), all);
    }
  }

  // A configuration without odd forms has its usual effect after them.
  void ExpectOpensAgain() {
    m_standin.Write({kKey, ConfigurationText("9", FormInForce())});
    ASSERT_TRUE(m_program.AwaitLog(" version=9 ", 1, kLimit));
    EXPECT_TRUE(AwaitServed(kOldKey));
    EXPECT_FALSE(CallWithKey(kNewKey));
    EXPECT_FALSE(Call(""));
  }

  RunningProgram m_program{"entry"};
  PlatformStandin m_standin{m_program.StoreAddress()};
  StandinCaller m_caller{m_program.CallersAddress()};
  int m_calls = 0;
};

class AccessFormProgramTest : public AccessProgramTest,
                              public testing::WithParamInterface<AccessForm> {};

// Guards against an entry that takes a list which is empty, of another kind or
// partly unreadable for one that sets no limit.
TEST_P(AccessFormProgramTest, RunningEntryServesNobodyElse) {
  ASSERT_NO_FATAL_FAILURE(StartInForce());
  m_standin.Write({kKey, ConfigurationText("8", GetParam())});
  ASSERT_TRUE(m_program.AwaitLog(" version=8 ", 1, kLimit));
  ExpectAccess(GetParam().access);
  ExpectOpensAgain();
}

// Guards against the same in an entry that has no older configuration.
TEST_P(AccessFormProgramTest, StartingEntryServesNobodyElse) {
  m_standin.Write({kKey, ConfigurationText("8", GetParam())});
  ASSERT_NO_FATAL_FAILURE(Start());
  ASSERT_TRUE(AwaitReady());
  ExpectAccess(GetParam().access);
  ExpectOpensAgain();
}

INSTANTIATE_TEST_SUITE_P(All,
                         AccessFormProgramTest,
                         testing::ValuesIn(AccessForms()),
                         [](const auto& info) { return info.param.name; });

// Guards against a log that does not tell a key that was taken away from a
// configuration that left no workspace at all.
TEST_F(AccessProgramTest, LogTellsThatTheLastWorkspaceIsGone) {
  ASSERT_NO_FATAL_FAILURE(StartInForce());
  AccessForm last = FormInForce();
  last.members = R"(, "tenants": [])";
  m_standin.Write({kKey, ConfigurationText("8", last)});
  EXPECT_TRUE(m_program.AwaitLog(" workspaces=0 keys=required", 1, kLimit));
  EXPECT_FALSE(CallWithKey(kOldKey));
  EXPECT_TRUE(m_program.AwaitLog(" reason=unknown-key ", 1, kLimit));
  EXPECT_FALSE(Call(""));
  EXPECT_TRUE(m_program.AwaitLog(" reason=no-key ", 1, kLimit));
}

class UnreadableProgramTest
    : public AccessProgramTest,
      public testing::WithParamInterface<UnreadableText> {};

// Guards against keys that are accepted for good because the configuration that
// may take them away can't be read.
TEST_P(UnreadableProgramTest, RunningEntryStopsAcceptingKeys) {
  ASSERT_NO_FATAL_FAILURE(StartInForce());
  m_standin.Write({kKey, GetParam().text});
  const auto written_at = Clock::now();
  ASSERT_TRUE(m_program.AwaitLog(" document-rejected ", 1, kLimit));
  std::this_thread::sleep_until(written_at + kRevocationLimit);
  ExpectAccess(Access::kNobody);
  ExpectOpensAgain();
}

// Guards against calls without keys that are served for good because the
// configuration that may require keys can't be read.
TEST_P(UnreadableProgramTest, RunningEntryStopsServingWithoutKeys) {
  ASSERT_NO_FATAL_FAILURE(StartInForce(FormWithoutWorkspaces()));
  m_standin.Write({kKey, GetParam().text});
  const auto written_at = Clock::now();
  ASSERT_TRUE(m_program.AwaitLog(" document-rejected ", 1, kLimit));
  std::this_thread::sleep_until(written_at + kRevocationLimit);
  ExpectAccess(Access::kNobody);
}

// Guards against an entry that starts on a part of such a configuration.
TEST_P(UnreadableProgramTest, StartingEntryServesNobody) {
  m_standin.Write({kKey, GetParam().text});
  ASSERT_NO_FATAL_FAILURE(Start());
  ASSERT_TRUE(m_program.AwaitLog(" document-rejected ", 1, kLimit));
  ExpectAccess(Access::kNobody);
  ExpectOpensAgain();
}

INSTANTIATE_TEST_SUITE_P(All,
                         UnreadableProgramTest,
                         testing::ValuesIn(UnreadableTexts()),
                         [](const auto& info) { return info.param.name; });

class AccessFormAgentTest : public testing::TestWithParam<AccessForm> {
 protected:
  RunningProgram m_program{"agent"};
  PlatformStandin m_standin{m_program.StoreAddress()};
};

// Guards against a form that ends an agent, when it starts on it and when it
// reads it later.
TEST_P(AccessFormAgentTest, KeepsRunning) {
  m_standin.Write({kKey, ConfigurationText("8", GetParam())});
  m_program.WriteSettings(m_program.SettingsText(kBounds));
  m_program.Start();
  ASSERT_TRUE(m_program.AwaitLog(" process-started ", 1, kLimit));
  const std::size_t findings = GetParam().valid ? 0 : 1;
  EXPECT_TRUE(m_program.AwaitLog(" document-rejected ", findings, kLimit));
  m_standin.Write({kKey, ConfigurationText("9", GetParam())});
  EXPECT_TRUE(m_program.AwaitLog(" document-rejected ", 2 * findings, kLimit));
  EXPECT_TRUE(m_program.IsRunning());
}

INSTANTIATE_TEST_SUITE_P(All,
                         AccessFormAgentTest,
                         testing::ValuesIn(AccessForms()),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace radishrudder::platform
