#include "radishrudder/daemon/shard.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace radishrudder::daemon {
namespace {

// Hands out the numbers it was given, and one more at its deadline.
class Counter {
 public:
  void Add(int number) { m_outputs.push_back(number); }
  void OnTick(kernel::Time now) {
    if (now >= m_deadline) {
      m_outputs.push_back(-1);
      m_deadline = kernel::Time::max();
    }
  }
  void SetDeadline(kernel::Time deadline) { m_deadline = deadline; }
  kernel::Time NextTick() const { return m_deadline; }
  std::vector<int> TakeOutputs() { return std::exchange(m_outputs, {}); }

 private:
  std::vector<int> m_outputs;
  kernel::Time m_deadline = kernel::Time::max();
};

TEST(ShardTest, OutputsKeepTheirOrderAcrossThreads) {
  constexpr int kNumbers = 2'000;
  asio::io_context context;
  auto work = asio::make_work_guard(context);
  std::vector<int> seen;
  Shard<Counter, int> shard(context, [&](int number) {
    seen.push_back(number);
    if (number == kNumbers) {
      context.stop();
    }
  });
  std::vector<std::thread> threads;
  for (int i = 0; i < 4; ++i) {
    threads.emplace_back([&] { context.run(); });
  }
  for (int number = 1; number <= kNumbers; ++number) {
    shard.Run([&](Counter& core, kernel::Time) { core.Add(number); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  ASSERT_EQ(seen.size(), static_cast<std::size_t>(kNumbers));
  EXPECT_TRUE(std::is_sorted(seen.begin(), seen.end()));
}

TEST(ShardTest, TicksAtTheDeadline) {
  asio::io_context context;
  int seen = 0;
  Shard<Counter, int> shard(context, [&](int number) { seen = number; });
  shard.Run([](Counter& core, kernel::Time now) {
    core.SetDeadline(now + std::chrono::milliseconds(5));
  });
  context.run();
  EXPECT_EQ(seen, -1);
}

// Guards against a process that ends before the outputs of its last input have
// been handed out.
TEST(ShardTest, AwaitsOutputsWithinTheLimit) {
  asio::io_context context;
  auto work = asio::make_work_guard(context);
  std::atomic<int> seen = 0;
  Shard<Counter, int> shard(context, [&](int number) { seen = number; });
  shard.Run([](Counter& core, kernel::Time) { core.Add(7); });
  EXPECT_FALSE(shard.AwaitOutputs(std::chrono::milliseconds(1)));
  std::thread runner([&] { context.run(); });
  EXPECT_TRUE(shard.AwaitOutputs(std::chrono::seconds(10)));
  EXPECT_EQ(seen, 7);
  context.stop();
  runner.join();
}

}  // namespace
}  // namespace radishrudder::daemon
