// Tests that requests of the process itself end when a server in trouble sends
// bytes without end, drips, or falls silent.
#include <gtest/gtest.h>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "radishrudder/exchange/endpoint_pool.h"
#include "radishrudder/exchange/fetcher.h"

namespace radishrudder::exchange {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kBlockBytes = 65536;
constexpr milliseconds kTimeout{2000};
constexpr milliseconds kDripTimeout{400};
// Memory of an agent on the users' platform is 128 MB; one answer must leave
// most of it to others. The kernel's buffers hold some megabytes more.
constexpr std::size_t kMaximumSentBytes = 24U << 20U;

struct EndlessCase {
  const char* name = "";
  std::string start{};
  std::string repeated{};    // Sent again and again.
  milliseconds interval{0};  // Between two repetitions.
  milliseconds timeout{kTimeout};
};

std::string Block(std::string_view unit) {
  std::string block;
  while (block.size() < kBlockBytes) {
    block += unit;
  }
  return block;
}

// Sends the start and the repeated bytes to whoever connects, until the
// connection ends.
class EndlessServer {
 public:
  EndlessServer(asio::io_context& context, const EndlessCase& script)
      : m_acceptor(context,
                   {asio::ip::address_v4::loopback(), std::uint16_t{0}}),
        m_socket(context),
        m_timer(context),
        m_script(script) {
    m_acceptor.async_accept(m_socket, [this](std::error_code error) {
      if (!error) {
        m_next = m_script.start;
        Write();
      }
    });
  }

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
  }
  std::size_t SentBytes() const { return m_sent; }
  bool IsClosed() const { return m_closed; }

 private:
  void Write() {
    asio::async_write(m_socket, asio::buffer(m_next),
                      [this](std::error_code error, std::size_t size) {
                        m_sent += size;
                        if (error) {
                          m_closed = true;
                        } else if (!m_script.repeated.empty()) {
                          Repeat();
                        }
                      });
  }

  void Repeat() {
    m_next = m_script.repeated;
    if (m_script.interval == milliseconds(0)) {
      Write();
      return;
    }
    m_timer.expires_after(m_script.interval);
    m_timer.async_wait([this](std::error_code error) {
      if (!error) {
        Write();
      }
    });
  }

  asio::ip::tcp::acceptor m_acceptor;
  asio::ip::tcp::socket m_socket;
  asio::steady_timer m_timer;
  EndlessCase m_script;
  std::string m_next;
  std::size_t m_sent = 0;
  bool m_closed = false;
};

// Hears of an answer and counts its bytes.
class ByteCounter : public AnswerListener {
 public:
  HeadVerdict OnHead(const ResponseHead&) override {
    return HeadVerdict::kAccept;
  }
  void OnBody(std::string data) override { bytes += data.size(); }
  void OnEnd() override {}
  void OnFailure(Failure) override {}

  std::size_t bytes = 0;
};

// Guards against an answer that is read on although nobody takes it: the rest
// has to wait at the sender.
TEST(PausedReadingTest, HoldsBackTheSender) {
  constexpr milliseconds kPause{300};
  asio::io_context context(1);
  EndpointPool pool(context, {.receive_buffer_bytes = kBlockBytes});
  EndlessServer server(context, {"", "HTTP/1.1 200 OK\r\n\r\n", Block("a")});
  ByteCounter counter;
  const auto exchange = pool.Start(server.Address(), "GET / HTTP/1.1\r\n\r\n",
                                   /*head_only=*/false, counter);
  while (counter.bytes < kBlockBytes) {
    context.run_one();
  }
  pool.PauseReading(exchange);
  context.run_for(kPause);
  const std::size_t paused_at = counter.bytes;
  const std::size_t sent = server.SentBytes();
  context.run_for(kPause);
  EXPECT_EQ(counter.bytes, paused_at);
  EXPECT_EQ(server.SentBytes(), sent);
  pool.ResumeReading(exchange);
  while (counter.bytes < 2 * (paused_at + sent)) {
    context.run_one();
  }
  pool.PauseReading(exchange);
  pool.Cancel(exchange);
  while (!server.IsClosed()) {
    context.run_one();
  }
}

class EndlessAnswerTest : public testing::TestWithParam<EndlessCase> {};

// Guards against an answer that grows until the process runs out of memory, and
// against a request that never ends because bytes keep arriving.
TEST_P(EndlessAnswerTest, EndsWithoutAnAnswer) {
  asio::io_context context(1);
  EndpointPool pool(context, {});
  Fetcher fetcher(context, pool);
  EndlessServer server(context, GetParam());
  bool done = false;
  std::optional<FetchedAnswer> answer;
  const auto started = std::chrono::steady_clock::now();
  fetcher.Fetch(server.Address(), {.method = "GET", .target = "/"},
                GetParam().timeout, [&](std::optional<FetchedAnswer> received) {
                  done = true;
                  answer = std::move(received);
                });
  while (!done) {
    context.run_one();
  }
  EXPECT_FALSE(answer);
  EXPECT_LE(server.SentBytes(), kMaximumSentBytes);
  EXPECT_LE(std::chrono::steady_clock::now() - started,
            GetParam().timeout + milliseconds(1000));
  // The server notices that the connection was closed.
  const bool sends = !GetParam().repeated.empty();
  for (int step = 0; sends && step < 1000 && !server.IsClosed(); ++step) {
    context.run_one_for(milliseconds(10));
  }
  EXPECT_EQ(server.IsClosed(), sends);
}

// Guards against a limit of one request that another one's size sets.
TEST(EndlessAnswerLimitTest, HoldsForEachRequest) {
  constexpr std::size_t kLimit = 64U << 10U;
  asio::io_context context(1);
  EndpointPool pool(context, {.receive_buffer_bytes = kBlockBytes});
  Fetcher fetcher(context, pool);
  EndlessServer server(context, {"", "HTTP/1.1 200 OK\r\n\r\n", Block("a")});
  bool done = false;
  fetcher.Fetch(
      server.Address(),
      {.method = "GET", .target = "/", .maximum_answer_bytes = kLimit},
      kTimeout, [&](const std::optional<FetchedAnswer>& answer) {
        done = true;
        EXPECT_FALSE(answer);
      });
  const auto started = std::chrono::steady_clock::now();
  while (!done) {
    context.run_one();
  }
  EXPECT_LE(std::chrono::steady_clock::now() - started, kTimeout / 2);
}

// Guards against answers without end of many servers that together take the
// memory of the process.
TEST(EndlessAnswerLimitTest, HoldsForAllAnswersTogether) {
  constexpr std::size_t kServers = 12;
  // All that is kept, and what the buffers of a connection hold.
  constexpr std::size_t kMaximumHeld = 24U << 20U;
  constexpr std::size_t kBuffers = 4U << 20U;
  asio::io_context context(1);
  EndpointPool pool(context, {.receive_buffer_bytes = kBlockBytes});
  Fetcher fetcher(context, pool);
  std::vector<std::unique_ptr<EndlessServer>> servers;
  std::size_t done = 0;
  for (std::size_t i = 0; i < kServers; ++i) {
    servers.push_back(std::make_unique<EndlessServer>(
        context, EndlessCase{"", "HTTP/1.1 200 OK\r\n\r\n", Block("a")}));
    fetcher.Fetch(servers.back()->Address(), {.method = "GET", .target = "/"},
                  kTimeout, [&](const std::optional<FetchedAnswer>& answer) {
                    ++done;
                    EXPECT_FALSE(answer);
                  });
  }
  while (done == 0) {
    context.run_one();
  }
  std::size_t sent = 0;
  for (const auto& server : servers) {
    sent += server->SentBytes();
  }
  EXPECT_LE(sent, kMaximumHeld + kServers * kBuffers);
  while (done < kServers) {
    context.run_one();
  }
}

// Guards against a request that is still known to its timer using the fetcher
// after its end.
TEST(EndlessAnswerLimitTest, FetcherMayEndWhileAnAnswerArrives) {
  asio::io_context context(1);
  EndlessServer server(context, {"", "HTTP/1.1 200 OK\r\n\r\n", Block("a")});
  bool done = false;
  {
    EndpointPool pool(context, {});
    Fetcher fetcher(context, pool);
    fetcher.Fetch(server.Address(), {.method = "GET", .target = "/"}, kTimeout,
                  [&](const std::optional<FetchedAnswer>&) { done = true; });
    while (server.SentBytes() < kBlockBytes) {
      context.run_one();
    }
  }
  context.run_for(milliseconds(100));
  EXPECT_FALSE(done);
}

struct SlowAnswerCase {
  const char* name = "";
  std::size_t part_bytes = 0;  // Sent every 100 ms.
  milliseconds progress{0};
  milliseconds total{0};
  bool read = false;
};

void PrintTo(const SlowAnswerCase& slow, std::ostream* stream) {
  *stream << slow.name;
}

class SlowAnswerTest : public testing::TestWithParam<SlowAnswerCase> {};

// Guards against an answer that is given up although it keeps arriving: the
// bytes fill the narrow link that the next attempt needs.
TEST_P(SlowAnswerTest, IsReadAsLongAsItMakesProgress) {
  constexpr std::size_t kBodyBytes = 80000;
  const SlowAnswerCase& slow = GetParam();
  asio::io_context context(1);
  EndpointPool pool(context, {});
  Fetcher fetcher(context, pool);
  EndlessServer server(context,
                       {"",
                        "HTTP/1.1 200 OK\r\nContent-Length: " +
                            std::to_string(kBodyBytes) + "\r\n\r\n",
                        std::string(slow.part_bytes, 'a'), milliseconds(100)});
  bool done = false;
  std::optional<FetchedAnswer> answer;
  const auto started = std::chrono::steady_clock::now();
  fetcher.Fetch(server.Address(), {.method = "GET", .target = "/"},
                {slow.progress, slow.total},
                [&](std::optional<FetchedAnswer> received) {
                  done = true;
                  answer = std::move(received);
                });
  while (!done) {
    context.run_one();
  }
  EXPECT_EQ(answer && answer->body.size() == kBodyBytes, slow.read);
  EXPECT_LE(std::chrono::steady_clock::now() - started,
            slow.total + milliseconds(500));
}

INSTANTIATE_TEST_SUITE_P(
    All,
    SlowAnswerTest,
    testing::Values(SlowAnswerCase{"Progress", 8000, milliseconds(400),
                                   milliseconds(4000), true},
                    SlowAnswerCase{"TooLittleProgress", 100, milliseconds(400),
                                   milliseconds(4000), false},
                    SlowAnswerCase{"LongerThanItMayTake", 8000,
                                   milliseconds(400), milliseconds(600), false},
                    SlowAnswerCase{"OneLimit", 8000, milliseconds(400),
                                   milliseconds(400), false}),
    [](const auto& info) { return info.param.name; });

INSTANTIATE_TEST_SUITE_P(
    Servers,
    EndlessAnswerTest,
    testing::Values(
        EndlessCase{"HeaderValue", "HTTP/1.1 200 OK\r\nX: ", Block("a")},
        EndlessCase{"HeaderLines", "HTTP/1.1 200 OK\r\n", Block("A: b\r\n")},
        EndlessCase{"StatusLine", "HTTP/1.1 200 ", Block("a")},
        EndlessCase{"NoAnswer", "", Block("xyz")},
        EndlessCase{"BodyWithoutLength", "HTTP/1.1 200 OK\r\n\r\n", Block("a")},
        EndlessCase{"BodyInChunks",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                    Block("4\r\nabcd\r\n")},
        EndlessCase{"InterimAnswers", "",
                    Block("HTTP/1.1 102 Processing\r\n\r\n")},
        EndlessCase{"DrippingHead", "HTTP/1.1 200 OK\r\nX: ", "a",
                    milliseconds(20), kDripTimeout},
        EndlessCase{"DrippingBody", "HTTP/1.1 200 OK\r\n\r\n", "a",
                    milliseconds(20), kDripTimeout},
        EndlessCase{"Silent", "HTTP/1.1 200 OK\r\n", "", milliseconds(0),
                    kDripTimeout}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace radishrudder::exchange
