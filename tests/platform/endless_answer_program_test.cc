// Tests that an entry, as a separate process, stays within its memory and keeps
// serving calls while endpoints answer without end.
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <deque>
#include <ostream>
#include <string>
#include <thread>
#include <vector>

#include "tests/platform/endless_endpoint.h"
#include "tests/platform/platform_standin.h"
#include "tests/platform/running_program.h"

namespace radishrudder::platform {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr milliseconds kLimit{10000};
constexpr milliseconds kDuration{6000};
constexpr milliseconds kDeadline{5000};
// Of calls that the sound endpoint is to answer.
constexpr milliseconds kSoundDeadline{600};
constexpr int kSoundCallers = 4;
// The smallest machine of an entry.
constexpr std::size_t kMemoryMegabytes = 112;
constexpr std::size_t kMemory = kMemoryMegabytes * 1'000'000;
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr bool kMemoryIsOurs = false;
#else
constexpr bool kMemoryIsOurs = true;
#endif
// Of all endpoints together.
constexpr double kBytesPerSecond = 1e8;
constexpr int kEndpoints = 2;
constexpr int kCallers = 24;
// What a caller in another region can read.
constexpr std::size_t kSlowBytesPerSecond = 2'750'000;
constexpr char kBounds[] = R"("revoke_ms": 5000, "grace_s": 2)";

struct EndlessCase {
  const char* name;
  const char* route;
  std::string start{};
  std::string repeated{};
};

void PrintTo(const EndlessCase& endless, std::ostream* stream) {
  *stream << endless.name;
}

// The head of an answer that is in order, without its framing.
std::string Head() {
  return "HTTP/1.1 200 OK\r\nRadishrudder-Attempt-Id: @id\r\n"
         "Radishrudder-Response-Signature: proof\r\n";
}

std::string Chunk(std::size_t size) {
  char length[20];
  snprintf(length, sizeof(length), "%zx\r\n", size);
  return length + std::string(size, 'x') + "\r\n";
}

std::vector<EndlessCase> Cases() {
  const std::string chunked = Head() + "Transfer-Encoding: chunked\r\n\r\n";
  return {
      {"HeaderLines", "/s/", Head(), Repeated("A: b\r\n")},
      {"OneHeaderLine", "/s/", Head() + "X: ", Repeated("a")},
      {"NoAnswer", "/s/", "", Repeated("xyz")},
      {"InterimAnswers", "/s/", "",
       Repeated("HTTP/1.1 102 Processing\r\n\r\n")},
      {"BodyWithoutLength", "/s/", Head() + "\r\n", Repeated("a")},
      {"SmallChunks", "/s/", chunked, Repeated("4\r\nabcd\r\n")},
      {"LargeChunks", "/s/", chunked, Chunk(65536)},
      {"ChunkExtension", "/s/", chunked + "4;x=", Repeated("a")},
      {"Trailers", "/s/", chunked + "4\r\nabcd\r\n0\r\n", Repeated("A: b\r\n")},
      {"MoreThanItsLength", "/s/", Head() + "Content-Length: 10\r\n\r\n",
       Repeated("a")},
      {"LongLength", "/s/", Head() + "Content-Length: 99999999999\r\n\r\n",
       Repeated("a")},
      {"OneEvent", "/t/", Head() + "\r\nid: 1\ndata: ", Repeated("a")},
      {"LinesOfOneEvent", "/t/", Head() + "\r\nid: 1\n",
       Repeated("data: abcdefgh\n")},
      {"Events", "/t/", Head() + "\r\n", Repeated("id: 1\ndata: abcd\n\n")},
      {"OneEventOnPlainRoute", "/s/",
       Head() + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ",
       Repeated("a")},
      {"EventsThatMayNotBeRepeated", "/u/", Head() + "\r\n",
       Repeated("data: abcd\n\n")}};
}

class EndlessAnswerEntryTest : public testing::TestWithParam<EndlessCase> {
 protected:
  EndlessAnswerEntryTest() {
    for (int i = 0; i < kEndpoints; ++i) {
      m_endpoints.emplace_back(GetParam().start, GetParam().repeated, m_rate);
    }
  }

  void Start() {
    std::string settings = m_program.SettingsText(kBounds);
    const std::string limits = R"("limits": {)";
    settings.replace(
        settings.find(limits), limits.size(),
        limits + R"("memory_mb": )" + std::to_string(kMemoryMegabytes) + ", ");
    m_program.WriteSettings(settings);
    m_program.Start();
    ASSERT_TRUE(m_program.AwaitLog(" process-started ", 1, kLimit));
  }
  static std::string Request(std::string_view target,
                             std::string_view id,
                             milliseconds deadline) {
    return "POST " + std::string(target) +
           " HTTP/1.1\r\nHost: h.example\r\nRadishrudder-Attempt-Id: " +
           std::string(id) +
           "\r\nRadishrudder-Deadline-Ms: " + std::to_string(deadline.count()) +
           "\r\nContent-Length: 4\r\n\r\nbody";
  }
  // Calls as long as others read answers; counts those that the sound endpoint
  // ran and whose answers were lost.
  void CallSoundEndpoint(int number) {
    StandinCaller caller(m_program.CallersAddress());
    for (int i = 0; !m_ended; ++i) {
      const std::string id =
          "sound-" + std::to_string(number) + "-" + std::to_string(i);
      const auto result = caller.Call(Request("/s/1", id, kSoundDeadline));
      const bool ran = m_standin->Runs(id) > 0;
      m_answered += ran && result == StandinCaller::Result::kAnswered ? 1 : 0;
      m_lost += ran && result != StandinCaller::Result::kAnswered ? 1 : 0;
      std::this_thread::sleep_for(milliseconds(10));
    }
  }

  ByteRate m_rate{kBytesPerSecond};
  std::deque<EndlessEndpoint> m_endpoints;
  RunningProgram m_program{"entry"};
  std::unique_ptr<PlatformStandin> m_standin;
  std::atomic<bool> m_ended = false;
  std::atomic<int> m_answered = 0;
  std::atomic<int> m_lost = 0;
};

// Guards against an entry that keeps what callers have not read of answers
// without end, until the platform ends it for its memory.
TEST_P(EndlessAnswerEntryTest, StaysWithinItsMemory) {
  std::vector<StandinEntry> entries;
  for (const EndlessEndpoint& endpoint : m_endpoints) {
    entries.push_back({"servers/i-" + std::to_string(entries.size() + 2),
                       R"({"service": "plain", "zone": "a", "slots": 32,)"
                       R"("state": "ready", "born": 1, "address": ")" +
                           endpoint.Address() + "\"}"});
  }
  m_standin = std::make_unique<PlatformStandin>(m_program.StoreAddress(),
                                                std::move(entries));
  Start();
  ASSERT_TRUE(m_program.AwaitLog(" document-in-force ", 1, kLimit));
  std::vector<std::thread> sound;
  for (int i = 0; i < kSoundCallers; ++i) {
    sound.emplace_back([this, i] { CallSoundEndpoint(i); });
  }
  const std::string target = std::string(GetParam().route) + "1";
  const auto end = Clock::now() + kDuration;
  std::vector<std::thread> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      for (int call = 0; Clock::now() < end; ++call) {
        const std::string id =
            "c" + std::to_string(i) + "-" + std::to_string(call);
        ReadSlowly(
            m_program.CallersAddress(), Request(target, id, kDeadline),
            i % 2 == 0 ? kSlowBytesPerSecond : 0,
            std::chrono::duration_cast<milliseconds>(end - Clock::now()));
        std::this_thread::sleep_for(milliseconds(20));
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  m_ended = true;
  for (std::thread& caller : sound) {
    caller.join();
  }
  std::size_t answers = 0;
  for (const EndlessEndpoint& endpoint : m_endpoints) {
    answers += endpoint.Answers();
  }
  EXPECT_TRUE(m_program.IsRunning());
  EXPECT_GE(answers, 1U);
  EXPECT_GE(m_answered, 1);
  EXPECT_EQ(m_lost, 0);
  RecordProperty("peak_bytes", std::to_string(m_program.PeakResidentBytes()));
  if (kMemoryIsOurs) {
    EXPECT_LE(m_program.PeakResidentBytes(), kMemory);
  }
}

INSTANTIATE_TEST_SUITE_P(Answers,
                         EndlessAnswerEntryTest,
                         testing::ValuesIn(Cases()),
                         [](const auto& info) {
                           return std::string(info.param.name);
                         });

}  // namespace
}  // namespace radishrudder::platform
