// Tests which configurations the entry, as a separate process, reads if a
// response of the store has several.
#include <gtest/gtest.h>

#include <string>

#include "tests/platform/platform_standin.h"
#include "tests/platform/running_program.h"

namespace radishrudder::platform {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLimit{10000};
constexpr char kBounds[] = R"("revoke_ms": 5000, "grace_s": 2)";
constexpr char kKey[] = "op/config";

std::string Configuration(int version) {
  return R"({"version": )" + std::to_string(version) +
         R"(, "routes": [], "services": [], "limits": {}})";
}

class OvertakenConfigurationTest : public testing::Test {
 protected:
  void SetUp() override {
    m_program.WriteSettings(m_program.SettingsText(kBounds));
    m_program.Start();
    ASSERT_TRUE(m_program.AwaitLog(" document-in-force ", 1, kLimit));
  }

  RunningProgram m_program{"entry"};
  PlatformStandin m_standin{m_program.StoreAddress()};
};

// Guards against an entry that reads one large configuration after the other
// and is seconds behind when the last one is in force.
TEST_F(OvertakenConfigurationTest, OnlyTheLastOfAResponseIsRead) {
  constexpr int kFirst = 4;
  constexpr int kLast = 43;
  for (int version = kFirst; version <= kLast; ++version) {
    m_standin.Write({kKey, Configuration(version)});
  }
  ASSERT_TRUE(
      m_program.AwaitLog("version=" + std::to_string(kLast), 1, kLimit));
  // The first one, and those of the two responses between which the writes may
  // have been divided.
  EXPECT_LE(m_program.CountRecords(" document-in-force "), 3U);
}

// Guards against a readable configuration that is left out for an unreadable
// one after it.
TEST_F(OvertakenConfigurationTest, UnreadableOneReplacesNothing) {
  m_standin.Write({kKey, Configuration(4)});
  m_standin.Write({kKey, "{"});
  EXPECT_TRUE(m_program.AwaitLog("version=4", 1, kLimit));
}

}  // namespace
}  // namespace radishrudder::platform
