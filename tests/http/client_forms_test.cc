// Tests what the client takes for a response, and for its end.
#include <gtest/gtest.h>

#include <chrono>
#include <string>

#include "radishrudder/http/client.h"
#include "tests/http/response_forms.h"

namespace radishrudder::http {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kDecisionTime{1500};
constexpr std::size_t kUploadBytes = 4'000'000;

class ClientFormTest : public testing::TestWithParam<ResponseForm> {};

// Guards against a response of an endpoint, of the origin or of the store that
// a daemon takes although its head is not one of HTTP/1.1, or although its end
// was cut off.
TEST_P(ClientFormTest, IsTakenForWhatItIs) {
  const ResponseForm& form = GetParam();
  FormServer server(form);
  Client client;
  const auto started = std::chrono::steady_clock::now();
  const WholeAnswer answer = client.FetchNow(
      {.method = "POST",
       .url = "http://" + server.Address() + "/",
       .body = form.reading == Reading::kHead ? std::string(kUploadBytes, 'u')
                                              : "body",
       .timeout = kDecisionTime + milliseconds(1000)});
  EXPECT_LE(std::chrono::steady_clock::now() - started, kDecisionTime);
  EXPECT_EQ(!answer.result.error, form.body.has_value())
      << answer.result.error.message();
  if (form.body) {
    EXPECT_EQ(answer.body, *form.body);
  }
}

INSTANTIATE_TEST_SUITE_P(Forms,
                         ClientFormTest,
                         testing::ValuesIn(AllResponseForms()),
                         [](const auto& info) { return info.param.name; });

// The connection is not said to close, so that the client writes on until the
// server resets it.
INSTANTIATE_TEST_SUITE_P(
    KeptForms,
    ClientFormTest,
    testing::Values(ResponseForm{
        .name = "EarlyChunks",
        .bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "2\r\nok\r\n0\r\n\r\n",
        .ending = Ending::kShutdown,
        .reading = Reading::kHead,
        .body = "ok"}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace radishrudder::http
