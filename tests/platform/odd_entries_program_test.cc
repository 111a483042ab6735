// Tests that an entry and an agent, as separate processes, keep following the
// list of endpoints within the memory of their machines while another writer's
// entries are in it.
#include <gtest/gtest.h>

#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>
#include <ostream>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "radishrudder/exchange/frame_links.h"
#include "radishrudder/wire/peer.pb.h"
#include "tests/platform/odd_entries.h"
#include "tests/platform/platform_standin.h"
#include "tests/platform/running_program.h"

namespace radishrudder::platform {
namespace {

using std::chrono::milliseconds;

// A loaded machine may delay the start of a process by seconds.
constexpr milliseconds kLimit{10000};
// Within which an endpoint that leaves receives no more calls.
constexpr milliseconds kFollowLimit{2000};
// The most that the agents' schedule leaves between two reads of the list, and
// the same limit.
constexpr milliseconds kAgentFollowLimit{5000 + 2000};
// Memory of the machines on which the processes run.
constexpr std::size_t kEntryMemory = 260'000'000;
constexpr std::size_t kAgentMemory = 128'000'000;
// Sanitizers keep freed memory.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr bool kMemoryIsOurs = false;
#else
constexpr bool kMemoryIsOurs = true;
#endif
// Each time that an entry of the list changes.
constexpr std::size_t kMaximumFindings = 8;
constexpr std::size_t kMaximumRecordBytes = 1024;
constexpr char kBounds[] = R"("revoke_ms": 5000, "grace_s": 4)";
constexpr char kAgentIp[] = "127.0.0.1";
constexpr char kPeerIp[] = "127.0.0.2";
constexpr char kNewIp[] = "127.0.0.3";

StandinEntry GoodEntry(std::string_view id,
                       std::string_view address,
                       int born,
                       std::string_view state) {
  return {"servers/" + std::string(id),
          R"({"service": "plain", "zone": "a", "slots": 32, "address": ")" +
              std::string(address) + R"(", "born": )" + std::to_string(born) +
              R"(, "state": ")" + std::string(state) + "\"}"};
}

std::vector<StandinEntry> Listed(const std::vector<OddValue>& values) {
  std::vector<StandinEntry> entries;
  for (const OddValue& odd : values) {
    entries.push_back(
        {"servers/i-" + std::to_string(entries.size()) + "-odd", odd.value()});
  }
  return entries;
}

void ExpectBoundedLog(const RunningProgram& program, std::size_t changes) {
  const std::size_t findings = program.CountRecords(" document-rejected ");
  EXPECT_GE(findings, 1U);
  EXPECT_LE(findings, changes * kMaximumFindings);
  // Other records have their usual share.
  constexpr std::size_t kOther = 64U << 10U;
  EXPECT_LE(program.LogBytes(), findings * kMaximumRecordBytes + kOther);
}

void ExpectMemory(const RunningProgram& program, std::size_t limit) {
  if (kMemoryIsOurs) {
    EXPECT_LE(program.PeakResidentBytes(), limit);
  }
}

// As many good entries as fill more than one page of the store, of another
// service, and odd ones of nearly the maximum size between them.
std::vector<StandinEntry> ManyEntries() {
  constexpr int kGood = 700;
  constexpr std::size_t kOdd = 64;
  std::vector<StandinEntry> entries;
  for (int i = 0; i < kGood; ++i) {
    entries.push_back(
        GoodEntry("g-" + std::to_string(i), "127.0.0.8:9", 1, "ready"));
    std::string& value = entries.back().value;
    value.replace(value.find("plain"), 5, "other");
  }
  const std::vector<OddValue> odd = LargeOddValues();
  for (std::size_t i = 0; i < kOdd; ++i) {
    entries.push_back({"servers/g-" + std::to_string(i * 11) + "-odd",
                       odd[i % odd.size()].value()});
  }
  return entries;
}

// One of the large values alone, or all small ones together.
struct ProgramCase {
  std::string name{};
  std::vector<OddValue> values{};
};

void PrintTo(const ProgramCase& program_case, std::ostream* stream) {
  *stream << program_case.name;
}

std::vector<ProgramCase> Cases() {
  std::vector<ProgramCase> cases = {{"AllSmall", SmallOddValues()}};
  for (const OddValue& odd : LargeOddValues()) {
    cases.push_back({odd.name, {odd}});
  }
  return cases;
}

class OddEntriesEntryTest : public testing::Test {
 protected:
  bool AwaitServed() {
    const auto end = std::chrono::steady_clock::now() + kLimit;
    while (std::chrono::steady_clock::now() < end && m_program.IsRunning()) {
      if (Call() == 200) {
        return true;
      }
      std::this_thread::sleep_for(milliseconds(10));
    }
    return false;
  }
  int Call() {
    return m_caller.Call(
               "POST /s/1 HTTP/1.1\r\nHost: h.example\r\n"
               "Radishrudder-Attempt-Id: 7\r\n"
               "Radishrudder-Deadline-Ms: 4000\r\nContent-Length: 4\r\n\r\n"
               "body") == StandinCaller::Result::kAnswered
               ? m_caller.Status()
               : 0;
  }

  RunningProgram m_program{"entry"};
  StandinCaller m_caller{m_program.CallersAddress()};
};

class EachOddEntryTest : public OddEntriesEntryTest,
                         public testing::WithParamInterface<ProgramCase> {};

// Guards against an odd entry that ends the entry or fills its memory or log,
// when it is listed at the start and when it is written later, and against
// one after which the entry no longer learns which endpoints leave.
TEST_P(EachOddEntryTest, EntryFollowsTheList) {
  const std::vector<StandinEntry> odd = Listed(GetParam().values);
  PlatformStandin standin(m_program.StoreAddress(), odd);
  m_program.WriteSettings(m_program.SettingsText(kBounds));
  m_program.Start();
  ASSERT_TRUE(AwaitServed());
  for (const StandinEntry& entry : odd) {
    standin.Write({entry.key + "-written", entry.value});
  }
  standin.Write(GoodEntry("i-1", standin.EndpointAddress(), 1, "draining"));
  EXPECT_TRUE(
      m_program.AwaitLog(" instance-leaving instance=i-1 ", 1, kFollowLimit));
  // Its next run, since one that leaves does not come back.
  standin.Write(GoodEntry("i-1", standin.EndpointAddress(), 2, "ready"));
  EXPECT_TRUE(
      m_program.AwaitLog(" instance-joined instance=i-1 ", 1, kFollowLimit));
  constexpr int kCalls = 20;
  for (int i = 0; i < kCalls; ++i) {
    EXPECT_EQ(Call(), 200);
  }
  EXPECT_TRUE(m_program.IsRunning());
  ExpectMemory(m_program, kEntryMemory);
  ExpectBoundedLog(m_program, 2 * odd.size());
}

// Guards against many large odd entries that fill the memory of the entry
// while it reads the pages of a long list.
TEST_F(OddEntriesEntryTest, EntryReadsLongListWithManyOddEntries) {
  PlatformStandin standin(m_program.StoreAddress(), ManyEntries());
  m_program.WriteSettings(m_program.SettingsText(kBounds));
  m_program.Start();
  EXPECT_TRUE(AwaitServed());
  standin.Write(GoodEntry("i-1", standin.EndpointAddress(), 1, "draining"));
  EXPECT_TRUE(
      m_program.AwaitLog(" instance-leaving instance=i-1 ", 1, kFollowLimit));
  ExpectMemory(m_program, kEntryMemory);
}

INSTANTIATE_TEST_SUITE_P(All,
                         EachOddEntryTest,
                         testing::ValuesIn(Cases()),
                         [](const auto& info) { return info.param.name; });

// Asks an agent for its list of instances, from an address of its own with the
// agents' port.
class ListPeer {
 public:
  explicit ListPeer(std::string agent_address)
      : m_agent_address(std::move(agent_address)),
        m_links(m_context, [this](std::string_view frame) { OnFrame(frame); }) {
    m_links.Listen(kPeerIp + m_agent_address.substr(m_agent_address.find(':')));
  }

  // Returns the instances that the agent lists, once `instance` is one.
  std::set<std::string> AwaitInstance(const std::string& instance,
                                      milliseconds limit) {
    constexpr milliseconds kInterval{50};
    const auto end = std::chrono::steady_clock::now() + limit;
    do {
      wire::Envelope request;
      request.mutable_from()->set_instance(kPeerIp);
      request.mutable_instance_list_request()->set_service("plain");
      m_links.Send(m_agent_address, request.SerializeAsString());
      m_context.restart();
      m_context.run_for(kInterval);
    } while (!m_instances.contains(instance) &&
             std::chrono::steady_clock::now() < end);
    return m_instances;
  }

 private:
  void OnFrame(std::string_view frame) {
    wire::Envelope message;
    if (message.ParseFromArray(frame.data(), static_cast<int>(frame.size())) &&
        message.has_instance_list()) {
      m_instances.clear();
      for (const auto& listed : message.instance_list().instances()) {
        m_instances.insert(listed.instance());
      }
    }
  }

  asio::io_context m_context{1};
  std::string m_agent_address;
  exchange::FrameLinks m_links;
  std::set<std::string> m_instances;
};

class OddEntriesAgentTest : public testing::Test {
 protected:
  std::string AgentSettings() const {
    auto settings = nlohmann::json::parse(m_program.SettingsText(kBounds));
    settings["service"] = "plain";
    return settings.dump();
  }

  RunningProgram m_program{"agent"};
};

class EachOddEntryAgentTest : public OddEntriesAgentTest,
                              public testing::WithParamInterface<ProgramCase> {
};

// Guards against an odd entry that ends an agent, fills its memory or log or
// counts as a peer, and against one after which it no longer learns of other
// instances.
TEST_P(EachOddEntryAgentTest, AgentFollowsTheList) {
  const std::vector<StandinEntry> odd = Listed(GetParam().values);
  PlatformStandin standin(m_program.StoreAddress(), odd);
  m_program.WriteSettings(AgentSettings());
  m_program.Start();
  ASSERT_TRUE(m_program.AwaitLog(" process-started ", 1, kLimit));
  ListPeer peer(m_program.PeersAddress());
  EXPECT_EQ(peer.AwaitInstance(kAgentIp, kLimit),
            std::set<std::string>({kAgentIp}));
  standin.Write(GoodEntry("i-2", std::string(kNewIp) + ":9", 1, "ready"));
  EXPECT_EQ(peer.AwaitInstance(kNewIp, kAgentFollowLimit),
            std::set<std::string>({kAgentIp, kNewIp}));
  EXPECT_TRUE(m_program.IsRunning());
  ExpectMemory(m_program, kAgentMemory);
  ExpectBoundedLog(m_program, odd.size());
}

// Guards against many large odd entries that fill the memory of an agent while
// it reads the pages of a long list.
TEST_F(OddEntriesAgentTest, AgentReadsLongListWithManyOddEntries) {
  PlatformStandin standin(m_program.StoreAddress(), ManyEntries());
  m_program.WriteSettings(AgentSettings());
  m_program.Start();
  ASSERT_TRUE(m_program.AwaitLog(" process-started ", 1, kLimit));
  ListPeer peer(m_program.PeersAddress());
  EXPECT_EQ(peer.AwaitInstance(kAgentIp, kLimit),
            std::set<std::string>({kAgentIp}));
  EXPECT_TRUE(m_program.IsRunning());
  ExpectMemory(m_program, kAgentMemory);
}

INSTANTIATE_TEST_SUITE_P(All,
                         EachOddEntryAgentTest,
                         testing::ValuesIn(Cases()),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace radishrudder::platform
