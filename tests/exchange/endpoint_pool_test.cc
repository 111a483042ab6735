#include "radishrudder/exchange/endpoint_pool.h"

#include <gtest/gtest.h>

#include <optional>

#include "radishrudder/exchange/fetcher.h"
#include "tests/exchange/scripted_peer.h"

namespace radishrudder::exchange {
namespace {

constexpr char kOk[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr char kForeign[] =
    "HTTP/1.1 200 OK\r\nX-Foreign: 1\r\nContent-Length: 3\r\n\r\nold";

// Records what comes of one request.
class Recorder : public AnswerListener {
 public:
  HeadVerdict OnHead(const ResponseHead& head) override {
    if (head.status == 503) {
      rejected = true;
      return HeadVerdict::kReject;
    }
    return http::FindHeader(head.headers, "X-Foreign").empty()
               ? HeadVerdict::kAccept
               : HeadVerdict::kSkip;
  }
  void OnSending() override { ++sendings; }
  void OnBody(std::string data) override { body += data; }
  void OnEnd() override { ended = true; }
  void OnFailure(Failure reason) override { failure = reason; }
  bool Done() const { return ended || failure || rejected; }

  int sendings = 0;
  std::string body;
  bool ended = false;
  bool rejected = false;
  std::optional<Failure> failure;
};

class PoolTest : public testing::Test {
 protected:
  std::unique_ptr<Recorder> Send(const std::string& address) {
    auto recorder = std::make_unique<Recorder>();
    m_context.restart();
    m_pool.Start(address, "GET / HTTP/1.1\r\n\r\n", false, *recorder);
    while (!recorder->Done()) {
      m_context.run_one();
    }
    // What else is due, such as the end of an idle connection, happens too.
    m_context.poll();
    return recorder;
  }

  asio::io_context m_context{1};
  EndpointPool m_pool{m_context, {}};
};

TEST_F(PoolTest, KeepsConnections) {
  ScriptedPeer peer(m_context, {{kOk}, {kOk}});
  EXPECT_EQ(Send(peer.Address())->body, "ok");
  EXPECT_EQ(Send(peer.Address())->body, "ok");
  EXPECT_EQ(peer.Connections(), 1U);
  EXPECT_EQ(m_pool.ConnectionsOpened(), 1U);
}

struct PoolCase {
  const char* name;
  ScriptedAnswer answer;
  const char* body;
  std::optional<Failure> failure;
  // Whether the next request goes over the same connection.
  bool kept;
};

class PoolAnswerTest : public PoolTest,
                       public testing::WithParamInterface<PoolCase> {};

TEST_P(PoolAnswerTest, IsTakenForWhatItIs) {
  ScriptedPeer peer(m_context, {GetParam().answer, {kOk}});
  const auto first = Send(peer.Address());
  EXPECT_EQ(first->failure, GetParam().failure);
  if (!GetParam().failure) {
    EXPECT_EQ(first->body, GetParam().body);
  }
  // Never sent twice by itself.
  EXPECT_EQ(first->sendings, 1);
  EXPECT_EQ(peer.Requests().size(), 1U);
  EXPECT_EQ(Send(peer.Address())->body, "ok");
  EXPECT_EQ(peer.Connections(), GetParam().kept ? 1U : 2U);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    PoolAnswerTest,
    testing::Values(
        PoolCase{"Whole", {kOk}, "ok", std::nullopt, true},
        PoolCase{"ForeignFirst",
                 {std::string(kForeign) + kOk},
                 "ok",
                 std::nullopt,
                 false},
        PoolCase{"ExtraAfter",
                 {std::string(kOk) + kForeign},
                 "ok",
                 std::nullopt,
                 false},
        PoolCase{"CloseSaid",
                 {"HTTP/1.1 200 OK\r\nConnection: close\r\n"
                  "Content-Length: 2\r\n\r\nok"},
                 "ok",
                 std::nullopt,
                 false},
        PoolCase{"ShortKeepAlive",
                 {"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\n"
                  "Content-Length: 2\r\n\r\nok"},
                 "ok",
                 std::nullopt,
                 false},
        PoolCase{"UntilTheEnd",
                 {"HTTP/1.1 200 OK\r\n\r\nok", true},
                 "ok",
                 std::nullopt,
                 false},
        PoolCase{"CutOff",
                 {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", true},
                 "",
                 Failure::kInterrupted,
                 false},
        PoolCase{"CutInStatusLine",
                 {"HTTP/1.1 200", true},
                 "",
                 Failure::kInterrupted,
                 false},
        PoolCase{"CutAfterStatusLine",
                 {"HTTP/1.1 200 OK\r\n", true},
                 "",
                 Failure::kInterrupted,
                 false},
        PoolCase{"CutInHeader",
                 {"HTTP/1.1 200 OK\r\nContent-Le", true},
                 "",
                 Failure::kInterrupted,
                 false},
        PoolCase{"CutInLengthValue",
                 {"HTTP/1.1 200 OK\r\nContent-Length: 2", true},
                 "",
                 Failure::kInterrupted,
                 false},
        PoolCase{"CutAfterHeader",
                 {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n", true},
                 "",
                 Failure::kInterrupted,
                 false},
        PoolCase{"ClosedWithoutAnswer",
                 {"", true},
                 "",
                 Failure::kInterrupted,
                 false},
        PoolCase{"Reset", {"", false, true}, "", Failure::kInterrupted, false},
        PoolCase{"NotHttp",
                 {"nonsense\r\n\r\n"},
                 "",
                 Failure::kMalformed,
                 false}),
    [](const auto& info) { return info.param.name; });

// Guards against an endpoint that writes an earlier refusal once more, as the
// response to the next request on the connection: that request runs, and its
// caller is told that it was not executed.
TEST_F(PoolTest, ConnectionIsClosedAfterRefusal) {
  constexpr char kRefusal[] =
      "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n";
  ScriptedPeer peer(m_context, {{std::string(kRefusal) + kRefusal}, {kOk}});
  EXPECT_TRUE(Send(peer.Address())->rejected);
  const auto next = Send(peer.Address());
  EXPECT_FALSE(next->rejected);
  EXPECT_EQ(next->body, "ok");
  EXPECT_EQ(peer.Connections(), 2U);
}

// Nothing has left: the request may go elsewhere whatever it is.
TEST_F(PoolTest, RefusedConnectionIsNotSent) {
  std::string address;
  {
    ScriptedPeer peer(m_context, {});
    address = peer.Address();
  }
  m_context.poll();
  const auto recorder = Send(address);
  EXPECT_EQ(recorder->failure, Failure::kNotSent);
  EXPECT_EQ(recorder->sendings, 0);
}

TEST_F(PoolTest, BadAddressIsNotSent) {
  EXPECT_EQ(Send("host:port")->failure, Failure::kNotSent);
}

TEST_F(PoolTest, CancelledExchangeIsSilent) {
  ScriptedPeer peer(m_context, {{kOk}, {kOk}});
  Recorder recorder;
  const auto id =
      m_pool.Start(peer.Address(), "GET / HTTP/1.1\r\n\r\n", false, recorder);
  m_pool.Cancel(id);
  EXPECT_EQ(Send(peer.Address())->body, "ok");
  EXPECT_FALSE(recorder.Done());
}

// Cancels its exchange when the connection is open.
class Canceller : public Recorder {
 public:
  explicit Canceller(EndpointPool& pool) : m_pool(pool) {}
  void OnSending() override {
    ++sendings;
    m_pool.Cancel(exchange);
  }

  EndpointPool::ExchangeId exchange = 0;

 private:
  EndpointPool& m_pool;
};

// Guards against a request being written although its endpoint, while the
// connection was opening, said that it wants none.
TEST_F(PoolTest, RequestCancelledAsItsConnectionOpensIsNotWritten) {
  ScriptedPeer peer(m_context, {{kOk}});
  Canceller canceller(m_pool);
  canceller.exchange =
      m_pool.Start(peer.Address(), "GET / HTTP/1.1\r\n\r\n", false, canceller);
  while (canceller.sendings == 0) {
    m_context.run_one();
  }
  EXPECT_EQ(Send(peer.Address())->body, "ok");
  EXPECT_EQ(peer.Requests().size(), 1U);
  EXPECT_FALSE(canceller.Done());
}

// Bytes that a narrow or cut link still holds must not reach the endpoint long
// after the caller has left.
TEST_F(PoolTest, CancelResetsTheConnection) {
  ScriptedPeer peer(m_context, {});
  Recorder recorder;
  const auto id =
      m_pool.Start(peer.Address(), "GET / HTTP/1.1\r\n\r\n", false, recorder);
  while (peer.Requests().empty()) {
    m_context.run_one();
  }
  m_pool.Cancel(id);
  while (!peer.LastEnd()) {
    m_context.run_one();
  }
  EXPECT_EQ(peer.LastEnd(), asio::error::connection_reset);
}

TEST_F(PoolTest, FetcherAnswersOnceAfterItsTimeLimit) {
  ScriptedPeer silent(m_context, {});
  Fetcher fetcher(m_context, m_pool);
  int calls = 0;
  fetcher.Fetch(silent.Address(), {.method = "GET", .target = "/"},
                std::chrono::milliseconds(20),
                [&calls](const std::optional<FetchedAnswer>& answer) {
                  ++calls;
                  EXPECT_FALSE(answer);
                });
  m_context.restart();
  while (calls == 0) {
    m_context.run_one();
  }
  m_context.poll();
  EXPECT_EQ(calls, 1);
}

}  // namespace
}  // namespace radishrudder::exchange
