// Tests that no bytes on any port or in the store end the entry, as a
// separate process, or keep it from answering calls, and that none on the
// peers' port end the agent.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "radishrudder/wire/peer.pb.h"
#include "tests/platform/platform_standin.h"
#include "tests/platform/running_program.h"

namespace radishrudder::platform {
namespace {

using std::chrono::milliseconds;

// A loaded machine may delay a process by seconds.
constexpr milliseconds kLimit{10000};
constexpr milliseconds kAnswerLimit{300};
constexpr char kBounds[] = R"("revoke_ms": 5000, "grace_s": 4)";
constexpr std::string_view kCall =
    "POST /s/1 HTTP/1.1\r\nHost: h.example\r\nRadishrudder-Attempt-Id: 7\r\n"
    "Radishrudder-Deadline-Ms: 4000\r\nContent-Length: 4\r\n\r\nbody";

std::string WithHeaders(std::string_view headers) {
  return "POST /s/1 HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n" +
         std::string(headers) + "\r\n\r\n";
}

std::string PeerMessage(std::string_view body) {
  return "POST /peers HTTP/1.1\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

std::vector<std::string> Inputs() {
  std::vector<std::string> inputs = {
      "\r\n\r\n",
      std::string(300, '\0'),
      "\x16\x03\x01\x02" + std::string(200, '\xff'),
      "GET\r\n\r\n",
      "GET  HTTP/1.1\r\n\r\n",
      "GET / HTTP/9999999999.1\r\n\r\n",
      "CONNECT h.example:1 HTTP/1.1\r\n\r\nbytes",
      "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
      "OPTIONS * HTTP/1.1\r\n\r\n",
      "GET / HTTP/1.1\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\nbytes",
      "GET / HTTP/1.1\r\n: no name\r\n\r\n",
      "GET / HTTP/1.1\r\nX: a\r\n folded\r\n\r\n",
      "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
      "POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n",
      "POST / HTTP/1.1\r\nContent-Length: 18446744073709551615\r\n\r\nx",
      "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx",
      ("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
       "ffffffffffffffff\r\nx"),
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
      ("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
       "0\r\nTrailer: x\r\n\r\n"),
      "GET /" + std::string(20000, 'a') + " HTTP/1.1\r\n\r\n",
      WithHeaders("X: " + std::string(20000, 'b')),
      WithHeaders("Radishrudder-Deadline-Ms: 99999999999999999999"),
      WithHeaders("Radishrudder-Deadline-Ms: 9223372036854775807"),
      WithHeaders("Radishrudder-Deadline-Ms: -9223372036854775808"),
      WithHeaders("Radishrudder-Token-Usage: 4294967295,4294967295"),
      WithHeaders("Radishrudder-Token-Usage: ,,,"),
      WithHeaders("Radishrudder-Prompt-Prefix: ,,,:::,\xff\xfe:1"),
      WithHeaders("Radishrudder-Prompt-Prefix:"),
      WithHeaders("Authorization: Token \xff\xfe"),
      WithHeaders("Last-Event-Id: 18446744073709551616"),
      WithHeaders("Connection: ,,, \xff"),
  };
  for (const std::string_view body :
       {"", "[]", "7", "null", "\"\xff\"", "{\"address\": 7}",
        R"({"address": "x", "peers": [null], "declarations": []})",
        R"({"address": "x", "peers": [], "declarations": {}, "parts": 1})",
        R"({"address": "x", "peers": ["nowhere", "1.2.3.4:99999", ""],)"
        R"("declarations": []})",
        R"({"address": "x", "peers": [], "storeMs": 1e300,)"
        R"("declarations": []})",
        R"({"address": "x", "peers": [], "declarations": [{"model": "m",)"
        R"("version": 18446744073709551615, "readMs": 86400000,)"
        R"("absentMs": 86400000}]})",
        R"({"address": "x", "peers": [], "declarations": [], "parts":)"
        R"([{"part": "", "crashes": [{"run": "", "ageMs": 86400000}]}]})"}) {
    inputs.push_back(PeerMessage(body));
  }
  inputs.push_back(PeerMessage(std::string(100'000, '[')));
  return inputs;
}

std::vector<StandinEntry> HostileEntries() {
  const std::string huge = "18446744073709551615";
  std::vector<StandinEntry> entries = {
      {"op/other", "\xff"},
      {"op/version/", "{}"},
      {"op/version/m", R"({"model": 7, "version": "x"})"},
      {"op/version/n", R"({"model": "n", "version": )" + huge + "}"},
      {"op/version/o", std::string(100'000, '[')},
  };
  const std::string values[] = {
      "",
      "\xff\xfe",
      "null",
      "[1]",
      "{}",
      R"({"service": 7, "address": [], "state": "ready"})",
      R"({"service": "plain", "address": "nowhere", "state": "ready"})",
      (R"({"service": "plain", "address": "127.0.0.1:99999", "zone": 5,)"
       R"("state": "ready", "slots": -4})"),
      R"({"service": "plain", "address": "127.0.0.1:9", "state": "draining",)"
      R"("slots": )" +
          huge + R"(, "born": 1e300, "models": [{"version": -1}, 7]})",
      R"({"service": "new", "address": "127.0.0.1:9", "state": "ready",)"
      R"("slots": )" +
          huge + R"(, "born": )" + huge + "}",
  };
  for (const std::string& value : values) {
    entries.push_back({"servers/bad-" + std::to_string(entries.size()), value});
  }
  return entries;
}

std::vector<std::string> WatchBodies() {
  return {
      "",
      "null",
      "[]",
      "\xff\xfe",
      R"({"at": -1, "events": []})",
      R"({"at": 1e300, "events": 7})",
      R"({"at": 18446744073709551615, "events": [null, 7, {}]})",
      R"({"at": 9, "events": [{"key": 7, "revision": "x", "value": 7}]})",
      (R"({"at": 9, "events": [{"key": "servers/x", "revision": 8,)"
       R"("value": "===="}]})"),
      (R"({"at": 9, "events": [{"key": "servers/x", "revision": 8,)"
       R"("value": "\ud800"}]})"),
      (R"({"at": 9, "events": [{"key": "", "revision": 8,)"
       R"("tombstone": "yes"}]})"),
  };
}

class MalformedInputTest : public testing::Test {
 protected:
  void Start(std::vector<StandinEntry> entries,
             std::vector<std::string> watch_bodies) {
    m_standin.emplace(m_program.StoreAddress(), std::move(entries),
                      std::move(watch_bodies));
    m_program.WriteSettings(m_program.SettingsText(kBounds));
    m_program.Start();
    EXPECT_TRUE(m_program.AwaitLog(" process-started ", 1, kLimit));
    ExpectAnswersCalls();
  }

  void ExpectAnswersCalls() {
    StandinCaller caller(m_program.CallersAddress());
    const auto end = std::chrono::steady_clock::now() + kLimit;
    while (std::chrono::steady_clock::now() < end && m_program.IsRunning() &&
           caller.Status() != 200) {
      caller.Call(kCall);
      std::this_thread::sleep_for(milliseconds(10));
    }
    EXPECT_EQ(caller.Status(), 200);
    EXPECT_TRUE(m_program.IsRunning());
  }

  RunningProgram m_program{"entry"};
  std::optional<PlatformStandin> m_standin;
};

// Guards against one message that ends the process with all its calls.
TEST_F(MalformedInputTest, OnAnyPortEndsNoProcess) {
  Start({}, {});
  const std::vector<std::string> inputs = Inputs();
  for (const std::string& address :
       {m_program.CallersAddress(), m_program.ReadinessAddress(),
        m_program.PeersAddress(), m_program.MetricsAddress()}) {
    std::vector<std::thread> senders;
    for (const std::string& input : inputs) {
      senders.emplace_back([&address, &input] {
        const std::string_view parts[] = {input};
        SendParts(address, parts, milliseconds(0), kAnswerLimit);
      });
    }
    for (std::thread& sender : senders) {
      sender.join();
    }
    SCOPED_TRACE(address);
    ExpectAnswersCalls();
  }
}

TEST_F(MalformedInputTest, InTheStoreEndsNoProcess) {
  Start(HostileEntries(), WatchBodies());
  // Each failed watch is repeated after a pause.
  std::this_thread::sleep_for(milliseconds(1500));
  ExpectAnswersCalls();
}

std::string Frame(std::string_view content) {
  std::string frame;
  for (int shift = 24; shift >= 0; shift -= 8) {
    frame += static_cast<char>(content.size() >> static_cast<unsigned>(shift) &
                               0xFFU);
  }
  return frame + std::string(content);
}

std::vector<std::string> Frames() {
  std::vector<std::string> frames = {
      "GET / HTTP/1.1\r\n\r\n", Frame(""), Frame("\xff\xff\xff"),
      Frame(std::string(5000, '\x7a')), std::string(4, '\xff')};
  const auto add = [&frames](auto fill) {
    wire::Envelope message;
    message.mutable_from()->set_instance("1.2.3.4");
    fill(message);
    frames.push_back(Frame(message.SerializeAsString()));
    message.mutable_from()->set_instance("no address");
    frames.push_back(Frame(message.SerializeAsString()));
  };
  constexpr std::uint32_t kMost = 0xFFFFFFFF;
  for (const char* digest : {"", "m@1", "m@18446744073709551615", "\x01"}) {
    add([digest](wire::Envelope& message) {
      auto* inventory = message.mutable_chunk_inventory();
      inventory->set_manifest_digest(digest);
      inventory->set_present("\x07");
      inventory->set_chunk_count(kMost);
      inventory->add_fetching(kMost);
    });
    add([digest](wire::Envelope& message) {
      message.mutable_chunk_request()->set_manifest_digest(digest);
      message.mutable_chunk_request()->set_index(kMost);
    });
    add([digest](wire::Envelope& message) {
      message.mutable_chunk_data()->set_manifest_digest(digest);
      message.mutable_chunk_data()->set_index(kMost);
      message.mutable_chunk_data()->set_data("x");
    });
    add([digest](wire::Envelope& message) {
      message.mutable_chunk_refusal()->set_manifest_digest(digest);
      message.mutable_chunk_refusal()->set_retry_after_milliseconds(kMost);
    });
    add([digest](wire::Envelope& message) {
      message.mutable_manifest_request()->set_manifest_digest(digest);
    });
    add([digest](wire::Envelope& message) {
      message.mutable_manifest_data()->set_manifest_digest(digest);
      message.mutable_manifest_data()->set_content("[[[[");
    });
  }
  add([](wire::Envelope& message) {
    message.mutable_instance_list_request()->set_service("\x01");
  });
  add([](wire::Envelope& message) {
    auto* list = message.mutable_instance_list();
    list->set_age_milliseconds(kMost);
    list->add_instances()->set_instance("");
    list->add_instances()->set_instance("1.2.3.4:99999");
  });
  return frames;
}

class AgentInputTest : public testing::Test {
 protected:
  void SetUp() override {
    m_standin.emplace(m_program.StoreAddress());
    m_program.WriteSettings(m_program.SettingsText(kBounds));
    m_program.Start();
    ASSERT_TRUE(m_program.AwaitLog(" process-started ", 1, kLimit));
  }

  RunningProgram m_program{"agent"};
  std::optional<PlatformStandin> m_standin;
};

// Guards against one message of a peer that ends an agent with its transfers.
TEST_F(AgentInputTest, OnThePeersPortEndsNoProcess) {
  for (const std::string& frame : Frames()) {
    const std::string_view parts[] = {frame};
    SendParts(m_program.PeersAddress(), parts, milliseconds(0),
              milliseconds(20));
    ASSERT_TRUE(m_program.IsRunning());
  }
  std::this_thread::sleep_for(milliseconds(500));
  EXPECT_TRUE(m_program.IsRunning());
}

// Guards against a few bytes that announce large messages filling the memory of
// an agent, of which it has little.
TEST_F(AgentInputTest, AnnouncedBytesTakeNoMemory) {
  constexpr std::size_t kMaximumGrowth = 24U << 20U;
  const std::size_t before = m_program.ResidentBytes();
  std::vector<std::thread> senders;
  for (int i = 0; i < 40; ++i) {
    senders.emplace_back([this] {
      using namespace std::string_view_literals;
      const std::string_view parts[] = {"\x00\x80\x00\x00some bytes"sv};
      SendParts(m_program.PeersAddress(), parts, milliseconds(0),
                milliseconds(1500));
    });
  }
  std::size_t most = before;
  for (int i = 0; i < 20; ++i) {
    std::this_thread::sleep_for(milliseconds(50));
    most = std::max(most, m_program.ResidentBytes());
  }
  for (std::thread& sender : senders) {
    sender.join();
  }
  EXPECT_TRUE(m_program.IsRunning());
  EXPECT_LE(most - before, kMaximumGrowth);
}

}  // namespace
}  // namespace radishrudder::platform
