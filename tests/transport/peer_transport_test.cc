#include "radishrudder/transport/peer_transport.h"

#include <gtest/gtest.h>

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <vector>

namespace radishrudder::transport {
namespace {

constexpr std::chrono::seconds kLimit{20};

// A transport with a record of what its handlers were told.
class Recorder {
 public:
  explicit Recorder(std::string instance, std::size_t queue_bytes = 1U << 20U)
      : m_transport(Settings(queue_bytes),
                    {std::move(instance), 1},
                    Handlers()) {}

  PeerTransport& Transport() { return m_transport; }

  // Waits until `done` holds for what was recorded.
  template <typename Condition>
  bool WaitFor(Condition done) {
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, kLimit, [&] { return done(*this); });
  }

  std::vector<wire::Envelope> messages;
  std::vector<wire::ProcessKey> lost;
  std::vector<std::pair<std::string, wire::Envelope>> unsent;

 private:
  static TransportSettings Settings(std::size_t queue_bytes) {
    TransportSettings settings;
    settings.maximum_queued_bytes = queue_bytes;
    return settings;
  }

  TransportHandlers Handlers() {
    return {[this](wire::Envelope message) {
              if (!message.has_hello()) {
                Record(messages, std::move(message));
              }
            },
            [this](const wire::ProcessKey& peer) { Record(lost, peer); },
            [this](const std::string& instance, wire::Envelope message) {
              Record(unsent, std::pair(instance, std::move(message)));
            }};
  }

  template <typename Item>
  void Record(std::vector<Item>& items, Item item) {
    const std::lock_guard lock(m_mutex);
    items.push_back(std::move(item));
    m_changed.notify_all();
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  PeerTransport m_transport;
};

wire::Envelope Part(std::uint64_t sequence) {
  wire::Envelope message;
  message.mutable_attempt_part()->set_sequence(sequence);
  return message;
}

std::string AddressOf(const PeerTransport& transport) {
  return "127.0.0.1:" + std::to_string(transport.Port());
}

TEST(PeerTransportTest, DeliversInOrderAndBackOnTheSameStream) {
  constexpr std::size_t kMessages = 500;
  Recorder a("a");
  Recorder b("b");
  ASSERT_FALSE(a.Transport().Start());
  ASSERT_FALSE(b.Transport().Start());
  a.Transport().SetAddress("b", AddressOf(b.Transport()));
  for (std::size_t i = 0; i < kMessages; ++i) {
    ASSERT_TRUE(a.Transport().Send("b", Part(i)));
  }
  ASSERT_TRUE(b.WaitFor(
      [](const Recorder& r) { return r.messages.size() == kMessages; }));
  for (std::size_t i = 0; i < kMessages; ++i) {
    EXPECT_EQ(b.messages[i].attempt_part().sequence(), i);
    EXPECT_EQ(b.messages[i].from().instance(), "a");
  }
  // b was never told a's address, so the answer must use a's stream.
  ASSERT_TRUE(b.Transport().Send("a", Part(7)));
  ASSERT_TRUE(
      a.WaitFor([](const Recorder& r) { return r.messages.size() == 1; }));
  EXPECT_EQ(a.Transport().StreamCount(), 1U);
}

TEST(PeerTransportTest, SendWithoutAddressIsRefused) {
  Recorder a("a");
  ASSERT_FALSE(a.Transport().Start());
  EXPECT_FALSE(a.Transport().Send("nobody", Part(1)));
}

TEST(PeerTransportTest, MessagesToAnUnreachablePeerAreReportedUnsent) {
  Recorder a("a");
  ASSERT_FALSE(a.Transport().Start());
  std::string address;
  {
    Recorder gone("gone");
    ASSERT_FALSE(gone.Transport().Start());
    address = AddressOf(gone.Transport());
  }
  a.Transport().SetAddress("gone", address);
  ASSERT_TRUE(a.Transport().Send("gone", Part(1)));
  ASSERT_TRUE(
      a.WaitFor([](const Recorder& r) { return r.unsent.size() == 1; }));
  EXPECT_EQ(a.unsent[0].first, "gone");
  EXPECT_TRUE(a.lost.empty());
}

TEST(PeerTransportTest, EndOfAPeerIsReportedWithItsIncarnation) {
  Recorder a("a");
  ASSERT_FALSE(a.Transport().Start());
  {
    Recorder b("b");
    ASSERT_FALSE(b.Transport().Start());
    a.Transport().SetAddress("b", AddressOf(b.Transport()));
    ASSERT_TRUE(a.Transport().Send("b", Part(1)));
    ASSERT_TRUE(
        b.WaitFor([](const Recorder& r) { return r.messages.size() == 1; }));
    // The answer tells that the stream is open on a's side as well.
    ASSERT_TRUE(b.Transport().Send("a", Part(2)));
    ASSERT_TRUE(
        a.WaitFor([](const Recorder& r) { return r.messages.size() == 1; }));
  }
  ASSERT_TRUE(a.WaitFor([](const Recorder& r) { return r.lost.size() == 1; }));
  EXPECT_EQ(a.lost[0], (wire::ProcessKey{"b", 1}));
}

// The last channel of a process used to be given up on a thread of gRPC, which
// then waited for itself and freed its queue twice.
TEST(PeerTransportTest, StopsAgainAndAgainWithOpenStreams) {
  constexpr int kRounds = 30;
  for (int round = 0; round < kRounds; ++round) {
    Recorder a("a");
    Recorder b("b");
    ASSERT_FALSE(a.Transport().Start());
    ASSERT_FALSE(b.Transport().Start());
    a.Transport().SetAddress("b", AddressOf(b.Transport()));
    ASSERT_TRUE(a.Transport().Send("b", Part(1)));
    ASSERT_TRUE(
        b.WaitFor([](const Recorder& r) { return r.messages.size() == 1; }));
  }
}

TEST(PeerTransportTest, FullQueueRefusesMessages) {
  constexpr std::size_t kQueueBytes = 1000;
  Recorder a("a", kQueueBytes);
  ASSERT_FALSE(a.Transport().Start());
  a.Transport().SetAddress("far", "127.0.0.1:1");
  wire::Envelope large = Part(1);
  large.mutable_attempt_part()->set_data(std::string(2 * kQueueBytes, 'x'));
  EXPECT_FALSE(a.Transport().Send("far", large));
}

TEST(PeerTransportTest, PortIsBoundExclusively) {
  Recorder a("a");
  ASSERT_FALSE(a.Transport().Start());
  TransportSettings settings;
  settings.port = a.Transport().Port();
  PeerTransport second(
      settings, {"a", 2},
      {[](const wire::Envelope&) {}, [](const wire::ProcessKey&) {},
       [](const std::string&, const wire::Envelope&) {}});
  EXPECT_EQ(second.Start(), std::errc::address_in_use);
}

}  // namespace
}  // namespace radishrudder::transport
