// Tests that the entry, as a separate process, stops using an endpoint whose
// entry is removed while watches of the store fail.
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <ostream>
#include <string>
#include <thread>
#include <vector>

#include "tests/platform/platform_standin.h"
#include "tests/platform/running_program.h"

namespace radishrudder::platform {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr milliseconds kLimit{10000};
constexpr milliseconds kHeartbeatInterval{1000};
constexpr milliseconds kFaultsBeforeRemoval{2500};
constexpr milliseconds kObserved{5000};
// The platform's `drain_ms`.
constexpr milliseconds kDrainLimit{2000};
constexpr char kBounds[] = R"("revoke_ms": 5000, "grace_s": 2)";
constexpr char kKey[] = "servers/i-1";

struct RemovalCase {
  const char* name;
  WatchFault fault;
  std::size_t interval;  // One of so many watches fails.
  std::vector<std::string> prefixes{"servers/"};
};

void PrintTo(const RemovalCase& removal, std::ostream* stream) {
  *stream << removal.name;
}

class RemovedEndpointTest : public testing::TestWithParam<RemovalCase> {
 protected:
  int Call() {
    m_caller.Call(
        "POST /s/1 HTTP/1.1\r\nHost: h.example\r\n"
        "Radishrudder-Attempt-Id: id-1\r\n"
        "Radishrudder-Deadline-Ms: 4000\r\nContent-Length: 4\r\n\r\nbody");
    return m_caller.Status();
  }
  bool AwaitServed() {
    const auto end = Clock::now() + kLimit;
    while (Clock::now() < end) {
      if (Call() == 200) {
        return true;
      }
    }
    return false;
  }
  std::string Entry() const {
    return R"({"service": "plain", "zone": "a", "slots": 32, "born": 1,)"
           R"("state": "ready", "address": ")" +
           m_standin.EndpointAddress() + "\"}";
  }
  void SendHeartbeats() {
    while (m_alive) {
      m_standin.Write({kKey, Entry()});
      const auto next = Clock::now() + kHeartbeatInterval;
      while (m_alive && Clock::now() < next) {
        std::this_thread::sleep_for(milliseconds(5));
      }
    }
  }

  RunningProgram m_program{"entry"};
  PlatformStandin m_standin{m_program.StoreAddress()};
  StandinCaller m_caller{m_program.CallersAddress()};
  std::atomic<bool> m_alive = true;
};

// Guards against a removal being taken for an entry that expired while the
// store was away: each failed watch began the grace period of expired entries
// anew, so that requests reached the removed endpoint until it exited.
TEST_P(RemovedEndpointTest, GetsNoRequestsAfterTheDrainLimit) {
  const RemovalCase& test = GetParam();
  m_program.WriteSettings(m_program.SettingsText(kBounds));
  m_program.Start();
  ASSERT_TRUE(m_program.AwaitLog(" process-started ", 1, kLimit));
  std::thread heartbeats([this] { SendHeartbeats(); });
  const bool served = AwaitServed();
  m_standin.FailWatches(test.prefixes, test.fault, test.interval);
  const auto remove_at = Clock::now() + kFaultsBeforeRemoval;
  int refused_before = 0;
  while (served && Clock::now() < remove_at) {
    refused_before += Call() == 200 ? 0 : 1;
  }
  m_alive = false;
  heartbeats.join();
  m_standin.Remove(kKey);
  const auto removed_at = Clock::now();
  int late = 0;
  while (served && Clock::now() < removed_at + kObserved) {
    const auto sent_at = Clock::now();
    const int status = Call();
    late += status == 200 && sent_at > removed_at + kDrainLimit ? 1 : 0;
    std::this_thread::sleep_for(milliseconds(20));
  }
  EXPECT_TRUE(served);
  EXPECT_EQ(refused_before, 0);
  EXPECT_EQ(late, 0);
}

INSTANTIATE_TEST_SUITE_P(
    WatchFaults,
    RemovedEndpointTest,
    testing::Values(
        RemovalCase{"None", WatchFault::kNone, 1},
        RemovalCase{"EachCut", WatchFault::kCut, 1},
        RemovalCase{"EverySecondCut", WatchFault::kCut, 2},
        RemovalCase{"AllPrefixesCut", WatchFault::kCut, 1, {"servers/", "op/"}},
        RemovalCase{"EachUnavailable", WatchFault::kUnavailable, 1},
        RemovalCase{"EverySecondUnavailable", WatchFault::kUnavailable, 2},
        RemovalCase{"EachBrokenOff", WatchFault::kBrokenOff, 1},
        RemovalCase{"EverySecondBrokenOff", WatchFault::kBrokenOff, 2},
        RemovalCase{"EachHistoryGone", WatchFault::kHistoryGone, 1},
        RemovalCase{"EverySecondUnanswered", WatchFault::kNoAnswer, 2}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace radishrudder::platform
