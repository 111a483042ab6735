// Tests that requests which arrive late in the planned stop of an entry, as a
// separate process, are answered whole or refused, and that a refusal is true.
#include <gtest/gtest.h>
#include <signal.h>

#include <atomic>
#include <functional>
#include <iostream>
#include <iterator>
#include <memory>
#include <ostream>
#include <string>
#include <thread>
#include <vector>

#include "radishrudder/kernel/random.h"
#include "tests/platform/platform_standin.h"
#include "tests/platform/running_program.h"

namespace radishrudder::platform {
namespace {

using std::chrono::milliseconds;
using Result = StandinCaller::Result;

// A loaded machine may delay a process by seconds.
constexpr milliseconds kLimit{12000};
constexpr milliseconds kGraceTime{8000};
// A connection that ends sooner after the last byte of a request may not have
// been read any more.
constexpr milliseconds kUnreadTime{200};
// Callers open no new connections this long after a stop began: a balancer that
// asks every second needs two answers.
constexpr milliseconds kRedirectTime{2500};
// What a refused caller waits at least.
constexpr milliseconds kRefusalPause{20};
constexpr int kCallers = 40;
constexpr int kFirstRefusal = 400;
constexpr char kBounds[] = R"("revoke_ms": 5000, "grace_s": 8)";

enum class Framing { kWhole, kSlowLength, kSlowChunks };

// A request, and how it is sent.
struct RequestPlan {
  std::string path;
  std::string attempt_id;
  int deadline_ms = 0;  // 0: none.
  Framing framing = Framing::kWhole;
  milliseconds pause{0};  // Between the parts of a slow body.
};

std::vector<std::string> PartsOf(const RequestPlan& plan) {
  std::string head = "POST " + plan.path +
                     " HTTP/1.1\r\nHost: h.example\r\n"
                     "Radishrudder-Attempt-Id: " +
                     plan.attempt_id + "\r\n";
  if (plan.deadline_ms > 0) {
    head += "Radishrudder-Deadline-Ms: " + std::to_string(plan.deadline_ms) +
            "\r\n";
  }
  switch (plan.framing) {
    case Framing::kWhole:
      return {head + "Content-Length: 4\r\n\r\nbody"};
    case Framing::kSlowLength:
      return {head + "Content-Length: 4\r\n\r\n", "b", "o", "d", "y"};
    case Framing::kSlowChunks:
      return {head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nb\r\n",
              "2\r\nod\r\n", "1\r\ny\r\n", "0\r\n\r\n"};
  }
  return {};
}

// What became of the requests of all callers.
struct Counts {
  std::atomic<int> served = 0;
  std::atomic<int> served_late = 0;  // Sent after a stop began.
  std::atomic<int> refused = 0;
  std::atomic<int> unread = 0;
  std::atomic<int> not_sent = 0;  // Cut before the last byte was sent.
  std::atomic<int> lost = 0;
  std::atomic<int> untrue_refusals = 0;  // The endpoint ran the request.
  std::atomic<int> repeated = 0;         // It ran it more than once.
};

std::string ToText(const Counts& counts) {
  return std::to_string(counts.served) + " served, " +
         std::to_string(counts.served_late) + " of them sent in a stop, " +
         std::to_string(counts.refused) + " refused, " +
         std::to_string(counts.unread) + " unread, " +
         std::to_string(counts.not_sent) + " not sent whole";
}

// An entry as a separate process. All entries of a test use one stand-in.
class LateRequestsTest : public testing::Test {
 protected:
  using Plan = std::function<RequestPlan(int caller, int call)>;
  using Clock = std::chrono::steady_clock;

  // Starts an entry and waits until it serves.
  void StartEntry() {
    auto program = std::make_unique<RunningProgram>("entry");
    if (m_standin == nullptr) {
      m_store_address = program->StoreAddress();
      m_standin = std::make_unique<PlatformStandin>(m_store_address);
    }
    std::string settings = program->SettingsText(kBounds);
    const std::string own = "\"" + program->StoreAddress() + "\"";
    for (std::size_t at = settings.find(own); at != std::string::npos;
         at = settings.find(own, at + own.size())) {
      settings.replace(at, own.size(), "\"" + m_store_address + "\"");
    }
    program->WriteSettings(settings);
    program->Start();
    EXPECT_TRUE(program->AwaitLog(" process-started ", 1, kLimit));
    StandinCaller caller(program->CallersAddress());
    const auto end = Clock::now() + kLimit;
    const RequestPlan probe{.path = "/s/1", .attempt_id = "probe"};
    while (Clock::now() < end && caller.Status() != 200) {
      caller.Call(PartsOf(probe).front());
    }
    EXPECT_EQ(caller.Status(), 200);
    m_entries.push_back(std::move(program));
  }

  // Calls the entry over kept connections until `m_ending`, or until it is
  // redirected and has no connection left.
  void RunCaller(int number, std::size_t entry, const Plan& make_plan) {
    StandinCaller caller(m_entries[entry]->CallersAddress());
    for (int call = 0;
         !m_ending && (caller.IsConnected() || m_redirected <= entry); ++call) {
      const RequestPlan plan = make_plan(number, call);
      const std::vector<std::string> texts = PartsOf(plan);
      const std::vector<std::string_view> parts(texts.begin(), texts.end());
      const bool late = m_stopped > entry;
      const Result result = caller.CallInParts(parts, plan.pause);
      if (result == Result::kNotConnected) {
        std::this_thread::sleep_for(milliseconds(5));
        continue;
      }
      Count(plan, late, caller, result);
      if (caller.Status() >= kFirstRefusal) {
        std::this_thread::sleep_for(kRefusalPause);
      }
    }
  }

  void Count(const RequestPlan& plan,
             bool late,
             const StandinCaller& caller,
             Result result) {
    const int runs = m_standin->Runs(plan.attempt_id);
    const bool repeatable = plan.path.starts_with("/s/");
    m_counts.repeated += runs > 1 && !repeatable ? 1 : 0;
    if (result == Result::kNotSent) {
      ++m_counts.not_sent;
    } else if (result == Result::kLost) {
      const bool unread =
          runs == 0 && caller.EndedAt() - caller.SentAt() < kUnreadTime;
      ++(unread ? m_counts.unread : m_counts.lost);
      std::cout << (unread ? "unread " : "lost ") << plan.attempt_id << ' '
                << plan.path << ", sent " << SinceStop(caller.SentAt())
                << " ms and ended " << SinceStop(caller.EndedAt())
                << " ms after the first stop\n";
    } else if (caller.Status() >= kFirstRefusal) {
      ++m_counts.refused;
      const bool says_not_run =
          caller.Status() == 429 || caller.Status() == 503;
      m_counts.untrue_refusals += says_not_run && runs > 0 ? 1 : 0;
    } else {
      ++m_counts.served;
      m_counts.served_late += late ? 1 : 0;
    }
  }

  // Stops the next entry in turn.
  void StopNext() {
    if (m_stopped == 0) {
      m_first_stop = Clock::now();
    }
    m_entries[m_stopped++]->Signal(SIGTERM);
  }
  long SinceStop(Clock::time_point time) const {
    return m_stopped == 0
               ? 0
               : std::chrono::duration_cast<milliseconds>(time - m_first_stop)
                     .count();
  }

  void ExpectNoneLost() {
    std::cout << ToText(m_counts) << '\n';
    EXPECT_EQ(m_counts.lost, 0);
    EXPECT_EQ(m_counts.not_sent, 0);
    EXPECT_EQ(m_counts.untrue_refusals, 0);
    EXPECT_EQ(m_counts.repeated, 0);
  }

  std::string m_store_address;
  std::unique_ptr<PlatformStandin> m_standin;
  std::vector<std::unique_ptr<RunningProgram>> m_entries;
  std::atomic<bool> m_ending = false;
  Clock::time_point m_first_stop{};
  std::atomic<std::size_t> m_stopped = 0;  // Entries whose stop has begun.
  // Entries to which callers open no new connections any more.
  std::atomic<std::size_t> m_redirected = 0;
  Counts m_counts;
};

struct LateCase {
  const char* name;
  const char* route;
  int deadline_ms = 0;  // 0: none.
  Framing framing = Framing::kWhole;
};

void PrintTo(const LateCase& late, std::ostream* out) {
  *out << late.name;
}

// First a stream that begins before the stop and ends within it, on a
// connection that stays open; then requests of the case on that connection.
RequestPlan PlanOf(const LateCase& late, int caller, int call) {
  constexpr int kFirstEnd = 1000;
  constexpr int kLastEnd = 8200;
  // With the slowest body, the longest work ends within the time limit.
  constexpr int kLongestWork = 1500;
  constexpr int kLongestPause = 280;
  kernel::Random random(static_cast<std::uint64_t>(caller * 1000 + call));
  RequestPlan plan;
  plan.attempt_id = std::to_string(caller) + "-" + std::to_string(call);
  if (call == 0) {
    plan.path = "/u/" + std::to_string(kFirstEnd + (kLastEnd - kFirstEnd) *
                                                       caller / kCallers);
    plan.deadline_ms = 20000;
    return plan;
  }
  plan.path = late.route + std::to_string(random.Below(kLongestWork));
  plan.deadline_ms = late.deadline_ms;
  plan.framing = late.framing;
  plan.pause = milliseconds(20 + random.Below(kLongestPause));
  return plan;
}

class OneEntryTest : public LateRequestsTest,
                     public testing::WithParamInterface<LateCase> {};

// Guards against requests that arrive late in a stop, are passed on and cut at
// its end, and against those whose body is still arriving then.
TEST_P(OneEntryTest, AnswersOrRefusesLateRequests) {
  constexpr milliseconds kBeforeStop{800};
  StartEntry();
  std::vector<std::thread> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([this, i] {
      RunCaller(i, 0, [](int caller, int call) {
        return PlanOf(GetParam(), caller, call);
      });
    });
  }
  std::this_thread::sleep_for(kBeforeStop);
  StopNext();
  std::this_thread::sleep_for(kRedirectTime);
  ++m_redirected;
  EXPECT_EQ(m_entries.front()->AwaitExit(kGraceTime), 0);
  for (std::thread& caller : callers) {
    caller.join();
  }
  ExpectNoneLost();
  EXPECT_GE(m_counts.served, kCallers - 2);
}

INSTANTIATE_TEST_SUITE_P(
    Requests,
    OneEntryTest,
    testing::Values(
        LateCase{"Plain", "/n/", 3000},
        LateCase{"PlainWithoutDeadline", "/n/"},
        LateCase{"Stream", "/u/", 3000},
        LateCase{"StreamWithoutDeadline", "/u/"},
        LateCase{"SlowBody", "/n/", 3000, Framing::kSlowLength},
        LateCase{"SlowBodyWithoutDeadline", "/n/", 0, Framing::kSlowLength},
        LateCase{"SlowChunks", "/n/", 3000, Framing::kSlowChunks},
        LateCase{"SlowChunksOfStream", "/u/", 3000, Framing::kSlowChunks}),
    [](const auto& test) { return std::string(test.param.name); });

// Guards against a response that its caller has not read when the process ends,
// and that is dropped without a trace.
TEST_F(LateRequestsTest, RecordsThatResponseWasNotTaken) {
  constexpr milliseconds kBeforeStop{500};
  static constexpr milliseconds kReadAfter = kGraceTime + kBeforeStop;
  StartEntry();
  std::string received;
  std::thread caller([this, &received] {
    const std::vector<std::string> parts = PartsOf(
        {.path = "/n/3000?large", .attempt_id = "slow", .deadline_ms = 20000});
    const std::string_view request = parts.front();
    received = SendParts(m_entries.front()->CallersAddress(), {&request, 1},
                         /*pause=*/kReadAfter, kLimit);
  });
  std::this_thread::sleep_for(kBeforeStop);
  StopNext();
  EXPECT_EQ(m_entries.front()->AwaitExit(kLimit), 0);
  caller.join();
  EXPECT_TRUE(received.starts_with("HTTP/1.1 200"));
  const std::string record = m_entries.front()->LastRecord(" stop-ended ");
  EXPECT_NE(record.find("connections_with_unsent_bytes=1"), std::string::npos)
      << record;
}

// Guards against requests lost where entries are stopped one after another and
// callers go from one to the next.
TEST_F(LateRequestsTest, AnswersOrRefusesWhereEntriesStopInTurn) {
  constexpr std::size_t kEntries = 4;
  constexpr milliseconds kBetweenStops{2000};
  for (std::size_t i = 0; i < kEntries; ++i) {
    StartEntry();
  }
  const LateCase cases[] = {{"", "/n/", 3000},
                            {"", "/u/", 3000},
                            {"", "/n/", 3000, Framing::kSlowLength},
                            {"", "/u/", 3000, Framing::kSlowChunks},
                            {"", "/s/", 4000},
                            {"", "/n/", 0}};
  std::vector<std::thread> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([this, i, &cases] {
      int call_of_all = 0;
      for (std::size_t entry = static_cast<std::size_t>(i) % kEntries;
           entry < kEntries && !m_ending; ++entry) {
        RunCaller(i, entry, [&](int caller, int call) {
          RequestPlan plan = PlanOf(
              cases[static_cast<std::size_t>(call_of_all) % std::size(cases)],
              caller, call);
          plan.attempt_id += "-" + std::to_string(call_of_all++);
          return plan;
        });
      }
    });
  }
  // The last entry goes on.
  std::vector<std::thread> redirections;
  for (std::size_t i = 0; i + 1 < kEntries; ++i) {
    std::this_thread::sleep_for(kBetweenStops);
    StopNext();
    redirections.emplace_back([this] {
      std::this_thread::sleep_for(kRedirectTime);
      ++m_redirected;
    });
  }
  for (std::thread& redirection : redirections) {
    redirection.join();
  }
  for (std::size_t i = 0; i + 1 < kEntries; ++i) {
    EXPECT_EQ(m_entries[i]->AwaitExit(kLimit), 0);
  }
  m_ending = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  ExpectNoneLost();
  EXPECT_GT(m_counts.served, kCallers);
}

}  // namespace
}  // namespace radishrudder::platform
