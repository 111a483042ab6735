// Tests what the readers of this part take for a response, and for its end.
#include "tests/http/response_forms.h"

#include <gtest/gtest.h>

#include <asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "radishrudder/exchange/endpoint_pool.h"
#include "radishrudder/exchange/fetcher.h"
#include "radishrudder/exchange/message_reader.h"

namespace radishrudder::exchange {
namespace {

using http::ResponseForm;
using std::chrono::milliseconds;

// Within this time a reader decides by what has arrived.
constexpr milliseconds kDecisionTime{1500};
constexpr std::size_t kUploadBytes = 4'000'000;

// Hears of one response.
class BodyCollector : public AnswerListener {
 public:
  HeadVerdict OnHead(const ResponseHead&) override {
    return HeadVerdict::kAccept;
  }
  void OnBody(std::string data) override { body += data; }
  void OnEnd() override {
    done = true;
    complete = true;
  }
  void OnFailure(Failure) override { done = true; }

  std::string body;
  bool done = false;
  bool complete = false;
};

class ResponseFormTest : public testing::TestWithParam<ResponseForm> {
 protected:
  void RunUntil(const bool& done) {
    const auto end = std::chrono::steady_clock::now() + kDecisionTime;
    while (!done && std::chrono::steady_clock::now() < end) {
      m_context.restart();
      m_context.run_one_for(milliseconds(10));
    }
    EXPECT_TRUE(done) << "no decision";
  }
  // Early forms come before a long request is written whole.
  static std::string Body() {
    return GetParam().reading == http::Reading::kHead
               ? std::string(kUploadBytes, 'u')
               : "body";
  }

  asio::io_context m_context{1};
  http::FormServer m_server{GetParam()};
  EndpointPool m_pool{m_context, {}};
};

// Guards against a response that is passed on to a caller although its head is
// not one of HTTP/1.1, or although its end was cut off.
TEST_P(ResponseFormTest, PoolTakesItForWhatItIs) {
  const auto body = std::make_shared<const std::string>(Body());
  BodyCollector collector;
  m_pool.Start(m_pool.NextExchange(), m_server.Address(),
               {.bytes = "POST / HTTP/1.1\r\nContent-Length: " +
                         std::to_string(body->size()) + "\r\n\r\n",
                .body = *body,
                .body_owner = body},
               /*head_only=*/false, collector);
  RunUntil(collector.done);
  EXPECT_EQ(collector.complete, GetParam().body.has_value());
  if (GetParam().body) {
    EXPECT_EQ(collector.body, *GetParam().body);
  }
}

// Guards against the same in answers of the store, the origin and peers.
TEST_P(ResponseFormTest, FetcherTakesItForWhatItIs) {
  Fetcher fetcher(m_context, m_pool);
  bool done = false;
  std::optional<FetchedAnswer> answer;
  fetcher.Fetch(m_server.Address(),
                {.method = "POST", .target = "/", .body = Body()},
                kDecisionTime + milliseconds(1000),
                [&](std::optional<FetchedAnswer> received) {
                  done = true;
                  answer = std::move(received);
                });
  RunUntil(done);
  EXPECT_EQ(answer.has_value(), GetParam().body.has_value());
  if (answer && GetParam().body) {
    EXPECT_EQ(answer->body, *GetParam().body);
  }
}

INSTANTIATE_TEST_SUITE_P(Forms,
                         ResponseFormTest,
                         testing::ValuesIn(http::AllResponseForms()),
                         [](const auto& info) { return info.param.name; });

class HeadFormTest : public testing::TestWithParam<ResponseForm> {};

// Guards against a head that is refused or taken depending on how its bytes
// are divided.
TEST_P(HeadFormTest, ReaderTakesItForWhatItIs) {
  const std::string text = http::Fill(GetParam().bytes, "id", "");
  for (const std::size_t step : {text.size(), std::size_t{1}, std::size_t{7}}) {
    MessageReader reader(MessageReader::Kind::kResponse);
    std::string_view rest = text;
    std::string body;
    ReadState state = ReadState::kHead;
    while (!rest.empty() && state != ReadState::kComplete &&
           state != ReadState::kMalformed) {
      const std::string_view part = rest.substr(0, step);
      const ReadProgress progress = reader.Feed(part);
      state = progress.state;
      rest.remove_prefix(state == ReadState::kMalformed ? part.size()
                                                        : progress.consumed);
      body += reader.TakeBody();
    }
    if (GetParam().ending == http::Ending::kShutdown &&
        state != ReadState::kComplete) {
      state = reader.OnEnd();
    }
    const bool cut = GetParam().ending == http::Ending::kReset;
    EXPECT_EQ(state == ReadState::kComplete,
              GetParam().body.has_value() && !cut);
    if (GetParam().body) {
      EXPECT_EQ(body, *GetParam().body);
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Forms,
                         HeadFormTest,
                         testing::ValuesIn(http::HeadForms()),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace radishrudder::exchange
