#include "radishrudder/exchange/caller_server.h"

#include <gtest/gtest.h>

#include <asio/connect.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <ostream>
#include <vector>

#include "radishrudder/exchange/frame_links.h"
#include "radishrudder/kernel/boot_time.h"

namespace radishrudder::exchange {
namespace {

// Returns a free port of loopback.
std::string FreeAddress(asio::io_context& context) {
  asio::ip::tcp::acceptor acceptor(
      context, {asio::ip::address_v4::loopback(), std::uint16_t{0}});
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

asio::ip::tcp::endpoint EndpointOf(const std::string& address) {
  return {asio::ip::address_v4::loopback(),
          static_cast<std::uint16_t>(
              std::stoi(address.substr(address.find(':') + 1)))};
}

constexpr std::chrono::milliseconds kPollLimit{1000};

class ServerTest : public testing::Test {
 protected:
  ServerTest() {
    m_address = FreeAddress(m_context);
    EXPECT_FALSE(m_server.Listen(m_address));
    m_client.connect(EndpointOf(m_address));
    m_client.non_blocking(true);
  }

  void Write(std::string_view text) {
    asio::write(m_client, asio::buffer(text));
  }
  // Lets the server work until `text` ends what the client received.
  void ReadUntil(std::string_view text) {
    while (!m_received.ends_with(text) && !m_ended) {
      m_context.poll();
      Receive();
    }
  }
  void Receive() {
    std::array<char, 4096> buffer{};
    std::error_code error;
    const std::size_t size = m_client.read_some(asio::buffer(buffer), error);
    m_received.append(buffer.data(), size);
    if (error && error != asio::error::would_block) {
      m_ended = true;
      m_end = error;
    }
  }
  // Lets the server work on what has arrived. Returns whether `done` holds
  // within the limit.
  bool PollUntil(const std::function<bool()>& done) {
    const kernel::Time end = kernel::Now() + kPollLimit;
    while (!done() && kernel::Now() < end) {
      m_context.restart();
      m_context.poll();
    }
    return done();
  }
  void RunUntil(const std::function<bool()>& done) {
    while (!done()) {
      m_context.run_one();
    }
  }

  asio::io_context m_context{1};
  std::vector<ReceivedRequest> m_requests;
  std::vector<std::shared_ptr<CallerExchange>> m_exchanges;
  CallerServer m_server{m_context,
                        [this](ReceivedRequest request,
                               std::shared_ptr<CallerExchange> exchange) {
                          m_requests.push_back(std::move(request));
                          m_exchanges.push_back(std::move(exchange));
                        }};
  std::string m_address;
  asio::ip::tcp::socket m_client{m_context};
  std::string m_received;
  bool m_ended = false;
  std::error_code m_end;  // How the connection ended.
};

TEST_F(ServerTest, AnswersOneRequestAfterTheOther) {
  Write("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
  RunUntil([this] { return m_requests.size() == 1; });
  m_exchanges[0]->Reply({200, {{"X-A", "1"}}}, "one");
  RunUntil([this] { return m_requests.size() == 2; });
  EXPECT_EQ(m_requests[1].head.target, "/2");
  m_exchanges[1]->Begin({200, {}});
  m_exchanges[1]->Write("two");
  m_exchanges[1]->Finish();
  ReadUntil("0\r\n\r\n");
  EXPECT_EQ(m_received,
            "HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: 3\r\n\r\none"
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            "3\r\ntwo\r\n0\r\n\r\n");
}

// Guards against a request that is sent on although the end of its caller's
// connection has arrived behind it.
TEST_F(ServerTest, TellsThatCallerLeftBeforeItsEndIsRead) {
  Write("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
  RunUntil([this] { return m_requests.size() == 1; });
  EXPECT_FALSE(m_exchanges[0]->EndIfCallerLeft());
  Write("GET /3 HTTP/1.1\r\n\r\n");
  m_client.close();
  bool gone = false;
  m_exchanges[0]->OnDisconnected([&gone] { gone = true; });
  EXPECT_TRUE(m_exchanges[0]->EndIfCallerLeft());
  EXPECT_TRUE(gone);
  EXPECT_EQ(m_server.Connections(), 0U);
}

struct RequestCase {
  const char* name;
  const char* text;
  bool ends;           // The caller ends the connection behind it.
  const char* answer;  // Its beginning; empty: none.
};

void PrintTo(const RequestCase& request, std::ostream* stream) {
  *stream << request.name;
}

class UnsoundRequestTest : public ServerTest,
                           public testing::WithParamInterface<RequestCase> {};

// Guards against a request that is taken although its body ends early, or
// although a server behind might read another length from its head.
TEST_P(UnsoundRequestTest, IsNotTaken) {
  Write(GetParam().text);
  if (GetParam().ends) {
    m_client.shutdown(asio::ip::tcp::socket::shutdown_send);
  }
  EXPECT_TRUE(PollUntil([this] {
    Receive();
    return m_ended || !m_requests.empty();
  }));
  EXPECT_TRUE(m_requests.empty());
  EXPECT_TRUE(m_received.starts_with(GetParam().answer)) << m_received;
}

INSTANTIATE_TEST_SUITE_P(
    All,
    UnsoundRequestTest,
    testing::Values(
        RequestCase{"ShorterThanItsLength",
                    "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nbody", true,
                    ""},
        RequestCase{"NoLastChunk",
                    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "4\r\nbody\r\n",
                    true, ""},
        RequestCase{"EndsInHead", "POST / HTTP/1.1\r\nX-A: 1\r\n", true, ""},
        RequestCase{"BlankBeforeColonOfLength",
                    "POST / HTTP/1.1\r\nContent-Length : 4\r\n\r\nbody", false,
                    "HTTP/1.1 400"},
        RequestCase{"BlankBeforeColonOfCoding",
                    "POST / HTTP/1.1\r\nTransfer-Encoding : chunked\r\n"
                    "Content-Length: 4\r\n\r\nbody",
                    false, "HTTP/1.1 400"},
        RequestCase{"BlankInName", "GET / HTTP/1.1\r\nX A: 1\r\n\r\n", false,
                    "HTTP/1.1 400"},
        RequestCase{"BlankBeforeFirstName",
                    "GET / HTTP/1.1\r\n Content-Length: 4\r\n\r\n", false,
                    "HTTP/1.1 400"},
        RequestCase{"LengthAndChunks",
                    "POST / HTTP/1.1\r\nContent-Length: 5\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                    false, "HTTP/1.1 400"},
        RequestCase{"TwoLengths",
                    "POST / HTTP/1.1\r\nContent-Length: 4\r\n"
                    "Content-Length: 5\r\n\r\nbody",
                    false, "HTTP/1.1 400"}),
    [](const auto& info) { return info.param.name; });

struct BehindCase {
  const char* name;
  std::size_t bytes;
  bool reset;
};

void PrintTo(const BehindCase& behind, std::ostream* stream) {
  *stream << behind.name;
}

class BehindTest : public ServerTest,
                   public testing::WithParamInterface<BehindCase> {};

// Guards against a caller that is not seen to leave since nothing of its
// connection is read while much waits behind its request in progress.
TEST_P(BehindTest, CallerIsSeenToLeave) {
  Write("GET /1 HTTP/1.1\r\n\r\n");
  RunUntil([this] { return m_requests.size() == 1; });
  bool gone = false;
  m_exchanges[0]->OnDisconnected([&gone] { gone = true; });
  const std::string behind(GetParam().bytes, 'x');
  std::error_code full;
  std::size_t sent = 0;
  while (sent < behind.size() && !full) {
    sent += m_client.write_some(asio::buffer(behind) + sent, full);
    m_context.restart();
    m_context.poll();
  }
  EXPECT_FALSE(gone);
  if (GetParam().reset) {
    m_client.set_option(asio::socket_base::linger(true, 0));
  }
  m_client.close();
  EXPECT_TRUE(PollUntil([&] {
    m_server.CheckTimes(kernel::Now());
    return gone;
  }));
  EXPECT_EQ(m_requests.size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    BehindTest,
    testing::Values(BehindCase{"Nothing", 0, false},
                    BehindCase{"Kilobytes", 48000, false},
                    BehindCase{"KilobytesReset", 48000, true},
                    BehindCase{"Hundreds", 200000, false},
                    BehindCase{"MoreThanIsRead", 400000, false},
                    BehindCase{"MoreThanIsReadReset", 400000, true}),
    [](const auto& info) { return info.param.name; });

// An answer that is broken off must not look complete.
TEST_F(ServerTest, AbortEndsWithoutTheLastChunk) {
  Write("GET / HTTP/1.1\r\n\r\n");
  RunUntil([this] { return m_requests.size() == 1; });
  m_exchanges[0]->Begin({200, {}});
  m_exchanges[0]->Write("part");
  ReadUntil("part\r\n");
  m_exchanges[0]->Abort();
  ReadUntil("never");
  EXPECT_TRUE(m_ended);
  EXPECT_FALSE(m_received.ends_with("0\r\n\r\n"));
  EXPECT_EQ(m_server.Connections(), 0U);
}

// Guards against the same where the answer has no framing, as for HTTP/1.0:
// only a reset tells its caller that the end is not the answer's.
TEST_F(ServerTest, AbortOfAnswerWithoutFramingResets) {
  Write("GET / HTTP/1.0\r\n\r\n");
  RunUntil([this] { return m_requests.size() == 1; });
  m_exchanges[0]->Begin({200, {}});
  m_exchanges[0]->Write("part");
  ReadUntil("part");
  m_exchanges[0]->Abort();
  ReadUntil("never");
  EXPECT_EQ(m_end, asio::error::connection_reset);
}

// Guards against a whole answer that is reset.
TEST_F(ServerTest, AnswerWithoutFramingEndsInOrder) {
  Write("GET / HTTP/1.0\r\n\r\n");
  RunUntil([this] { return m_requests.size() == 1; });
  m_exchanges[0]->Begin({200, {}});
  m_exchanges[0]->Write("whole");
  m_exchanges[0]->Finish();
  ReadUntil("never");
  EXPECT_TRUE(m_received.ends_with("\r\n\r\nwhole"));
  EXPECT_EQ(m_end, asio::error::eof);
}

// Guards against a caller whose request is still arriving when the process
// ends, and who learns only from the cut connection that it was not taken.
TEST_F(ServerTest, RefusesRequestsThatAreIncomplete) {
  asio::ip::tcp::socket other(m_context);
  other.connect(EndpointOf(m_address));
  asio::write(other, asio::buffer(std::string_view("GET /1 HTTP/1.1\r\n\r\n")));
  Write("POST /2 HTTP/1.1\r\nX-A: 1\r\nContent-Length: 4\r\n\r\nbo");
  RunUntil([this] { return m_requests.size() == 1; });
  std::vector<std::string> refused;
  EXPECT_TRUE(PollUntil([&] {
    m_server.RefuseIncomplete([&refused](const ReceivedRequest& request) {
      refused.push_back(request.head.target);
      return AnswerHead{503, request.head.headers};
    });
    return !refused.empty();
  }));
  Write("dy");
  ReadUntil("never");
  EXPECT_EQ(refused, std::vector<std::string>{"/2"});
  EXPECT_TRUE(m_received.starts_with("HTTP/1.1 503 "));
  EXPECT_NE(m_received.find("X-A: 1\r\n"), std::string::npos);
  EXPECT_NE(m_received.find("Connection: close\r\n"), std::string::npos);
  EXPECT_EQ(m_requests.size(), 1U);
}

// Guards against a response that is whole in memory, is dropped when the
// process ends because its caller reads slowly, and leaves no trace.
TEST_F(ServerTest, CountsConnectionsWhoseCallersHaveNotTakenAllBytes) {
  constexpr std::size_t kLength = 32U << 20U;
  Write("GET / HTTP/1.1\r\n\r\n");
  RunUntil([this] { return m_requests.size() == 1; });
  EXPECT_EQ(m_server.ConnectionsWithUnsentBytes(), 0U);
  m_exchanges[0]->Reply({200, {}}, std::string(kLength, 'x') + "end");
  m_context.poll();
  EXPECT_EQ(m_server.ConnectionsWithUnsentBytes(), 1U);
  ReadUntil("end");
  EXPECT_TRUE(
      PollUntil([this] { return m_server.ConnectionsWithUnsentBytes() == 0; }));
}

TEST_F(ServerTest, TellsOfACallerThatLeaves) {
  Write("GET / HTTP/1.1\r\n\r\n");
  RunUntil([this] { return m_requests.size() == 1; });
  bool gone = false;
  m_exchanges[0]->OnDisconnected([&gone] { gone = true; });
  m_client.close();
  RunUntil([&gone] { return gone; });
  m_exchanges[0]->Reply({200, {}}, "late");
  EXPECT_EQ(m_server.Connections(), 0U);
}

TEST_F(ServerTest, StopClosesAfterTheAnswer) {
  Write("GET / HTTP/1.1\r\n\r\n");
  RunUntil([this] { return m_requests.size() == 1; });
  m_server.CloseAfterAnswers();
  m_exchanges[0]->Reply({200, {}}, "last");
  ReadUntil("never");
  EXPECT_NE(m_received.find("Connection: close\r\n"), std::string::npos);
  EXPECT_TRUE(m_received.ends_with("last"));
}

TEST_F(ServerTest, SilentConnectionsAreClosedInAStop) {
  RunUntil([this] { return m_server.Connections() == 1; });
  const kernel::Time now = kernel::Now();
  m_server.CloseIdle(now, std::chrono::minutes(1));
  EXPECT_EQ(m_server.Connections(), 1U);
  m_server.CloseIdle(now + std::chrono::minutes(2), std::chrono::minutes(1));
  EXPECT_EQ(m_server.Connections(), 0U);
}

// Guards against a stop, or the idle limit, that closes a connection on which a
// request has arrived while the process was busy.
TEST_F(ServerTest, SilenceEndsWithARequestThatIsNotReadYet) {
  RunUntil([this] { return m_server.Connections() == 1; });
  Write("GET / HTTP/1.1\r\n\r\n");
  const kernel::Time later = kernel::Now() + std::chrono::minutes(2);
  m_server.CloseIdle(later, std::chrono::minutes(1));
  EXPECT_EQ(m_server.Connections(), 1U);
  m_server.CheckTimes(later);
  EXPECT_EQ(m_server.Connections(), 1U);
  EXPECT_TRUE(PollUntil([this] { return m_requests.size() == 1; }));
}

// Guards against a stop that resets connections which wait to be accepted.
TEST_F(ServerTest, StopTakesConnectionsThatWaitToBeAccepted) {
  Write("GET / HTTP/1.1\r\n\r\n");
  m_server.StopAccepting();
  ASSERT_TRUE(PollUntil([this] { return m_requests.size() == 1; }));
  m_exchanges[0]->Reply({200, {}}, "taken");
  ReadUntil("taken");
  EXPECT_TRUE(m_received.ends_with("taken"));
}

// Guards against a reset that destroys the last answer on its way, because the
// caller's next bytes were unread when the connection closed.
TEST_F(ServerTest, LastAnswerIsNotResetByBytesThatFollow) {
  Write("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
  RunUntil([this] { return m_requests.size() == 1; });
  Write(std::string(60000, 'x'));
  m_exchanges[0]->Reply({200, {}}, "last");
  ReadUntil("never");
  EXPECT_TRUE(m_received.ends_with("last"));
  EXPECT_EQ(m_end, asio::error::eof) << m_end.message();
  // A connection with unread bytes that is closed is reset.
  EXPECT_EQ(m_server.Connections(), 1U);
  m_client.close();
  EXPECT_TRUE(PollUntil([this] { return m_server.Connections() == 0; }));
}

// Guards against callers that hold a connection by never closing it.
TEST_F(ServerTest, ConnectionThatCallerKeepsOpenAfterTheEndIsClosed) {
  Write("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
  RunUntil([this] { return m_requests.size() == 1; });
  m_exchanges[0]->Reply({200, {}}, "last");
  ReadUntil("never");
  m_server.CheckTimes(kernel::Now() + std::chrono::seconds(5));
  EXPECT_TRUE(PollUntil([this] { return m_server.Connections() == 0; }));
}

// Guards against a caller that stops in the middle of a body holding its
// connection and memory for good.
TEST_F(ServerTest, SilenceInABodyIsRefused) {
  Write("POST / HTTP/1.1\r\nContent-Length: 60\r\n\r\npart");
  RunUntil([this] { return m_server.Connections() == 1; });
  m_context.poll();
  const kernel::Time end = kernel::Now() + kPollLimit;
  while (!m_ended && kernel::Now() < end) {
    m_server.CheckTimes(kernel::Now() + std::chrono::seconds(20));
    m_context.poll();
    Receive();
  }
  EXPECT_TRUE(m_received.starts_with("HTTP/1.1 408")) << m_received;
  EXPECT_TRUE(m_requests.empty());
}

struct RefusalCase {
  const char* name;
  std::string request;
  const char* status;
};

class RefusalTest : public ServerTest,
                    public testing::WithParamInterface<RefusalCase> {};

TEST_P(RefusalTest, SaysWhyAndCloses) {
  m_server.SetLimits({.head_bytes = 200, .body_bytes = 50});
  Write(GetParam().request);
  ReadUntil("never");
  EXPECT_TRUE(
      m_received.starts_with("HTTP/1.1 " + std::string(GetParam().status)))
      << m_received;
  EXPECT_TRUE(m_requests.empty());
}

INSTANTIATE_TEST_SUITE_P(
    All,
    RefusalTest,
    testing::Values(RefusalCase{"Malformed", "nonsense\r\n\r\n", "400"},
                    RefusalCase{"LongHead",
                                "GET / HTTP/1.1\r\nX: " +
                                    std::string(400, 'x') + "\r\n\r\n",
                                "431"},
                    RefusalCase{
                        "LongBody",
                        "POST / HTTP/1.1\r\nContent-Length: 60\r\n\r\n" +
                            std::string(60, 'x'),
                        "413"}),
    [](const auto& info) { return info.param.name; });

TEST_F(ServerTest, SlowHeadIsRefused) {
  Write("GET / HT");
  RunUntil([this] { return m_server.Connections() == 1; });
  m_context.poll();
  while (!m_ended) {
    m_server.CheckTimes(kernel::Now() + std::chrono::seconds(10));
    m_context.poll();
    Receive();
  }
  EXPECT_TRUE(m_received.empty() || m_received.starts_with("HTTP/1.1 408"));
}

struct HoldCase {
  const char* name;
  std::size_t bytes;
  bool held;
};

class RequestMemoryTest : public ServerTest,
                          public testing::WithParamInterface<HoldCase> {};

// A request that takes too much memory to be executed can be refused, and its
// connection is of use afterwards.
TEST_P(RequestMemoryTest, IsHeldWithinTheLimit) {
  MemoryAccount account({.bytes = 1U << 20U});
  CallerServer server(m_context, account,
                      [this](const ReceivedRequest& /*request*/,
                             std::shared_ptr<CallerExchange> exchange) {
                        m_exchanges.push_back(std::move(exchange));
                      });
  const std::string address = FreeAddress(m_context);
  ASSERT_FALSE(server.Listen(address));
  asio::ip::tcp::socket client(m_context);
  client.connect(EndpointOf(address));
  asio::write(client, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
  RunUntil([this] { return m_exchanges.size() == 1; });
  EXPECT_EQ(m_exchanges[0]->HoldRequest(GetParam().bytes), GetParam().held);
  EXPECT_EQ(account.BytesHeld() >= GetParam().bytes, GetParam().held);
  m_exchanges[0]->Reply({GetParam().held ? 200 : 503, {}}, "");
  asio::write(client, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
  RunUntil([this] { return m_exchanges.size() == 2; });
  EXPECT_LT(account.BytesHeld(), 64U << 10U);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    RequestMemoryTest,
    testing::Values(HoldCase{"Fits", 256U << 10U, true},
                    HoldCase{"TooLarge", 2U << 20U, false}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(FrameLinksTest, DeliverMessagesInOrder) {
  asio::io_context context(1);
  std::vector<std::string> received;
  FrameLinks receiver(context, [&received](std::string_view frame) {
    received.emplace_back(frame);
  });
  FrameLinks sender(context, [](std::string_view) {});
  const std::string address = FreeAddress(context);
  ASSERT_FALSE(receiver.Listen(address));
  const std::string large(100'000, 'x');
  EXPECT_TRUE(sender.Send(address, "one"));
  EXPECT_TRUE(sender.Send(address, ""));
  EXPECT_TRUE(sender.Send(address, large));
  EXPECT_FALSE(sender.Send(address, std::string(8U << 20U, 'x')));
  EXPECT_FALSE(sender.Send("nowhere", "one"));
  while (received.size() < 3) {
    context.run_one();
  }
  EXPECT_EQ(received, (std::vector<std::string>{"one", "", large}));
}

}  // namespace
}  // namespace radishrudder::exchange
