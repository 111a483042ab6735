#include "radishrudder/http/connection_memory.h"

#include <gtest/gtest.h>

#include <atomic>
#include <memory>
#include <string>

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

}  // namespace
}  // namespace radishrudder::http
