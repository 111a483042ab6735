#include <gtest/gtest.h>

#include "radishrudder/http/header.h"
#include "radishrudder/http/server.h"

namespace radishrudder::http {
namespace {

TEST(HeadersTest, AreFoundWhateverTheCase) {
  const std::vector<Header> headers = {{"Idempotency-Key", "k1"},
                                       {"X-Workspace", "north"}};
  EXPECT_EQ(FindHeader(headers, "idempotency-key"), "k1");
  EXPECT_EQ(FindHeader(headers, "X-WORKSPACE"), "north");
  EXPECT_EQ(FindHeader(headers, "x-work"), "");
}

struct SendableCase {
  Header header;
  bool sendable;
};

class SendableTest : public testing::TestWithParam<SendableCase> {};

TEST_P(SendableTest, KeepsFramingAndLineBreaksOut) {
  EXPECT_EQ(IsSendable(GetParam().header), GetParam().sendable);
}

INSTANTIATE_TEST_SUITE_P(
    Headers,
    SendableTest,
    testing::Values(SendableCase{{"x-outcome", "not-run"}, true},
                    SendableCase{{"x-empty", ""}, true},
                    SendableCase{{"", "value"}, false},
                    SendableCase{{"x-bad", "a\r\nset-cookie: b"}, false},
                    SendableCase{{"x-bad\n", "a"}, false},
                    SendableCase{{"Content-Length", "3"}, false},
                    SendableCase{{"transfer-encoding", "chunked"}, false},
                    SendableCase{{"Connection", "close"}, false}));

}  // namespace
}  // namespace radishrudder::http
