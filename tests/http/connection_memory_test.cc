#include "radishrudder/http/connection_memory.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "radishrudder/http/client.h"
#include "radishrudder/http/server.h"

namespace radishrudder::http {
namespace {

constexpr std::size_t kLimit = 4U << 20U;

struct BodyCase {
  const char* name;
  std::size_t bytes = 0;
  bool served = false;
};

class ConnectionMemoryTest : public testing::TestWithParam<BodyCase> {};

// A refused request must never be executed: its caller may send it again.
TEST_P(ConnectionMemoryTest, ServesWhatFitsAndExecutesNothingElse) {
  const auto memory = std::make_shared<ConnectionMemory>(kLimit);
  std::atomic<int> executed = 0;
  Server server(
      {.memory = memory},
      [&](const Request& request, const std::shared_ptr<Responder>& responder) {
        ++executed;
        responder->Reply(200, {}, std::to_string(request.body.size()));
      });
  ASSERT_FALSE(server.Start());
  Client client;
  const std::string url = "http://127.0.0.1:" + std::to_string(server.Port());
  const WholeAnswer answer =
      client.FetchNow({.method = "POST",
                       .url = url,
                       .body = std::string(GetParam().bytes, 'x')});
  EXPECT_EQ(executed, GetParam().served ? 1 : 0);
  EXPECT_EQ(answer.result.status == 200, GetParam().served);
  const WholeAnswer after =
      client.FetchNow({.method = "POST", .url = url, .body = "x"});
  EXPECT_EQ(after.result.status, 200);
  client.Stop();
  server.Stop();
  EXPECT_EQ(memory->BytesHeld(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Bodies,
    ConnectionMemoryTest,
    testing::Values(BodyCase{"Small", 100, true},
                    BodyCase{"Fits", 700'000, true},
                    BodyCase{"DoesNotFit", 1'500'000, false}),
    [](const auto& info) { return std::string(info.param.name); });

struct AnswerCase {
  const char* name;
  int parts = 0;  // 0: the answer is sent whole.
};

class UnreadAnswerTest : public testing::TestWithParam<AnswerCase> {};

// Guards against answers that wait in the process because nobody reads them.
TEST_P(UnreadAnswerTest, IsHeldWithinTheLimit) {
  constexpr std::size_t kPartBytes = 1U << 20U;
  constexpr int kClients = 24;
  constexpr std::chrono::milliseconds kTime{1500};
  constexpr int kSmallBuffer = 4096;
  const auto memory = std::make_shared<ConnectionMemory>(kLimit);
  std::atomic<int> executed = 0;
  Server server(
      {.memory = memory},
      [&](const Request& request, const std::shared_ptr<Responder>& responder) {
        ++executed;
        if (request.path == "/small") {
          responder->Reply(200, {}, "small");
        } else if (GetParam().parts == 0) {
          responder->Reply(200, {}, std::string(2 * kPartBytes, 'x'));
        } else {
          responder->Begin(200, {});
          for (int part = 0; part < GetParam().parts; ++part) {
            responder->Write(std::string(kPartBytes, 'x'));
          }
          responder->Finish();
        }
      });
  ASSERT_FALSE(server.Start());
  asio::io_context context;
  std::vector<asio::ip::tcp::socket> callers;
  for (int i = 0; i < kClients; ++i) {
    asio::ip::tcp::socket& caller = callers.emplace_back(context);
    caller.open(asio::ip::tcp::v4());
    caller.set_option(asio::socket_base::receive_buffer_size(kSmallBuffer));
    caller.connect({asio::ip::address_v4::loopback(), server.Port()});
    asio::write(caller,
                asio::buffer(std::string("GET /large HTTP/1.1\r\n\r\n")));
  }
  std::size_t most_bytes = 0;
  const auto end = std::chrono::steady_clock::now() + kTime;
  while (std::chrono::steady_clock::now() < end) {
    most_bytes = std::max(most_bytes, memory->BytesHeld());
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  EXPECT_GE(executed, 1);
  EXPECT_GT(most_bytes, 0U);
  EXPECT_LE(most_bytes, kLimit);
  Client client;
  const WholeAnswer answer = client.FetchNow(
      {.method = "GET",
       .url = "http://127.0.0.1:" + std::to_string(server.Port()) + "/small"});
  EXPECT_EQ(answer.result.status, 200);
  client.Stop();
  callers.clear();
  server.Stop();
  EXPECT_EQ(memory->BytesHeld(), 0U);
}

INSTANTIATE_TEST_SUITE_P(Answers,
                         UnreadAnswerTest,
                         testing::Values(AnswerCase{"Whole"},
                                         AnswerCase{"InParts", 2},
                                         AnswerCase{"LargerThanTheLimit", 8}),
                         [](const auto& info) {
                           return std::string(info.param.name);
                         });

}  // namespace
}  // namespace radishrudder::http
