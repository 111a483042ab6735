// Tests that the platform's programs survive SIGHUP and read their settings
// again, as separate processes.
#include <gtest/gtest.h>
#include <signal.h>

#include <string>
#include <string_view>

#include "tests/platform/running_program.h"

namespace radishrudder::platform {
namespace {

using std::chrono::milliseconds;

// A loaded machine may delay a process by seconds.
constexpr milliseconds kLimit{10000};
constexpr char kOldBounds[] = R"("revoke_ms": 5000, "grace_s": 2)";
constexpr char kNewBounds[] = R"("revoke_ms": 4000, "grace_s": 2)";

class ReloadTest : public testing::TestWithParam<const char*> {
 protected:
  ReloadTest() : m_program(GetParam()) {
    m_program.WriteSettings(m_program.SettingsText(kOldBounds));
    m_program.Start();
    EXPECT_TRUE(m_program.AwaitLog(" process-started ", 1, kLimit));
  }

  bool IsEntry() const { return std::string_view(GetParam()) == "entry"; }

  void ExpectStopsOnRequest() {
    m_program.Signal(SIGTERM);
    EXPECT_EQ(m_program.AwaitExit(kLimit), 0);
  }

  RunningProgram m_program;
};

// Guards against a process that ends at SIGHUP, which is the signal's default
// action: all calls that it serves would be cut.
TEST_P(ReloadTest, SurvivesBurstOfSignals) {
  for (int i = 0; i < 50; ++i) {
    m_program.Signal(SIGHUP);
  }
  EXPECT_TRUE(m_program.AwaitLog(" settings-reloaded ", 1, kLimit));
  EXPECT_TRUE(m_program.IsRunning());
  ExpectStopsOnRequest();
}

// Guards against SIGHUP during a planned stop ending the process before its
// calls are complete, or keeping it from stopping.
TEST_P(ReloadTest, StopsInOrderAmongSignals) {
  m_program.Signal(SIGHUP);
  m_program.Signal(SIGTERM);
  for (int i = 0; i < 20; ++i) {
    m_program.Signal(SIGHUP);
  }
  EXPECT_EQ(m_program.AwaitExit(kLimit), 0);
}

TEST_P(ReloadTest, AppliesChangedLimitAndNamesIt) {
  m_program.WriteSettings(m_program.SettingsText(
      IsEntry() ? kNewBounds : R"("version_ms": 6000, "grace_s": 2)"));
  m_program.Signal(SIGHUP);
  ASSERT_TRUE(m_program.AwaitLog(" settings-reloaded ", 1, kLimit));
  const std::string record = m_program.LastRecord(" settings-reloaded ");
  const std::string expected = IsEntry()
                                   ? "applied=key-revocation-limit pending=none"
                                   : "applied=version-switch-limit "
                                     "pending=none";
  EXPECT_NE(record.find(expected), std::string::npos) << record;
  ExpectStopsOnRequest();
}

// Settings files may also change without a signal.
TEST_P(ReloadTest, NoticesChangedFileWithoutSignal) {
  m_program.WriteSettings(m_program.SettingsText(kNewBounds));
  EXPECT_TRUE(m_program.AwaitLog("trigger=file", 1, kLimit));
  ExpectStopsOnRequest();
}

// Guards against a file that is being written, or was written by mistake,
// taking the place of settings that work.
TEST_P(ReloadTest, KeepsSettingsWhenTheFileIsUnusable) {
  const std::string whole = m_program.SettingsText(kNewBounds);
  const std::optional<std::string> unusable[] = {
      std::nullopt,     "",   whole.substr(0, whole.size() / 2),
      R"({"node": 7})", "[]", m_program.SettingsText(R"("revoke_ms": -1)"),
  };
  std::size_t rejected = 0;
  for (const auto& text : unusable) {
    m_program.WriteSettings(text);
    m_program.Signal(SIGHUP);
    ++rejected;
    EXPECT_TRUE(m_program.AwaitLog(" settings-rejected ", rejected, kLimit))
        << text.value_or("(no file)");
    EXPECT_TRUE(m_program.IsRunning());
  }
  EXPECT_EQ(m_program.LastRecord(" settings-reloaded "), "");
  // A usable file is taken over afterwards.
  m_program.WriteSettings(whole);
  m_program.Signal(SIGHUP);
  EXPECT_TRUE(m_program.AwaitLog(" settings-reloaded ", 1, kLimit));
  ExpectStopsOnRequest();
}

// Guards against a process that takes over another machine's address or name
// while its own connections are open.
TEST_P(ReloadTest, LeavesAddressesToTheNextStart) {
  std::string text = m_program.SettingsText(kOldBounds);
  const std::string old_name = "\"node\": \"n-1\"";
  text.replace(text.find(old_name), old_name.size(), "\"node\": \"n-2\"");
  m_program.WriteSettings(text);
  m_program.Signal(SIGHUP);
  ASSERT_TRUE(m_program.AwaitLog(" settings-reloaded ", 1, kLimit));
  const std::string record = m_program.LastRecord(" settings-reloaded ");
  EXPECT_NE(record.find("instance=n-1"), std::string::npos) << record;
  EXPECT_NE(record.find("applied=none pending=instance"), std::string::npos)
      << record;
  ExpectStopsOnRequest();
}

INSTANTIATE_TEST_SUITE_P(Programs,
                         ReloadTest,
                         testing::Values("entry", "agent"),
                         [](const auto& info) {
                           return std::string(info.param);
                         });

}  // namespace
}  // namespace radishrudder::platform
