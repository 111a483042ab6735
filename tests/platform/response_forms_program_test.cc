// Tests what an entry, as a separate process, passes on to its callers of what
// endpoints respond.
#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "tests/http/response_forms.h"
#include "tests/platform/platform_standin.h"
#include "tests/platform/running_program.h"

namespace radishrudder::platform {
namespace {

using http::ResponseForm;
using std::chrono::milliseconds;

constexpr milliseconds kLimit{10000};
constexpr milliseconds kDecisionTime{2000};
constexpr std::size_t kUploadBytes = 4'000'000;
constexpr int kRequests = 6;
constexpr char kBounds[] = R"("revoke_ms": 5000, "grace_s": 2)";
constexpr char kOwnLines[] =
    "Radishrudder-Attempt-Id: @id\r\n"
    "Radishrudder-Response-Signature: proof\r\n";

class ResponseFormEntryTest : public testing::TestWithParam<ResponseForm> {
 protected:
  void SetUp() override {
    m_standin = std::make_unique<PlatformStandin>(m_program.StoreAddress());
    // The endpoint that responds in this form is the service's only one.
    m_standin->Write(
        {"servers/i-1", R"({"service": "plain", "zone": "a", "slots": 32,)"
                        R"("state": "ready", "born": 1, "address": ")" +
                            m_server.Address() + "\"}"});
    m_program.WriteSettings(m_program.SettingsText(kBounds));
    m_program.Start();
    ASSERT_TRUE(m_program.AwaitLog(" document-in-force ", 1, kLimit));
    StandinCaller caller(m_program.CallersAddress());
    const auto end = std::chrono::steady_clock::now() + kLimit;
    while (m_server.Requests() == 0 && std::chrono::steady_clock::now() < end) {
      caller.Call(Request("probe", "body"));
    }
    ASSERT_GE(m_server.Requests(), 1U);
  }

  // Of a route whose requests may not be repeated.
  static std::string Request(const std::string& id, const std::string& body) {
    return "POST /n/1 HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n"
           "Radishrudder-Attempt-Id: " +
           id + "\r\nRadishrudder-Deadline-Ms: 4000\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  http::FormServer m_server{GetParam(), kOwnLines};
  RunningProgram m_program{"entry"};
  std::unique_ptr<PlatformStandin> m_standin;
};

// Guards against a caller that gets as a complete answer what is not the
// endpoint's whole answer, or that waits to its deadline for a better one.
TEST_P(ResponseFormEntryTest, IsPassedOnForWhatItIs) {
  const ResponseForm& form = GetParam();
  const std::string body = form.reading == http::Reading::kHead
                               ? std::string(kUploadBytes, 'u')
                               : "body";
  for (int i = 0; i < kRequests; ++i) {
    const std::string request = Request("form-" + std::to_string(i), body);
    const std::string_view part = request;
    const auto started = std::chrono::steady_clock::now();
    // The bytes as they are, not as a reader of this project takes them.
    const std::string answer = SendParts(m_program.CallersAddress(), {&part, 1},
                                         milliseconds(0), kLimit);
    EXPECT_LE(std::chrono::steady_clock::now() - started, kDecisionTime);
    if (form.body) {
      EXPECT_TRUE(answer.starts_with("HTTP/1.1 200") ||
                  answer.starts_with("HTTP/1.1 413"))
          << answer;
      EXPECT_TRUE(answer.ends_with("\r\n\r\n" + *form.body)) << answer;
    } else {
      EXPECT_TRUE(answer.starts_with("HTTP/1.1 502")) << answer;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Forms,
                         ResponseFormEntryTest,
                         testing::ValuesIn(http::AllResponseForms()),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace radishrudder::platform
