#include "radishrudder/exchange/message_reader.h"

#include <gtest/gtest.h>

namespace radishrudder::exchange {
namespace {

struct ReadCase {
  const char* name;
  MessageReader::Kind kind;
  const char* text;
  ReadState state;      // After all bytes.
  ReadState after_end;  // After the connection ended in order.
  const char* body;
  const char* left;  // Bytes that do not belong to the message.
};

class ReaderTest : public testing::TestWithParam<ReadCase> {};

constexpr auto kRequest = MessageReader::Kind::kRequest;
constexpr auto kResponse = MessageReader::Kind::kResponse;

TEST_P(ReaderTest, WholeOrByteByByte) {
  const ReadCase& given = GetParam();
  for (const std::size_t step :
       {std::string_view(given.text).size(), std::size_t{1}}) {
    MessageReader reader(given.kind);
    std::string_view rest = given.text;
    ReadProgress progress;
    std::string body;
    while (!rest.empty() && progress.state != ReadState::kComplete &&
           progress.state != ReadState::kMalformed) {
      const std::string_view part = rest.substr(0, step);
      progress = reader.Feed(part);
      rest.remove_prefix(progress.state == ReadState::kMalformed
                             ? part.size()
                             : progress.consumed);
      body += reader.TakeBody();
    }
    EXPECT_EQ(progress.state, given.state);
    EXPECT_EQ(body, given.body);
    if (given.state != ReadState::kMalformed) {
      EXPECT_EQ(rest, given.left);
    }
    EXPECT_EQ(reader.OnEnd(), given.after_end);
  }
}

INSTANTIATE_TEST_SUITE_P(
    All,
    ReaderTest,
    testing::Values(
        ReadCase{"Length", kResponse,
                 "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
                 ReadState::kComplete, ReadState::kComplete, "abc", ""},
        ReadCase{"ExtraBytes", kResponse,
                 "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 2",
                 ReadState::kComplete, ReadState::kComplete, "a", "HTTP/1.1 2"},
        ReadCase{"CutOff", kResponse,
                 "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
                 ReadState::kBody, ReadState::kMalformed, "abc", ""},
        ReadCase{"Chunks", kResponse,
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
                 ReadState::kComplete, ReadState::kComplete, "abc", ""},
        ReadCase{"ChunksCutOff", kResponse,
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "2\r\nab\r\n",
                 ReadState::kBody, ReadState::kMalformed, "ab", ""},
        ReadCase{"UntilTheEnd", kResponse, "HTTP/1.1 200 OK\r\n\r\nabc",
                 ReadState::kBody, ReadState::kComplete, "abc", ""},
        ReadCase{"InterimFirst", kResponse,
                 "HTTP/1.1 100 Continue\r\n\r\n"
                 "HTTP/1.1 204 No Content\r\n\r\n",
                 ReadState::kComplete, ReadState::kComplete, "", ""},
        ReadCase{"NotHttp", kResponse, "\x01\x02garbage\r\n\r\n",
                 ReadState::kMalformed, ReadState::kMalformed, "", ""},
        ReadCase{"Switching", kResponse,
                 "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n"
                 "Connection: upgrade\r\n\r\n",
                 ReadState::kMalformed, ReadState::kMalformed, "", ""},
        ReadCase{"Request", kRequest,
                 "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi",
                 ReadState::kComplete, ReadState::kComplete, "hi", ""},
        // Two ways to frame one body could hide a second request in it.
        ReadCase{"TwoFramings", kRequest,
                 "POST /a HTTP/1.1\r\nContent-Length: 5\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                 ReadState::kMalformed, ReadState::kMalformed, "", ""}),
    [](const auto& info) { return info.param.name; });

TEST(MessageReaderTest, HeadAnswerHasNoBody) {
  MessageReader reader(kResponse);
  reader.Reset(/*head_only=*/true);
  EXPECT_EQ(reader.Feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n").state,
            ReadState::kComplete);
  EXPECT_EQ(reader.Response().length, 9U);
}

// Guards against the end of a connection being taken for a marked end.
TEST(MessageReaderTest, TellsWhetherTheEndOfTheBodyIsMarked) {
  MessageReader chunked(kResponse);
  chunked.Feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  EXPECT_TRUE(chunked.Response().chunked);
  MessageReader open(kResponse);
  open.Feed("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
  EXPECT_FALSE(open.Response().chunked);
  EXPECT_FALSE(open.Response().length);
}

TEST(MessageReaderTest, ReadsTheNextMessageAfterReset) {
  MessageReader reader(kRequest);
  const std::string_view two =
      "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\nConnection: close\r\n\r\n";
  const ReadProgress first = reader.Feed(two);
  EXPECT_EQ(first.state, ReadState::kComplete);
  EXPECT_EQ(reader.Request().target, "/1");
  EXPECT_TRUE(reader.Request().keep_alive);
  reader.Reset();
  EXPECT_EQ(reader.Feed(two.substr(first.consumed)).state,
            ReadState::kComplete);
  EXPECT_EQ(reader.Request().target, "/2");
  EXPECT_FALSE(reader.Request().keep_alive);
}

}  // namespace
}  // namespace radishrudder::exchange
