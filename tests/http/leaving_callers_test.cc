// Tests that the server notices callers that leave, whatever it reads of their
// connections.
#include <gtest/gtest.h>

#include <asio.hpp>
#include <future>
#include <memory>
#include <mutex>
#include <ostream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "radishrudder/http/connection_memory.h"
#include "radishrudder/http/server.h"

namespace radishrudder::http {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kNoticeTime{500};
constexpr std::size_t kMemory = 64U << 20U;
constexpr std::string_view kRequest =
    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody";

struct LeavingCase {
  const char* name;
  std::size_t behind;  // Bytes of further requests.
  bool reset;
};

void PrintTo(const LeavingCase& leaving, std::ostream* stream) {
  *stream << leaving.name;
}

class LeavingCallerTest : public testing::TestWithParam<LeavingCase> {
 protected:
  LeavingCallerTest()
      : m_server({.memory = std::make_shared<ConnectionMemory>(kMemory)},
                 [this](const Request&, std::shared_ptr<Responder> responder) {
                   Take(std::move(responder));
                 }) {
    EXPECT_FALSE(m_server.Start());
    m_caller.connect({asio::ip::address_v4::loopback(), m_server.Port()});
  }
  ~LeavingCallerTest() override { m_server.Stop(); }

  void Take(std::shared_ptr<Responder> responder) {
    const std::lock_guard lock(m_mutex);
    if (m_responders.empty()) {
      responder->OnGone([this] { m_gone.set_value(); });
      m_taken.set_value(responder);
    }
    m_responders.push_back(std::move(responder));
  }

  asio::io_context m_context;
  asio::ip::tcp::socket m_caller{m_context};
  std::mutex m_mutex;
  std::vector<std::shared_ptr<Responder>> m_responders;
  std::promise<std::shared_ptr<Responder>> m_taken;
  std::promise<void> m_gone;
  Server m_server;
};

// Guards against calls that go on after their caller has left, since nothing is
// read while several requests wait behind the one in progress.
TEST_P(LeavingCallerTest, IsNoticed) {
  std::string text(kRequest);
  while (text.size() < kRequest.size() + GetParam().behind) {
    text += kRequest;
  }
  asio::write(m_caller, asio::buffer(text));
  auto taken = m_taken.get_future();
  const auto responder = taken.get();
  EXPECT_FALSE(responder->HasCallerLeft());
  m_caller.set_option(asio::socket_base::linger(GetParam().reset, 0));
  m_caller.close();
  EXPECT_EQ(m_gone.get_future().wait_for(kNoticeTime),
            std::future_status::ready);
  EXPECT_TRUE(responder->HasCallerLeft());
}

INSTANTIATE_TEST_SUITE_P(All,
                         LeavingCallerTest,
                         testing::Values(LeavingCase{"Alone", 0, false},
                                         LeavingCase{"OneBehind", 50, false},
                                         LeavingCase{"Kilobytes", 48000, false},
                                         LeavingCase{"KilobytesReset", 48000,
                                                     true}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace radishrudder::http
