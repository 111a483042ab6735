// Tests that an entry, as a separate process, stays within its memory and its
// descriptors and keeps answering ordinary requests while a crowd of clients
// makes it hold as much as it can.
#include <gtest/gtest.h>
#include <signal.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "tests/platform/client_crowd.h"
#include "tests/platform/platform_standin.h"
#include "tests/platform/running_program.h"

namespace radishrudder::platform {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr milliseconds kLimit{10000};
// Each round has new connections.
constexpr int kRounds = 2;
constexpr milliseconds kRound{2500};
constexpr milliseconds kObservationInterval{20};
// The smallest machine of an entry.
constexpr std::size_t kMemoryMegabytes = 112;
constexpr std::size_t kMemory = kMemoryMegabytes * 1'000'000;
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr bool kMemoryIsOurs = false;
#else
constexpr bool kMemoryIsOurs = true;
#endif
constexpr std::size_t kBodyLimit = 4U << 20U;
constexpr std::size_t kDescriptors = 2870;
// Descriptors that the platform reserves for files.
constexpr std::size_t kFileDescriptors = 200;
constexpr char kBounds[] = R"("revoke_ms": 5000, "grace_s": 2)";

// Entries tell each other what they know at `kControl`, agents and daemons send
// each other messages at `kPeers`.
enum class Listener { kCallers, kReadiness, kControl, kPeers, kMetrics };

struct CrowdCase {
  const char* name;
  ClientForm form{};
  std::size_t clients = 60;
  Listener listener = Listener::kCallers;
  std::size_t descriptors = kDescriptors;
  StandinEndpoint endpoint{};
};

void PrintTo(const CrowdCase& crowd, std::ostream* stream) {
  *stream << crowd.name;
}

std::string Line(std::string_view target) {
  return "POST " + std::string(target) +
         " HTTP/1.1\r\nHost: h.example\r\nRadishrudder-Attempt-Id: crowd\r\n"
         "Radishrudder-Deadline-Ms: 20000\r\n";
}

std::string WithLength(std::string_view target, std::size_t length) {
  return Line(target) + "Content-Length: " + std::to_string(length) +
         "\r\n\r\n";
}

std::string Chunked(std::string_view target) {
  return Line(target) + "Transfer-Encoding: chunked\r\n\r\n";
}

std::string Block(std::string_view unit) {
  constexpr std::size_t kBlock = 64U << 10U;
  std::string block;
  while (block.size() < kBlock) {
    block += unit;
  }
  return block;
}

// A body of the limit whose last byte is missing.
ClientForm OneByteShort(std::string_view target) {
  return {.start = WithLength(target, kBodyLimit),
          .repeated = Block("x"),
          .repeated_bytes = kBodyLimit - 1};
}

// A number in six letters.
std::string Letters(std::size_t number) {
  constexpr std::size_t kAlphabet = 26;
  std::string letters(6, 'a');
  for (char& letter : letters) {
    letter = static_cast<char>('a' + number % kAlphabet);
    number /= kAlphabet;
  }
  return letters;
}

// A head of 16 KB whose prompt parts no other request has.
std::string OwnPromptParts(std::size_t number) {
  constexpr std::size_t kParts = 1700;
  std::string request = Line("/s/1") + "Radishrudder-Prompt-Prefix: ";
  for (std::size_t part = 0; part < kParts; ++part) {
    request += Letters(number * kParts + part) + ":1,";
  }
  return request + "b:1\r\n\r\n";
}

std::string OwnLongPromptPart(std::size_t number) {
  constexpr std::size_t kIdBytes = 15'000;
  return Line("/s/1") + "Radishrudder-Prompt-Prefix: " + Letters(number) +
         std::string(kIdBytes, 'x') + ":1,b:1\r\n\r\n";
}

// An endpoint that takes more requests at a time than an entry can hold.
StandinEndpoint LargeEndpoint() {
  return {.slots = 4000, .service_members = R"(, "max_connections": 4000)"};
}

std::vector<CrowdCase> Cases() {
  constexpr std::size_t kFarOver = 12U << 20U;
  constexpr std::size_t kHeadBytes = 16000;
  const std::string large_chunk =
      "10000\r\n" + std::string(64U << 10U, 'x') + "\r\n";
  const std::string small_chunks = Block("4\r\nabcd\r\n");
  const std::size_t small_chunk_bytes = kBodyLimit / 4 * 9 - 9;
  ClientForm pieces = OneByteShort("/s/1");
  pieces.piece_bytes = 64U << 10U;
  pieces.pause = milliseconds(10);
  ClientForm trickle = OneByteShort("/s/1");
  trickle.start += std::string(kBodyLimit - (1U << 10U), 'x');
  trickle.repeated_bytes = (1U << 10U) - 1;
  trickle.piece_bytes = 1;
  trickle.pause = milliseconds(10);
  ClientForm behind = OneByteShort("/s/1");
  behind.start = WithLength("/n/2000", 0) + behind.start;
  return {
      {"WholeBodies",
       {.start = WithLength("/s/1", kBodyLimit),
        .repeated = Block("x"),
        .repeated_bytes = kBodyLimit}},
      {"WholeBodiesInProgress",
       {.start = WithLength("/n/1500", kBodyLimit),
        .repeated = Block("x"),
        .repeated_bytes = kBodyLimit}},
      {"OneByteShort", OneByteShort("/s/1")},
      {"OneByteShortInPieces", pieces},
      {"Trickle", trickle},
      {"LargeChunks",
       {.start = Chunked("/s/1"),
        .repeated = large_chunk,
        .repeated_bytes = 64 * large_chunk.size()}},
      {"SmallChunks",
       {.start = Chunked("/s/1"),
        .repeated = small_chunks,
        .repeated_bytes = small_chunk_bytes}},
      {"AnnouncedFarOverTheLimit",
       {.start = WithLength("/s/1", 1U << 30U),
        .repeated = Block("x"),
        .repeated_bytes = kFarOver}},
      {"ChunkedFarOverTheLimit",
       {.start = Chunked("/s/1"),
        .repeated = large_chunk,
        .repeated_bytes = 256 * large_chunk.size()}},
      {"OnlyAnnounced", {.start = WithLength("/s/1", kBodyLimit)}, 600},
      {"BehindRequestInProgress", behind},
      {"OneByteShortAtReadiness", OneByteShort("/ready"), 60,
       Listener::kReadiness},
      {"OneByteShortAtPeers", OneByteShort("/peers"), 60, Listener::kControl},
      {"OneByteShortAtMetrics", OneByteShort("/metrics"), 60,
       Listener::kMetrics},
      {"SmallHeaders",
       {.start = Line("/s/1"),
        .repeated = Block("a:\r\n"),
        .repeated_bytes = kHeadBytes / 4 * 4},
       800},
      {"SmallHeadersAtReadiness",
       {.start = Line("/ready"),
        .repeated = Block("a:\r\n"),
        .repeated_bytes = kHeadBytes / 4 * 4},
       800,
       Listener::kReadiness},
      {"SmallHeadersInProgress",
       {.start =
            Line("/n/1500") + Block("a:\r\n").substr(0, kHeadBytes) + "\r\n"},
       800},
      {"PromptParts",
       {.start = Line("/n/1500") + "Radishrudder-Prompt-Prefix: " +
                 Block("a:1,").substr(0, kHeadBytes) + "b:1\r\n\r\n"},
       800},
      {"OwnPromptParts", {.make_request = OwnPromptParts}},
      {"OwnLongPromptParts", {.make_request = OwnLongPromptPart}},
      {"SmallBodiesOfManyClients",
       {.start = Chunked("/s/1"),
        .repeated = Block("8000\r\n" + std::string(32U << 10U, 'x') + "\r\n"),
        .repeated_bytes = 48U << 10U},
       2600},
      {"Trailers",
       {.start = Chunked("/s/1") + "4\r\nabcd\r\n0\r\n",
        .repeated = Block("A: b\r\n"),
        .repeated_bytes = 78'000},
       200},
      {"ChunkExtension",
       {.start = Chunked("/s/1") + "4;x=",
        .repeated = Block("a"),
        .repeated_bytes = kBodyLimit}},
      {"UnreadAnswers", {.start = WithLength("/n/0?4MB", 0), .reads = false}},
      {"UnreadLargeAnswers",
       {.start = WithLength("/n/0?large", 0), .reads = false}},
      {"UnreadStreams", {.start = WithLength("/u/100000", 0), .reads = false}},
      {"ManyRequestsWithoutReading",
       {.start = "",
        .repeated = WithLength("/s/missing", 0),
        .repeated_bytes = 20'000 * WithLength("/s/missing", 0).size(),
        .reads = false}},
      {"UnreadAnswersAtMetrics",
       {.start = "",
        .repeated = "GET /metrics HTTP/1.1\r\nHost: h.example\r\n\r\n",
        .repeated_bytes = 64U << 10U,
        .reads = false},
       800,
       Listener::kMetrics},
      {"RequestsInProgress",
       {.start = WithLength("/n/2000", 0)},
       600,
       Listener::kCallers,
       500,
       LargeEndpoint()},
      {"SmallRequestsBehindManyInProgress",
       {.start = WithLength("/n/2000", 0),
        .repeated = WithLength("/s/1", 0),
        .repeated_bytes = 200U << 10U},
       1600,
       Listener::kCallers,
       4300,
       LargeEndpoint()},
      {"IdleConnections", {}, 600, Listener::kCallers, 500},
      {"IdleConnectionsAtReadiness", {}, 600, Listener::kReadiness, 500},
      {"IdleConnectionsAtPeers", {}, 600, Listener::kControl, 500},
      {"HeadsWithoutEnd",
       {.start = Line("/s/1")},
       600,
       Listener::kCallers,
       500}};
}

class CrowdTest : public testing::Test {
 protected:
  std::string Settings(std::size_t megabytes, std::size_t descriptors) const {
    std::string settings = m_program.SettingsText(kBounds);
    const std::string limits = R"("limits": {)";
    settings.replace(settings.find(limits), limits.size(),
                     limits + R"("memory_mb": )" + std::to_string(megabytes) +
                         R"(, "max_fds": )" + std::to_string(descriptors) +
                         ", ");
    return settings;
  }

  void Start(std::size_t megabytes,
             std::size_t descriptors,
             StandinEndpoint endpoint = {}) {
    m_standin = std::make_unique<PlatformStandin>(
        m_program.StoreAddress(), std::vector<StandinEntry>(),
        std::vector<std::string>(), std::move(endpoint));
    m_program.WriteSettings(Settings(megabytes, descriptors));
    m_program.Start();
    ASSERT_TRUE(m_program.AwaitLog(" document-in-force ", 1, kLimit));
  }

  static std::string AddressOf(const RunningProgram& program,
                               Listener listener) {
    switch (listener) {
      case Listener::kReadiness:
        return program.ReadinessAddress();
      case Listener::kControl:
        return program.ControlAddress();
      case Listener::kPeers:
        return program.PeersAddress();
      case Listener::kMetrics:
        return program.MetricsAddress();
      case Listener::kCallers:
        break;
    }
    return program.CallersAddress();
  }
  std::string Address(Listener listener) const {
    return AddressOf(m_program, listener);
  }

  void Observe() {
    const auto now = Clock::now();
    if (now < m_next_observation) {
      return;
    }
    m_next_observation = now + kObservationInterval;
    m_most_bytes = std::max(
        m_most_bytes, m_program.ResidentBytes() + m_program.UnreadBytes());
    m_most_descriptors =
        std::max(m_most_descriptors, m_program.OpenDescriptors());
    m_most_sockets = std::max(m_most_sockets, m_program.OpenSockets());
  }

  bool CallOnce(std::string_view id, std::size_t body_bytes) const {
    const std::string request =
        "POST /s/1 HTTP/1.1\r\nHost: h.example\r\nRadishrudder-Attempt-Id: " +
        std::string(id) +
        "\r\nRadishrudder-Deadline-Ms: 3000\r\nContent-Length: " +
        std::to_string(body_bytes) + "\r\n\r\n" + std::string(body_bytes, 'x');
    StandinCaller caller(m_program.CallersAddress());
    return caller.Call(request) == StandinCaller::Result::kAnswered &&
           caller.Status() == 200;
  }

  // Whether a request is answered within the time; it may have to return.
  bool IsServed(std::string_view id,
                std::size_t body_bytes,
                milliseconds limit = kLimit) const {
    const auto end = Clock::now() + limit;
    for (int call = 0; Clock::now() < end; ++call) {
      if (CallOnce(std::string(id) + std::to_string(call), body_bytes)) {
        return true;
      }
      std::this_thread::sleep_for(milliseconds(100));
    }
    return false;
  }

  // Calls beside the crowd.
  void CallUntilEnd() {
    for (int call = 0; !m_ended; ++call) {
      m_answered += CallOnce("beside-" + std::to_string(call), 4) ? 1 : 0;
      std::this_thread::sleep_for(milliseconds(50));
    }
  }

  void ExpectWithinLimits(std::size_t descriptors) {
    EXPECT_TRUE(m_program.IsRunning());
    EXPECT_LE(m_most_descriptors, descriptors);
    EXPECT_LE(m_most_sockets, descriptors - kFileDescriptors);
    RecordProperty("most_bytes", std::to_string(m_most_bytes));
    RecordProperty("peak_bytes", std::to_string(m_program.PeakResidentBytes()));
    RecordProperty("most_sockets", std::to_string(m_most_sockets));
    RecordProperty("answered_beside", std::to_string(m_answered));
    if (kMemoryIsOurs) {
      EXPECT_LE(m_most_bytes, kMemory);
      EXPECT_LE(m_program.PeakResidentBytes(), kMemory);
    }
  }

  RunningProgram m_program{"entry"};
  std::unique_ptr<PlatformStandin> m_standin;
  Clock::time_point m_next_observation{};
  std::size_t m_most_bytes = 0;
  std::size_t m_most_descriptors = 0;
  std::size_t m_most_sockets = 0;
  std::atomic<bool> m_ended = false;
  std::atomic<int> m_answered = 0;
};

class ClientCrowdTest : public CrowdTest,
                        public testing::WithParamInterface<CrowdCase> {};

TEST_P(ClientCrowdTest, StaysWithinItsLimitsAndServes) {
  const CrowdCase& crowd = GetParam();
  ASSERT_NO_FATAL_FAILURE(
      Start(kMemoryMegabytes, crowd.descriptors, crowd.endpoint));
  std::thread beside([this] { CallUntilEnd(); });
  ClientCrowd clients(Address(crowd.listener), crowd.form, crowd.clients);
  for (int round = 0; round < kRounds; ++round) {
    clients.Run(kRound, [this] { Observe(); });
    clients.Disconnect();
  }
  m_ended = true;
  beside.join();
  ExpectWithinLimits(crowd.descriptors);
  EXPECT_GE(m_answered, 1);
  EXPECT_TRUE(IsServed("after-", 4));
}

INSTANTIATE_TEST_SUITE_P(Crowds,
                         ClientCrowdTest,
                         testing::ValuesIn(Cases()),
                         [](const auto& info) {
                           return std::string(info.param.name);
                         });

using RefusalTest = ClientCrowdTest;

// A client whose request is ended for memory reads that it was refused.
TEST_P(RefusalTest, IsRead) {
  const CrowdCase& crowd = GetParam();
  ASSERT_NO_FATAL_FAILURE(Start(kMemoryMegabytes, crowd.descriptors));
  ClientCrowd clients(Address(crowd.listener), crowd.form, crowd.clients);
  clients.Run(kRound, [] {});
  EXPECT_GT(clients.Ended(), 0U);
  EXPECT_EQ(clients.Refused(), clients.Ended());
}

INSTANTIATE_TEST_SUITE_P(
    Crowds,
    RefusalTest,
    testing::Values(
        CrowdCase{"OneByteShort", OneByteShort("/s/1")},
        CrowdCase{
            "LargeChunks",
            {.start = Chunked("/s/1"),
             .repeated = "10000\r\n" + std::string(64U << 10U, 'x') + "\r\n",
             .repeated_bytes = std::size_t{64} * ((64U << 10U) + 9)}}),
    [](const auto& info) { return std::string(info.param.name); });

// No request that was refused has been executed.
TEST_F(CrowdTest, RefusedRequestsAreNotExecuted) {
  constexpr std::size_t kBodyBytes = 1U << 20U;
  constexpr std::size_t kClients = 100;
  ASSERT_NO_FATAL_FAILURE(Start(kMemoryMegabytes, kDescriptors));
  const ClientForm form{.make_request = [](std::size_t number) {
    return "POST /n/200 HTTP/1.1\r\nHost: h.example\r\n"
           "Radishrudder-Attempt-Id: own-" +
           std::to_string(number) +
           "\r\nRadishrudder-Deadline-Ms: 5000\r\nContent-Length: " +
           std::to_string(kBodyBytes) + "\r\n\r\n" +
           std::string(kBodyBytes, 'x');
  }};
  ClientCrowd clients(m_program.CallersAddress(), form, kClients);
  clients.Run(kRound, [] {});
  EXPECT_FALSE(clients.RefusedIds().empty());
  for (const std::string& id : clients.RefusedIds()) {
    EXPECT_EQ(m_standin->Runs(id), 0) << id;
  }
}

using CalmTest = ClientCrowdTest;

// A single request with the largest body is answered on the smallest machine.
TEST_P(CalmTest, AnswersLargestRequest) {
  ASSERT_NO_FATAL_FAILURE(Start(kMemoryMegabytes, kDescriptors));
  ASSERT_TRUE(CallOnce("first", 4));
  const ClientForm& form = GetParam().form;
  std::string request = form.start;
  while (request.size() < form.start.size() + form.repeated_bytes) {
    request += form.repeated.substr(
        0, form.start.size() + form.repeated_bytes - request.size());
  }
  if (form.start.find("chunked") != std::string::npos) {
    request += "0\r\n\r\n";
  }
  StandinCaller caller(m_program.CallersAddress());
  EXPECT_EQ(caller.Call(request), StandinCaller::Result::kAnswered);
  EXPECT_EQ(caller.Status(), 200);
}

INSTANTIATE_TEST_SUITE_P(
    Bodies,
    CalmTest,
    testing::Values(
        CrowdCase{"WithLength",
                  {.start = WithLength("/s/1", kBodyLimit),
                   .repeated = Block("x"),
                   .repeated_bytes = kBodyLimit}},
        CrowdCase{
            "LargeChunks",
            {.start = Chunked("/s/1"),
             .repeated = "10000\r\n" + std::string(64U << 10U, 'x') + "\r\n",
             .repeated_bytes = std::size_t{64} * ((64U << 10U) + 9)}},
        CrowdCase{"SmallChunks",
                  {.start = Chunked("/s/1"),
                   .repeated = "10\r\nabcdefghijklmnop\r\n",
                   .repeated_bytes = kBodyLimit / 16 * 22}}),
    [](const auto& info) { return std::string(info.param.name); });

class CrowdDuringChangeTest : public ClientCrowdTest {};

// A stop is complete in time while clients hold memory.
TEST_P(CrowdDuringChangeTest, StopsInTime) {
  const CrowdCase& crowd = GetParam();
  ASSERT_NO_FATAL_FAILURE(Start(kMemoryMegabytes, crowd.descriptors));
  ClientCrowd clients(Address(crowd.listener), crowd.form, crowd.clients);
  clients.Run(kRound, [this] { Observe(); });
  ExpectWithinLimits(crowd.descriptors);
  m_program.Signal(SIGTERM);
  clients.Run(kRound, [this] { Observe(); });
  EXPECT_EQ(m_program.AwaitExit(kLimit), 0);
  if (kMemoryIsOurs) {
    EXPECT_LE(m_most_bytes, kMemory);
  }
}

// Limits that become smaller while clients hold memory are kept from then on.
TEST_P(CrowdDuringChangeTest, KeepsNewLimits) {
  constexpr std::size_t kLargerMegabytes = 512;
  const CrowdCase& crowd = GetParam();
  ASSERT_NO_FATAL_FAILURE(Start(kLargerMegabytes, crowd.descriptors));
  ClientCrowd clients(Address(crowd.listener), crowd.form, crowd.clients);
  clients.Run(milliseconds(1000), [] {});
  m_program.WriteSettings(Settings(kMemoryMegabytes, crowd.descriptors));
  m_program.Signal(SIGHUP);
  clients.Run(kRound, [] {});
  clients.Run(kRound, [this] { Observe(); });
  EXPECT_TRUE(m_program.IsRunning());
  if (kMemoryIsOurs) {
    EXPECT_LE(m_most_bytes, kMemory);
  }
  EXPECT_TRUE(IsServed("after-", 4));
}

// Guards against answers that nobody reads and that keep all endpoints busy
// until their connections time out.
TEST_P(CrowdDuringChangeTest, LeavesPlacesToOthers) {
  constexpr int kSlots = 6;
  constexpr std::size_t kManyClients = 40;
  // Before the entry ends the first connections, after six seconds.
  constexpr milliseconds kBeforeTimeout{5000};
  m_standin = std::make_unique<PlatformStandin>(
      m_program.StoreAddress(), std::vector<StandinEntry>(),
      std::vector<std::string>(), StandinEndpoint{.slots = kSlots});
  m_program.WriteSettings(Settings(kMemoryMegabytes, kDescriptors));
  m_program.Start();
  ASSERT_TRUE(m_program.AwaitLog(" document-in-force ", 1, kLimit));
  std::thread crowd([&] {
    ClientCrowd clients(m_program.CallersAddress(), GetParam().form,
                        kManyClients);
    while (!m_ended) {
      clients.Run(milliseconds(100), [] {});
    }
  });
  // The crowd has the places.
  std::this_thread::sleep_for(milliseconds(500));
  EXPECT_TRUE(IsServed("beside-", 4, kBeforeTimeout - milliseconds(500)));
  m_ended = true;
  crowd.join();
}

INSTANTIATE_TEST_SUITE_P(
    Crowds,
    CrowdDuringChangeTest,
    testing::Values(
        CrowdCase{"OneByteShort", OneByteShort("/s/1")},
        CrowdCase{"UnreadAnswers",
                  {.start = WithLength("/n/0?4MB", 0), .reads = false}},
        CrowdCase{"UnreadLargeAnswers",
                  {.start = WithLength("/n/0?large", 0), .reads = false}}),
    [](const auto& info) { return std::string(info.param.name); });

// Messages between agents have four bytes of length before them.
class AgentCrowdTest : public ClientCrowdTest {};

TEST_P(AgentCrowdTest, StaysWithinItsLimits) {
  const CrowdCase& crowd = GetParam();
  constexpr std::size_t kAgentMegabytes = 128;
  RunningProgram agent("agent");
  const PlatformStandin standin(agent.StoreAddress());
  std::string settings = agent.SettingsText(kBounds);
  const std::string limits = R"("limits": {)";
  settings.replace(settings.find(limits), limits.size(),
                   limits + R"("memory_mb": )" +
                       std::to_string(kAgentMegabytes) + R"(, "max_fds": )" +
                       std::to_string(crowd.descriptors) + ", ");
  agent.WriteSettings(settings);
  agent.Start();
  ASSERT_TRUE(agent.AwaitLog(" process-started ", 1, kLimit));
  ClientCrowd clients(agent.PeersAddress(), crowd.form, crowd.clients);
  std::size_t most_bytes = 0;
  std::size_t most_descriptors = 0;
  std::size_t most_sockets = 0;
  clients.Run(kRounds * kRound, [&] {
    const auto now = Clock::now();
    if (now >= m_next_observation) {
      m_next_observation = now + kObservationInterval;
      most_bytes =
          std::max(most_bytes, agent.ResidentBytes() + agent.UnreadBytes());
      most_descriptors = std::max(most_descriptors, agent.OpenDescriptors());
      most_sockets = std::max(most_sockets, agent.OpenSockets());
    }
  });
  RecordProperty("most_bytes", std::to_string(most_bytes));
  EXPECT_TRUE(agent.IsRunning());
  EXPECT_LE(most_descriptors, crowd.descriptors);
  EXPECT_LE(most_sockets, crowd.descriptors - kFileDescriptors);
  if (kMemoryIsOurs) {
    EXPECT_LE(most_bytes, kAgentMegabytes * 1'000'000);
  }
  agent.Signal(SIGTERM);
  EXPECT_EQ(agent.AwaitExit(kLimit), 0);
}

INSTANTIATE_TEST_SUITE_P(
    Crowds,
    AgentCrowdTest,
    testing::Values(
        CrowdCase{"OneByteShort",
                  {.start = std::string("\0\x80\0\0", 4),
                   .repeated = Block("x"),
                   .repeated_bytes = (8U << 20U) - 1}},
        CrowdCase{"WholeMessages",
                  {.start = "",
                   .repeated = std::string("\0\x40\0\0", 4) +
                               std::string(4U << 20U, 'x'),
                   .repeated_bytes = 8 * (std::size_t{4U << 20U} + 4)}},
        CrowdCase{"IdleConnections", {}, 600, Listener::kPeers, 500}),
    [](const auto& info) { return std::string(info.param.name); });

// The project's own daemons, with the memory that docs/CAPACITY.md allows a
// process.
class DaemonCrowdTest : public ClientCrowdTest {
 protected:
  static std::string Flag(std::string_view name, std::string_view address) {
    return "--" + std::string(name) + "=" +
           std::string(address.substr(address.find(':') + 1));
  }
};

TEST_P(DaemonCrowdTest, StaysWithinItsMemory) {
  constexpr std::size_t kDaemonMemory = 128'000'000;
  constexpr char kUnusedUrl[] = "http://127.0.0.1:9";
  const CrowdCase& crowd = GetParam();
  RunningProgram daemon("radishrudder-entry",
                        {"--instance=n-1", "--data-centre=a", "--region=a",
                         "--drain-limit-milliseconds=1000",
                         std::string("--configuration=") + kUnusedUrl,
                         std::string("--instances=") + kUnusedUrl});
  daemon.AddArgument(Flag("port", daemon.CallersAddress()));
  daemon.AddArgument(Flag("admin-port", daemon.ReadinessAddress()));
  daemon.AddArgument(Flag("peer-port", daemon.PeersAddress()));
  daemon.Start();
  ASSERT_TRUE(daemon.AwaitLog("listening ", 1, kLimit));
  ClientCrowd clients(AddressOf(daemon, crowd.listener), crowd.form,
                      crowd.clients);
  std::size_t most_bytes = 0;
  clients.Run(kRound, [&] {
    most_bytes =
        std::max(most_bytes, daemon.ResidentBytes() + daemon.UnreadBytes());
  });
  RecordProperty("most_bytes", std::to_string(most_bytes));
  RecordProperty("peak_bytes", std::to_string(daemon.PeakResidentBytes()));
  EXPECT_TRUE(daemon.IsRunning());
  if (kMemoryIsOurs) {
    EXPECT_LE(most_bytes, kDaemonMemory);
  }
  clients.Disconnect();
  daemon.Signal(SIGTERM);
  EXPECT_EQ(daemon.AwaitExit(kLimit), 0);
}

// A body of 8 MiB, the daemons' limit, whose last byte is missing.
ClientForm LargeOneByteShort() {
  constexpr std::size_t kDaemonBodyLimit = 8U << 20U;
  return {.start = WithLength("/draft", kDaemonBodyLimit),
          .repeated = Block("x"),
          .repeated_bytes = kDaemonBodyLimit - 1};
}

// One frame of HTTP/2.
std::string Frame(char type,
                  char flags,
                  char stream,
                  std::string_view payload) {
  const std::size_t size = payload.size();
  std::string frame = {static_cast<char>(size >> 16U),
                       static_cast<char>(size >> 8U),
                       static_cast<char>(size),
                       type,
                       flags,
                       0,
                       0,
                       0,
                       stream};
  return frame.append(payload);
}

// A message between daemons that is not whole, of as many bytes as may be sent
// before the receiver asks for more.
ClientForm PartOfPeerMessage() {
  constexpr char kData = 0;
  constexpr char kHeaders = 1;
  constexpr char kSettings = 4;
  constexpr char kEndOfHeaders = 4;
  constexpr std::size_t kFrameBytes = 16'000;
  const auto text = [](std::string_view value) {
    return static_cast<char>(value.size()) + std::string(value);
  };
  // The first bytes are indices of HPACK's static table.
  const std::string headers =
      "\x83\x86\x04" + text("/radishrudder.wire.Peer/Exchange") + "\x01" +
      text("h.example") + "\x0f\x10" + text("application/grpc") +
      std::string(1, '\0') + text("te") + text("trailers");
  const std::string length("\0\0\x7f\xff\xff", 5);
  return {.start = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" +
                   Frame(kSettings, 0, 0, "") +
                   Frame(kHeaders, kEndOfHeaders, 1, headers) +
                   Frame(kData, 0, 1, length),
          .repeated = Frame(kData, 0, 1, std::string(kFrameBytes, 'x')),
          .repeated_bytes = 4 * (kFrameBytes + 9)};
}

INSTANTIATE_TEST_SUITE_P(
    Crowds,
    DaemonCrowdTest,
    testing::Values(CrowdCase{"OneByteShort", LargeOneByteShort()},
                    CrowdCase{"OneByteShortAtAdmin", LargeOneByteShort(), 60,
                              Listener::kReadiness},
                    CrowdCase{"SmallChunks",
                              {.start = Chunked("/draft"),
                               .repeated = Block("4\r\nabcd\r\n"),
                               .repeated_bytes = kBodyLimit / 4 * 9 - 9}},
                    CrowdCase{"AnnouncedFarOverTheLimit",
                              {.start = WithLength("/draft", 1U << 30U),
                               .repeated = Block("x"),
                               .repeated_bytes = std::size_t{12U << 20U}}},
                    CrowdCase{"PartsOfPeerMessages", PartOfPeerMessage(), 2000,
                              Listener::kPeers}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace radishrudder::platform
