// Tests how a daemon reacts to signals.
#include "radishrudder/daemon/run.h"

#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <thread>

namespace radishrudder::daemon {
namespace {

using std::chrono::milliseconds;

// Guards against SIGHUP ending a daemon, which is the signal's default action,
// or being taken for a request to stop.
TEST(RunTest, GoesOnAfterHangUpSignals) {
  NodeSettings node;
  node.instance = "n-1";
  node.drain_limit = milliseconds(2000);
  std::atomic<bool> started = false;
  std::atomic<int> drains = 0;
  const DaemonControls controls{
      .start =
          [&started] {
            started = true;
            return std::error_code();
          },
      .drain = [&drains] { ++drains; },
      .calls_in_progress = [] { return std::size_t{0}; },
      .stop = [] {}};
  int exit_code = -1;
  std::thread runner([&] { exit_code = daemon::Run("test", node, controls); });
  while (!started) {
    std::this_thread::yield();
  }
  for (int i = 0; i < 5; ++i) {
    std::raise(SIGHUP);
    std::this_thread::sleep_for(milliseconds(20));
  }
  EXPECT_EQ(drains, 0);
  std::raise(SIGTERM);
  runner.join();
  EXPECT_EQ(drains, 1);
  EXPECT_EQ(exit_code, settings::kExitSuccess);
}

}  // namespace
}  // namespace radishrudder::daemon
