// Tests that all instances learn the list of instances although few of them
// read it from the store.
#include "radishrudder/dissemination/instance_list_relay.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <utility>

namespace radishrudder::dissemination {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStep{10};
constexpr milliseconds kNetworkDelay{10};
constexpr milliseconds kReadTime{20};

struct FleetCase {
  std::size_t instances = 0;
  std::size_t regions = 0;
};

// Simulates the relays of a service, a store and a network between them.
class RelayFleet {
 public:
  explicit RelayFleet(const FleetCase& options) : m_options(options) {
    for (std::size_t i = 0; i < options.instances; ++i) {
      Add();
    }
  }

  std::size_t Add() {
    const std::size_t index = m_hosts.size();
    Host host;
    host.name = "10.0.0." + std::to_string(index);
    const std::string region = "r" + std::to_string(index % m_options.regions);
    RelaySettings settings;
    settings.self = {host.name, index + 1};
    settings.service = "draft";
    settings.region = region;
    host.relay = std::make_unique<InstanceListRelay>(
        settings, kernel::Random(index + m_options.instances));
    m_hosts.push_back(std::move(host));
    m_list.push_back({m_hosts.back().name, region, false});
    return index;
  }

  void Run(milliseconds time) {
    for (const kernel::Time end = m_now + time; m_now < end;) {
      Step();
    }
  }

  // Returns the number of live instances that do not have the current list.
  std::size_t Outdated() const {
    std::vector<RelayedInstance> list = m_list;
    std::sort(list.begin(), list.end());
    return static_cast<std::size_t>(
        std::ranges::count_if(m_hosts, [&list](const Host& host) {
          return host.alive && host.relay->Instances() != list;
        }));
  }

  // Returns the maximum age of the lists of the live instances.
  kernel::Duration MaximumAge() const {
    kernel::Duration age{};
    for (const Host& host : m_hosts) {
      if (host.alive) {
        age = std::max(age,
                       m_now - host.relay->ReadAt().value_or(kernel::Time{}));
      }
    }
    return age;
  }

  void KillReaders() {
    for (Host& host : m_hosts) {
      host.alive = host.alive && !host.relay->IsReader();
    }
  }

  void MarkLeaving(std::size_t index) { m_list[index].leaving = true; }
  void SetStoreAvailable(bool available) { m_store_available = available; }
  std::size_t TakeReadCount() { return std::exchange(m_reads, 0); }

 private:
  struct Host {
    std::string name;
    std::unique_ptr<InstanceListRelay> relay;
    bool alive = true;
  };
  struct Delivery {
    kernel::Time at;
    std::string to;
    wire::Envelope message;
  };
  struct Read {
    kernel::Time requested_at;
    std::size_t host;
  };

  void Step() {
    m_now += kStep;
    while (!m_network.empty() && m_network.front().at <= m_now) {
      const Delivery delivery = std::move(m_network.front());
      m_network.pop_front();
      for (Host& host : m_hosts) {
        if (host.alive && host.name == delivery.to) {
          EXPECT_TRUE(host.relay->OnMessage(m_now, delivery.message));
        }
      }
    }
    while (!m_reading.empty() &&
           m_reading.front().requested_at + kReadTime <= m_now) {
      const Read read = m_reading.front();
      m_reading.pop_front();
      m_hosts[read.host].relay->OnListRead(
          m_now, read.requested_at,
          m_store_available ? std::optional(m_list) : std::nullopt);
    }
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
      if (m_hosts[i].alive) {
        m_hosts[i].relay->OnTick(m_now);
        HandleOutputs(i);
      }
    }
  }

  void HandleOutputs(std::size_t index) {
    for (RelayOutput& output : m_hosts[index].relay->TakeOutputs()) {
      if (auto* send = std::get_if<wire::Send>(&output)) {
        m_network.push_back({m_now + kNetworkDelay, std::move(send->to),
                             std::move(send->message)});
      } else if (std::holds_alternative<ReadInstanceList>(output)) {
        ++m_reads;
        m_reading.push_back({m_now, index});
      }
    }
  }

  FleetCase m_options;
  kernel::Time m_now{std::chrono::hours(1)};
  std::vector<Host> m_hosts;
  std::vector<RelayedInstance> m_list;
  std::deque<Delivery> m_network;
  std::deque<Read> m_reading;
  bool m_store_available = true;
  std::size_t m_reads = 0;
};

class InstanceListRelayTest : public testing::TestWithParam<FleetCase> {
 protected:
  InstanceListRelayTest() : m_fleet(GetParam()) {
    m_fleet.Run(milliseconds(5000));
    m_fleet.TakeReadCount();
  }

  // Reads in `time` if only the readers of each region read, at the shortest
  // interval that the jitter allows.
  std::size_t ReaderReads(milliseconds time) const {
    const RelaySettings settings;
    return GetParam().regions * settings.readers *
           (static_cast<std::size_t>(time / (settings.read_interval * 3 / 4)) +
            1);
  }

  RelayFleet m_fleet;
};

// Guards against calls to the store, and bytes over the links between regions,
// that grow with the number of instances.
TEST_P(InstanceListRelayTest, FewReadTheStoreAndAllStayCurrent) {
  m_fleet.Run(milliseconds(60000));
  EXPECT_EQ(m_fleet.Outdated(), 0U);
  EXPECT_LE(m_fleet.TakeReadCount(), ReaderReads(milliseconds(60000)));
  // An instance confirms its list before it is older than the maximum age with
  // its jitter, by one that a reader has read within its interval.
  EXPECT_LE(m_fleet.MaximumAge(), milliseconds(12500 + 5000 + 1000));
}

TEST_P(InstanceListRelayTest, PassesOnJoiningAndLeavingInstances) {
  m_fleet.Add();
  m_fleet.MarkLeaving(0);
  m_fleet.Run(milliseconds(6000));
  EXPECT_EQ(m_fleet.Outdated(), 0U);
}

// Guards against a region that hears nothing because those that read for it
// were killed at the same moment.
TEST_P(InstanceListRelayTest, OthersReadWhenTheReadersAreGone) {
  m_fleet.KillReaders();
  m_fleet.MarkLeaving(1);
  // The age limit with its jitter, three questions, and a read.
  m_fleet.Run(milliseconds(12500 + 3 * 1250 + 6000));
  EXPECT_EQ(m_fleet.Outdated(), 0U);
}

// Guards against lists that go back to an older state when the store fails.
TEST_P(InstanceListRelayTest, KeepsTheListWhileTheStoreIsAway) {
  m_fleet.SetStoreAvailable(false);
  m_fleet.Run(milliseconds(20000));
  EXPECT_EQ(m_fleet.Outdated(), 0U);
  m_fleet.MarkLeaving(2);
  m_fleet.SetStoreAvailable(true);
  m_fleet.Run(milliseconds(8000));
  EXPECT_EQ(m_fleet.Outdated(), 0U);
}

INSTANTIATE_TEST_SUITE_P(Fleets,
                         InstanceListRelayTest,
                         testing::Values(FleetCase{4, 1},
                                         FleetCase{16, 3},
                                         FleetCase{265, 5}),
                         [](const auto& info) {
                           return "Of" + std::to_string(info.param.instances);
                         });

// Guards against a list that was read earlier replacing a newer one because it
// took longer on its way.
TEST(InstanceListRelayAgeTest, IgnoresListsThatWereReadEarlier) {
  const kernel::Time start{std::chrono::hours(1)};
  RelaySettings settings;
  settings.self = {"a", 1};
  settings.service = "draft";
  settings.region = "r";
  InstanceListRelay relay(settings, kernel::Random(1));
  relay.OnListRead(start + milliseconds(50), start,
                   {{{"a", "r", false}, {"b", "r", true}}});
  wire::Envelope message;
  wire::InstanceList& list = *message.mutable_instance_list();
  list.set_service("draft");
  list.set_hash(7);
  list.set_age_milliseconds(500);
  list.add_instances()->set_instance("b");
  EXPECT_TRUE(relay.OnMessage(start + milliseconds(100), message));
  EXPECT_EQ(relay.Instances().size(), 2U);
  list.set_age_milliseconds(10);
  EXPECT_TRUE(relay.OnMessage(start + milliseconds(100), message));
  EXPECT_EQ(relay.Instances().size(), 1U);
}

// Guards against a message that a correct peer does not send ending the
// process: it confirms a list that this instance never had.
TEST(InstanceListRelayAgeTest, SurvivesConfirmationWithoutAList) {
  const kernel::Time now{std::chrono::hours(1)};
  RelaySettings settings;
  settings.self = {"a", 1};
  settings.service = "draft";
  InstanceListRelay relay(settings, kernel::Random(1));
  wire::Envelope message;
  message.mutable_instance_list()->set_service("draft");
  message.mutable_instance_list()->set_unchanged(true);
  message.mutable_instance_list()->set_hash(7);
  EXPECT_TRUE(relay.OnMessage(now, message));
  EXPECT_FALSE(relay.ReadAt());
  relay.OnTick(now);
  const auto outputs = relay.TakeOutputs();
  ASSERT_EQ(outputs.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<ReadInstanceList>(outputs.front()));
}

// Messages of another service must not change the list.
TEST(InstanceListRelayAgeTest, IgnoresOtherServices) {
  RelaySettings settings;
  settings.self = {"a", 1};
  settings.service = "draft";
  InstanceListRelay relay(settings, kernel::Random(1));
  wire::Envelope message;
  message.mutable_instance_list()->set_service("other");
  message.mutable_instance_list()->add_instances()->set_instance("b");
  EXPECT_TRUE(relay.OnMessage(kernel::Time{std::chrono::hours(1)}, message));
  EXPECT_TRUE(relay.Instances().empty());
}

}  // namespace
}  // namespace radishrudder::dissemination
