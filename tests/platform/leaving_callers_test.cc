// Tests that an entry, as a separate process, sends no request on for a caller
// that has left, and ends the work of one that leaves.
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <iostream>
#include <memory>
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
constexpr int kCallers = 24;
constexpr milliseconds kCallerInterval{10};
// After its caller has left, a request may reach an endpoint or occupy it for
// this long.
constexpr milliseconds kNoticeTime{500};
// From the last caller's leaving to the count of what has been executed.
constexpr milliseconds kObservationTime{3000};
constexpr char kBounds[] = R"("revoke_ms": 5000, "grace_s": 2)";
// Endpoints at the same address, so that a refused request finds another one.
constexpr int kEndpoints = 60;
// Calls at the same time that leave idle connections to the endpoint.
constexpr int kWarmingCalls = 60;
// Calls that take all places for a while.
constexpr int kBlockers = 8;
// An engine that states its pace lets calls wait for a place.
constexpr char kEngine[] =
    R"(, "engine": {"slots": 8, "step_ms": 8.87, "per_seq_ms": 0.0388,)"
    R"("context_per_k": 0.0227, "read_per_s": 19100, "pairs_per_m": 1.47,)"
    R"("chunk": 2048, "stride": 5, "models": [{"name": "m"}]})";

struct LeavingForm {
  const char* name;
  std::string path = "/n/2000";
  milliseconds leave_after{300};  // From the caller's request.
  // The entry stands still from this time after the first request on; 0: never.
  // Negative: before the first request.
  milliseconds stop_at{0};
  milliseconds stop_time{0};
  bool is_kept = false;    // The connection has had an answer before.
  bool resets = false;     // The caller resets its connection.
  std::size_t behind = 0;  // Bytes of further requests behind the first one.
  // What the caller has sent does not fit the entry's receive buffer, so that
  // the end of its connection waits behind it until the entry reads.
  bool end_waits = false;
  bool in_queue = false;  // All places are taken for 400 ms.
};

void PrintTo(const LeavingForm& form, std::ostream* stream) {
  *stream << form.name;
}

std::string Request(const std::string& path, const std::string& id) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: h.example\r\nRadishrudder-Attempt-Id: " + id +
         "\r\nRadishrudder-Deadline-Ms: 6000\r\nContent-Length: 4\r\n\r\nbody";
}

// A connection that its caller closes without having read an answer.
class LeavingCaller {
 public:
  explicit LeavingCaller(std::string_view address)
      : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    peer.sin_port = htons(static_cast<std::uint16_t>(
        std::stoi(std::string(address.substr(address.find(':') + 1)))));
    EXPECT_EQ(
        connect(m_socket, reinterpret_cast<sockaddr*>(&peer), sizeof(peer)), 0);
  }
  LeavingCaller(const LeavingCaller&) = delete;
  LeavingCaller& operator=(const LeavingCaller&) = delete;
  ~LeavingCaller() { Leave(/*reset=*/true); }

  // Sends as much as the connection takes.
  void Send(std::string_view text) const {
    send(m_socket, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  }
  // Waits for the first bytes of an answer and drops them.
  void AwaitAnswer() const {
    char buffer[4096];
    EXPECT_GT(recv(m_socket, buffer, sizeof(buffer), 0), 0);
  }
  void Leave(bool reset) {
    if (m_socket < 0) {
      return;
    }
    const linger option{.l_onoff = reset ? 1 : 0, .l_linger = 0};
    setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    close(std::exchange(m_socket, -1));
  }

 private:
  int m_socket;
};

class LeavingCallersTest : public testing::TestWithParam<LeavingForm> {
 protected:
  void SetUp() override {
    StandinEndpoint endpoint{.slots = 4000,
                             .service_members = R"(, "max_connections": 4000)"};
    if (GetParam().in_queue) {
      endpoint = {
          .slots = kBlockers,
          .service_members = kEngine,
          .listed_members = R"(, "models": [{"name": "m", "version": 1}])",
          .load_header = "1,0,8,1"};
    }
    m_standin = std::make_unique<PlatformStandin>(
        m_program.StoreAddress(), std::vector<StandinEntry>(),
        std::vector<std::string>(), endpoint);
    for (int i = 2; !GetParam().in_queue && i <= kEndpoints; ++i) {
      m_standin->Write({"servers/i-" + std::to_string(i),
                        R"({"service": "plain", "zone": "a", "slots": 4000,)"
                        R"("state": "ready", "born": 1, "address": ")" +
                            m_standin->EndpointAddress() + "\"}"});
    }
    m_program.WriteSettings(m_program.SettingsText(kBounds));
    m_program.Start();
    ASSERT_TRUE(m_program.AwaitLog(" document-in-force ", 1, kLimit));
    StandinCaller caller(m_program.CallersAddress());
    const auto end = Clock::now() + kLimit;
    while (caller.Status() != 200 && Clock::now() < end) {
      caller.Call(Request("/s/1", "probe"));
    }
    ASSERT_EQ(caller.Status(), 200);
    for (std::thread& call : CallAtOnce(
             "/n/200", GetParam().in_queue ? kBlockers : kWarmingCalls)) {
      call.join();
    }
  }

  // Each on a connection of its own.
  std::vector<std::thread> CallAtOnce(const std::string& path, int calls) {
    std::vector<std::thread> threads;
    for (int i = 0; i < calls; ++i) {
      threads.emplace_back([this, path, i] {
        StandinCaller caller(m_program.CallersAddress());
        caller.Call(Request(path, "other-" + std::to_string(i)));
      });
    }
    return threads;
  }

  static std::string IdOf(int caller, int request) {
    return "c" + std::to_string(caller) + "-" + std::to_string(request);
  }

  // Sends the requests of one caller, and leaves. Returns when it left.
  Clock::time_point RunCaller(int number, Clock::time_point begin) {
    const LeavingForm& form = GetParam();
    LeavingCaller caller(m_program.CallersAddress());
    if (form.is_kept) {
      caller.Send(Request("/s/1", "kept-" + std::to_string(number)));
      caller.AwaitAnswer();
    }
    std::string text = Request(form.path, IdOf(number, 0));
    for (int request = 1; text.size() < form.behind; ++request) {
      text += Request(form.path, IdOf(number, request));
    }
    std::this_thread::sleep_until(begin + number * kCallerInterval);
    caller.Send(text);
    std::this_thread::sleep_for(form.leave_after);
    caller.Leave(form.resets);
    return Clock::now();
  }

  RunningProgram m_program{"entry"};
  std::unique_ptr<PlatformStandin> m_standin;
};

// Guards against work for callers that have left: requests that are read, that
// find a place or that are tried again after their caller's connection has
// ended, and runs that go on because nothing of the connection is read.
TEST_P(LeavingCallersTest, NothingIsSentOnForThem) {
  const LeavingForm& form = GetParam();
  const auto begin = Clock::now() + milliseconds(300);
  std::vector<Clock::time_point> left(kCallers);
  std::vector<std::thread> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] { left[i] = RunCaller(i, begin); });
  }
  if (form.in_queue) {
    std::this_thread::sleep_until(begin - milliseconds(100));
    for (std::thread& blocker : CallAtOnce("/n/400", kBlockers)) {
      callers.push_back(std::move(blocker));
    }
  }
  Clock::time_point resumed{};
  if (form.stop_time > milliseconds(0)) {
    std::this_thread::sleep_until(begin + form.stop_at);
    m_program.Signal(SIGSTOP);
    std::this_thread::sleep_for(form.stop_time);
    m_program.Signal(SIGCONT);
    resumed = Clock::now();
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  std::this_thread::sleep_for(kObservationTime);
  int arrived = 0;
  int sent_late = 0;
  int ran_on = 0;
  for (int caller = 0; caller < kCallers; ++caller) {
    bool is_late = false;
    bool runs_on = false;
    // While it stands still, the entry can't end what it sent before.
    const Clock::time_point noticeable = std::max(left[caller], resumed);
    for (int request = 0;
         request == 0 || m_standin->Runs(IdOf(caller, request)); ++request) {
      for (const StandinRun& run : m_standin->RunsOf(IdOf(caller, request))) {
        ++arrived;
        is_late |= run.began >
                   (form.end_waits ? noticeable : left[caller]) + kNoticeTime;
        runs_on |= run.ended.value_or(Clock::now()) > noticeable + kNoticeTime;
      }
    }
    sent_late += is_late ? 1 : 0;
    ran_on += runs_on ? 1 : 0;
  }
  std::cout << arrived << " requests arrived; of " << kCallers << " callers, "
            << sent_late << " had one sent on late, " << ran_on
            << " had one that ran on\n";
  EXPECT_EQ(sent_late, 0);
  EXPECT_EQ(ran_on, 0);
}

std::vector<LeavingForm> Forms() {
  constexpr milliseconds kBefore{-100};
  constexpr milliseconds kStop{1600};
  return {
      {.name = "InProgress"},
      {.name = "InProgressReset", .resets = true},
      {.name = "Stream", .path = "/t/4000"},
      {.name = "StandsStill",
       .leave_after = milliseconds(400),
       .stop_at = kBefore,
       .stop_time = kStop},
      {.name = "StandsStillKept",
       .leave_after = milliseconds(400),
       .stop_at = kBefore,
       .stop_time = kStop,
       .is_kept = true},
      {.name = "StandsStillReset",
       .leave_after = milliseconds(400),
       .stop_at = kBefore,
       .stop_time = kStop,
       .resets = true},
      {.name = "StandsStillStream",
       .path = "/t/4000",
       .leave_after = milliseconds(400),
       .stop_at = kBefore,
       .stop_time = kStop,
       .is_kept = true},
      {.name = "StandsStillBeforeRetry",
       .path = "/n/450?refuse",
       .leave_after = milliseconds(700),
       .stop_at = milliseconds(300),
       .stop_time = kStop},
      // Longer than the target latency of a second, none would wait.
      {.name = "StandsStillInQueue",
       .leave_after = milliseconds(380),
       .stop_at = milliseconds(250),
       .stop_time = milliseconds(690),
       .in_queue = true},
      {.name = "OneBehind", .behind = 200},
      {.name = "KilobytesBehind", .behind = 48U << 10U},
      {.name = "KilobytesBehindReset", .resets = true, .behind = 48U << 10U},
      {.name = "HundredsOfKilobytesBehind", .behind = 200U << 10U},
      {.name = "KilobytesBehindStream",
       .path = "/t/4000",
       .behind = 48U << 10U},
      {.name = "StandsStillKilobytesBehind",
       .leave_after = milliseconds(400),
       .stop_at = kBefore,
       .stop_time = kStop,
       .behind = 48U << 10U,
       .end_waits = true}};
}

INSTANTIATE_TEST_SUITE_P(Forms,
                         LeavingCallersTest,
                         testing::ValuesIn(Forms()),
                         [](const auto& info) {
                           return std::string(info.param.name);
                         });

}  // namespace
}  // namespace radishrudder::platform
