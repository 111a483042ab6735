#include <gtest/gtest.h>

#include <asio.hpp>
#include <atomic>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "radishrudder/http/client.h"

namespace radishrudder::http {
namespace {

constexpr std::size_t kEndlessBlockBytes = 65536;

// Answers the first request of each connection and keeps it; closes the
// connection without an answer at any further request, and at a first request
// for /breaks. A first request for /cut/N gets the first N bytes of the answer,
// one for /endless/ the rest of its path again and again, a line each.
class BreakingServer {
 public:
  BreakingServer()
      : m_acceptor(m_context, {asio::ip::address_v4::loopback(), 0}),
        m_thread([this] { Run(); }) {}
  ~BreakingServer() {
    // Wakes the blocked accept.
    m_ending = true;
    asio::ip::tcp::socket socket(m_context);
    socket.connect(m_acceptor.local_endpoint());
    m_thread.join();
  }

  std::string Url(const std::string& path) const {
    const auto port = m_acceptor.local_endpoint().port();
    return "http://127.0.0.1:" + std::to_string(port) + path;
  }
  int Requests() const { return m_requests; }
  std::size_t SentBytes() const { return m_sent; }

 private:
  void Run() {
    while (true) {
      asio::ip::tcp::socket socket = m_acceptor.accept();
      if (m_ending) {
        return;
      }
      m_connections.emplace_back(
          [this, socket = std::move(socket)]() mutable { Serve(socket); });
    }
  }

  void Serve(asio::ip::tcp::socket& socket) {
    static constexpr std::string_view kAnswer =
        "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nkept";
    asio::error_code error;
    const std::string first = ReadHead(socket);
    if (first.empty() || first.find("/breaks") != std::string::npos) {
      return;
    }
    constexpr std::string_view kCut = "/cut/";
    if (const std::size_t cut = first.find(kCut); cut != std::string::npos) {
      const std::size_t size = std::stoul(first.substr(cut + kCut.size()));
      asio::write(socket, asio::buffer(kAnswer.substr(0, size)), error);
      return;
    }
    constexpr std::string_view kEndless = "/endless/";
    if (const std::size_t path = first.find(kEndless);
        path != std::string::npos) {
      const std::size_t begin = path + kEndless.size();
      SendEndlessly(socket,
                    first.substr(begin, first.find(' ', begin) - begin));
      return;
    }
    asio::write(socket, asio::buffer(kAnswer), error);
    ReadHead(socket);
  }

  void SendEndlessly(asio::ip::tcp::socket& socket, const std::string& kind) {
    std::string text = "HTTP/1.1 200 OK\r\n";
    std::string line = "a: b\r\n";
    if (kind == "interim") {
      text.clear();
      line = "HTTP/1.1 102 Processing\r\n\r\n";
    } else if (kind == "trailers") {
      text += "transfer-encoding: chunked\r\n\r\n1\r\na\r\n0\r\n";
    } else if (kind == "body") {
      text += "\r\n";
    }
    asio::error_code error;
    asio::write(socket, asio::buffer(text), error);
    std::string block;
    while (block.size() < kEndlessBlockBytes) {
      block += line;
    }
    while (!error) {
      m_sent += asio::write(socket, asio::buffer(block), error);
    }
  }

  // Returns an empty text if the peer closes the connection.
  std::string ReadHead(asio::ip::tcp::socket& socket) {
    std::string head;
    asio::error_code error;
    asio::read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n", error);
    if (error) {
      return {};
    }
    ++m_requests;
    return head;
  }

  asio::io_context m_context;
  asio::ip::tcp::acceptor m_acceptor;
  std::atomic<int> m_requests = 0;
  std::atomic<bool> m_ending = false;
  std::atomic<std::size_t> m_sent = 0;      // Of answers without end.
  std::vector<std::jthread> m_connections;  // End when the client does.
  std::thread m_thread;
};

// libcurl repeats a request by itself if a kept connection breaks before the
// answer begins; a call that must not run twice must not go that way.
TEST(BrokenConnectionTest, APostIsNeverSentASecondTime) {
  BreakingServer server;
  Client client;
  for (const char* method : {"GET", "POST"}) {
    const WholeAnswer answer =
        client.FetchNow({.method = method, .url = server.Url("/")});
    EXPECT_EQ(answer.body, "kept");
  }
  const WholeAnswer broken =
      client.FetchNow({.method = "POST", .url = server.Url("/breaks")});
  EXPECT_TRUE(broken.result.error);
  EXPECT_TRUE(broken.result.may_have_been_sent);
  EXPECT_EQ(server.Requests(), 3);
}

class EndlessResponseTest : public testing::TestWithParam<const char*> {};

// Guards against a response whose head, interim responses, trailers or body go
// on until the process runs out of memory or for ever: the request has no time
// limit.
TEST_P(EndlessResponseTest, EndsWithAnError) {
  constexpr std::size_t kMaximumSentBytes = 24U << 20U;
  BreakingServer server;
  Client client;
  const WholeAnswer answer =
      client.FetchNow({.method = "GET",
                       .url = server.Url(std::string("/endless/") + GetParam()),
                       .maximum_body_bytes = 1U << 20U});
  EXPECT_EQ(answer.result.error, std::errc::message_size);
  EXPECT_LE(server.SentBytes(), kMaximumSentBytes);
}

INSTANTIATE_TEST_SUITE_P(
    Responses,
    EndlessResponseTest,
    testing::Values("lines", "interim", "trailers", "body"),
    [](const auto& info) { return std::string(info.param); });

class CutResponseTest : public testing::TestWithParam<int> {};

// Guards against a 200 with an empty or short body, framed as complete, from an
// endpoint that stopped within its response and closed the connection.
TEST_P(CutResponseTest, IsAnError) {
  BreakingServer server;
  Client client;
  const WholeAnswer answer = client.FetchNow(
      {.method = "GET",
       .url = server.Url("/cut/" + std::to_string(GetParam()))});
  EXPECT_TRUE(answer.result.error);
  EXPECT_TRUE(answer.result.may_have_been_sent);
}

// In the status line, at its end, in a header, at its end, before the empty
// line is complete, and in the body.
INSTANTIATE_TEST_SUITE_P(Cuts,
                         CutResponseTest,
                         testing::Values(7, 15, 17, 25, 36, 38, 39, 40));

}  // namespace
}  // namespace radishrudder::http
