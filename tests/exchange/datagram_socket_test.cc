#include "radishrudder/exchange/datagram_socket.h"

#include <gtest/gtest.h>

#include <asio/error.hpp>
#include <asio/post.hpp>
#include <chrono>
#include <optional>
#include <vector>

namespace radishrudder::exchange {
namespace {

constexpr char kAnyPort[] = "127.0.0.1:0";
// Only a failing test waits for so long.
constexpr std::chrono::seconds kPatience{10};

struct Received {
  std::string sender;
  std::string bytes;
};

using Problem = std::pair<DatagramSocket::Operation, std::error_code>;

class DatagramSocketTest : public testing::Test {
 protected:
  DatagramSocketTest() {
    EXPECT_FALSE(m_a.Open(kAnyPort));
    EXPECT_FALSE(m_b.Open(kAnyPort));
  }

  // Handles events until `done` or a timeout.
  template <typename Done>
  void RunUntil(Done done) {
    const auto end = std::chrono::steady_clock::now() + kPatience;
    while (!done() && std::chrono::steady_clock::now() < end) {
      m_context.run_one_until(end);
    }
    EXPECT_TRUE(done());
  }

  asio::io_context m_context{1};
  std::vector<Received> m_received;  // By the second socket.
  std::vector<Problem> m_problems;   // Of both sockets.
  std::function<void()> m_on_received = [] {};
  DatagramSocket::ProblemHandler m_note_problem =
      [this](DatagramSocket::Operation operation, std::error_code error) {
        m_problems.emplace_back(operation, error);
      };
  DatagramSocket m_a{m_context, [](std::string_view, std::string_view) {},
                     m_note_problem};
  DatagramSocket m_b{
      m_context,
      [this](std::string_view sender, std::string_view bytes) {
        m_received.push_back({std::string(sender), std::string(bytes)});
        m_on_received();
      },
      m_note_problem};
};

TEST_F(DatagramSocketTest, DeliversDatagramsWithTheirSender) {
  const std::string bytes("a\0b", 3);
  EXPECT_TRUE(m_a.Send(m_b.Address(), bytes));
  EXPECT_TRUE(m_a.Send(m_b.Address(), ""));
  RunUntil([this] { return m_received.size() == 2; });
  EXPECT_EQ(m_received[0].sender, m_a.Address());
  EXPECT_EQ(m_received[0].bytes, bytes);
  EXPECT_EQ(m_received[1].bytes, "");
  EXPECT_EQ(m_a.Count().sent, 2U);
  EXPECT_EQ(m_b.Count().received, 2U);
  EXPECT_TRUE(m_problems.empty());
}

// Guards against calls that wait while a burst of datagrams is handled.
TEST_F(DatagramSocketTest, OtherWorkGetsItsTurnDuringABurst) {
  constexpr std::size_t kBurst = 3 * DatagramSocket::kMaximumBatch;
  for (std::size_t i = 0; i < kBurst; ++i) {
    ASSERT_TRUE(m_a.Send(m_b.Address(), "x"));
  }
  std::optional<std::size_t> received_before;
  m_on_received = [this, &received_before] {
    if (m_received.size() == 1) {
      asio::post(m_context, [this, &received_before] {
        received_before = m_received.size();
      });
    }
  };
  RunUntil([this] { return m_received.size() == kBurst; });
  ASSERT_TRUE(received_before);
  EXPECT_LE(*received_before, DatagramSocket::kMaximumBatch);
}

// Guards against a cut-off datagram that is taken for a complete one, and
// against a log line for each datagram.
TEST_F(DatagramSocketTest, DropsAndCountsLongDatagramsAndReportsThemOnce) {
  const std::string longest(DatagramSocket::kMaximumBytes, 'x');
  for (int i = 0; i < 3; ++i) {
    EXPECT_TRUE(m_a.Send(m_b.Address(), longest + "x"));
  }
  EXPECT_TRUE(m_a.Send(m_b.Address(), longest));
  RunUntil([this] { return !m_received.empty(); });
  EXPECT_EQ(m_received[0].bytes, longest);
  EXPECT_EQ(m_b.Count().too_long, 3U);
  EXPECT_EQ(m_b.Count().received, 1U);
  ASSERT_EQ(m_problems.size(), 1U);
  EXPECT_EQ(m_problems[0],
            Problem(DatagramSocket::Operation::kReceive,
                    std::make_error_code(std::errc::message_size)));
}

// Guards against an error in sending that ends the process or fills the log.
TEST_F(DatagramSocketTest, CountsSendErrorsAndReportsEachKindOnce) {
  const std::string beyond_udp(70'000, 'x');
  for (int i = 0; i < 3; ++i) {
    EXPECT_FALSE(m_a.Send("no address", "x"));
    EXPECT_FALSE(m_a.Send(m_b.Address(), beyond_udp));
  }
  EXPECT_EQ(m_a.Count().send_failed, 6U);
  EXPECT_EQ(m_a.Count().sent, 0U);
  EXPECT_EQ(m_problems.size(), 2U);
}

// Guards against a socket that fails after a receiver was gone for a time.
TEST_F(DatagramSocketTest, SurvivesAClosedReceiver) {
  const std::string address = m_b.Address();
  m_b.Close();
  EXPECT_TRUE(m_b.Address().empty());
  m_a.Send(address, "lost");
  m_context.poll();
  ASSERT_FALSE(m_b.Open(address));
  EXPECT_TRUE(m_a.Send(address, "x"));
  RunUntil([this] { return !m_received.empty(); });
  EXPECT_EQ(m_received[0].bytes, "x");
}

// Guards against a use of the socket after its handler closed it.
TEST_F(DatagramSocketTest, TheHandlerMayCloseTheSocket) {
  m_on_received = [this] { m_b.Close(); };
  m_a.Send(m_b.Address(), "1");
  m_a.Send(m_b.Address(), "2");
  RunUntil([this] { return !m_received.empty(); });
  m_context.poll();
  EXPECT_EQ(m_received.size(), 1U);
}

// Guards against a handler that runs after its socket was destroyed.
TEST_F(DatagramSocketTest, MayBeDestroyedBeforeItsDatagramsAreHandled) {
  auto socket = std::make_unique<DatagramSocket>(
      m_context, [](std::string_view, std::string_view) { FAIL(); },
      m_note_problem);
  ASSERT_FALSE(socket->Open(kAnyPort));
  asio::post(m_context, [&socket] { socket.reset(); });
  m_a.Send(socket->Address(), "x");
  m_context.poll_one();
  socket.reset();
  m_context.poll();
}

TEST_F(DatagramSocketTest, ReportsWhyItCannotBeOpened) {
  DatagramSocket socket(m_context, {}, m_note_problem);
  EXPECT_EQ(socket.Open("no address"), std::errc::invalid_argument);
  EXPECT_EQ(socket.Open(m_a.Address()), asio::error::address_in_use);
  EXPECT_FALSE(socket.Open(kAnyPort));
}

}  // namespace
}  // namespace radishrudder::exchange
