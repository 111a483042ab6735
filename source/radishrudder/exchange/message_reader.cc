#include "radishrudder/exchange/message_reader.h"

#include <http_parser.h>

#include <algorithm>
#include <utility>

#include "radishrudder/exchange/byte_blocks.h"

namespace radishrudder::exchange {
namespace {

// Bytes of a response's head and of the interim responses before it. The parser
// itself allows 80 KiB for each of them.
constexpr std::size_t kMaximumResponseHeadBytes = 256U << 10U;
// Returned by the head callback: the message has no body.
constexpr int kNoBody = 1;
// The same: the message is malformed.
constexpr int kMalformedHead = -1;
constexpr std::uint64_t kUnknownLength = ~std::uint64_t{0};
// A string that grows allocates up to this many times its size.
constexpr std::size_t kStringGrowth = 2;

}  // namespace

struct MessageReader::State {
  explicit State(Kind message_kind) : kind(message_kind) {}

  static State& Of(http_parser* parser) {
    return *static_cast<State*>(parser->data);
  }

  static int OnTarget(http_parser* parser, const char* data, size_t size) {
    State& state = Of(parser);
    state.request.target.append(data, size);
    state.head_text_bytes += size;
    return 0;
  }
  static int OnName(http_parser* parser, const char* data, size_t size) {
    State& state = Of(parser);
    if (state.head_complete) {
      return 0;  // Trailers are read and left out.
    }
    if (!state.in_name) {
      state.Headers().emplace_back();
      state.in_name = true;
    }
    state.Headers().back().name.append(data, size);
    state.head_text_bytes += size;
    return 0;
  }
  static int OnValue(http_parser* parser, const char* data, size_t size) {
    State& state = Of(parser);
    if (state.head_complete) {
      return 0;
    }
    state.in_name = false;
    state.Headers().back().value.append(data, size);
    state.head_text_bytes += size;
    return 0;
  }
  static int OnHead(http_parser* parser) {
    State& state = Of(parser);
    state.in_name = false;
    const bool keep_alive = http_should_keep_alive(parser) != 0;
    if (state.kind == Kind::kRequest) {
      if (!std::ranges::all_of(state.request.headers, http::IsFieldName,
                               &http::Header::name)) {
        return kMalformedHead;
      }
      state.request.method =
          http_method_str(static_cast<http_method>(parser->method));
      state.request.keep_alive = keep_alive;
      state.request.chunked_ok =
          parser->http_major > 1 ||
          (parser->http_major == 1 && parser->http_minor >= 1);
      if (parser->content_length != kUnknownLength &&
          (parser->flags & F_CHUNKED) == 0) {
        state.announced_body_bytes = parser->content_length;
      }
      state.head_complete = true;
      return 0;
    }
    state.response.status = static_cast<int>(parser->status_code);
    state.response.keep_alive = keep_alive;
    state.response.chunked = (parser->flags & F_CHUNKED) != 0;
    if (parser->content_length != kUnknownLength && !state.response.chunked) {
      state.response.length = parser->content_length;
    }
    state.interim = http::IsInterim(state.response.status);
    state.head_complete = !state.interim;
    return state.head_only && !state.interim ? kNoBody : 0;
  }
  static int OnBody(http_parser* parser, const char* data, size_t size) {
    Of(parser).body.Append({data, size});
    return 0;
  }
  static int OnComplete(http_parser* parser) {
    State& state = Of(parser);
    if (state.interim) {
      state.response = {};
      state.interim = false;
      return 0;
    }
    state.complete = true;
    http_parser_pause(parser, 1);
    return 0;
  }

  std::vector<http::Header>& Headers() {
    return kind == Kind::kRequest ? request.headers : response.headers;
  }

  static const http_parser_settings& Callbacks() {
    static const http_parser_settings callbacks = [] {
      http_parser_settings settings;
      http_parser_settings_init(&settings);
      settings.on_url = OnTarget;
      settings.on_header_field = OnName;
      settings.on_header_value = OnValue;
      settings.on_headers_complete = OnHead;
      settings.on_body = OnBody;
      settings.on_message_complete = OnComplete;
      return settings;
    }();
    return callbacks;
  }

  Kind kind;
  http_parser parser{};
  http::ResponseHeadCheck head;  // Of a response.
  RequestHead request;
  ResponseHead response;
  ByteBlocks body;
  std::size_t head_bytes = 0;
  std::size_t head_text_bytes = 0;  // In the strings of the head.
  std::optional<std::uint64_t> announced_body_bytes;
  bool head_only = false;
  bool in_name = false;
  bool interim = false;  // A response with a status below 200.
  bool head_complete = false;
  bool complete = false;
  bool malformed = false;
};

MessageReader::MessageReader(Kind kind)
    : m_state(std::make_unique<State>(kind)) {
  Reset();
}

MessageReader::~MessageReader() = default;

void MessageReader::Reset(bool head_only) {
  State& state = *m_state;
  http_parser_init(&state.parser,
                   state.kind == Kind::kRequest ? HTTP_REQUEST : HTTP_RESPONSE);
  state.parser.data = &state;
  state.head.Reset();
  Free(state.request.target);
  state.request = {};
  state.response = {};
  state.body.Clear();
  state.head_bytes = 0;
  state.head_text_bytes = 0;
  state.announced_body_bytes.reset();
  state.head_only = head_only;
  state.in_name = false;
  state.interim = false;
  state.head_complete = false;
  state.complete = false;
  state.malformed = false;
}

ReadProgress MessageReader::Feed(std::string_view bytes) {
  State& state = *m_state;
  ReadProgress progress;
  if (state.kind == Kind::kResponse) {
    state.malformed |= state.head.Feed(bytes) == http::HeadState::kMalformed;
  }
  if (!state.complete && !state.malformed) {
    const bool head_was_complete = state.head_complete;
    progress.consumed = http_parser_execute(&state.parser, &State::Callbacks(),
                                            bytes.data(), bytes.size());
    if (!head_was_complete) {
      state.head_bytes += progress.consumed - state.body.Size();
    }
    const http_errno error = HTTP_PARSER_ERRNO(&state.parser);
    // The parser limits each head, but not the number of interim responses.
    const bool head_too_large = state.kind == Kind::kResponse &&
                                !state.head_complete &&
                                state.head_bytes > kMaximumResponseHeadBytes;
    state.malformed =
        head_too_large || (error != HPE_OK && error != HPE_PAUSED);
  }
  if (state.malformed) {
    progress.state = ReadState::kMalformed;
  } else if (state.complete) {
    progress.state = ReadState::kComplete;
  } else {
    progress.state = state.head_complete ? ReadState::kBody : ReadState::kHead;
  }
  return progress;
}

ReadState MessageReader::OnEnd(const http::ConnectionEnd& end) {
  State& state = *m_state;
  if (state.complete) {
    return ReadState::kComplete;
  }
  if (!state.head_complete || state.malformed ||
      !http::CompletesResponse(end)) {
    return ReadState::kMalformed;
  }
  http_parser_execute(&state.parser, &State::Callbacks(), nullptr, 0);
  return state.complete ? ReadState::kComplete : ReadState::kMalformed;
}

bool MessageReader::HeadComplete() const {
  return m_state->head_complete;
}

const RequestHead& MessageReader::Request() const {
  return m_state->request;
}

const ResponseHead& MessageReader::Response() const {
  return m_state->response;
}

std::size_t MessageReader::HeadBytes() const {
  return m_state->head_bytes;
}

RequestHead MessageReader::TakeRequest() {
  return std::exchange(m_state->request, {});
}

std::string MessageReader::TakeBody() {
  return m_state->body.TakeAll();
}

std::size_t MessageReader::BodyBytesHeld() const {
  return m_state->body.Size();
}

std::optional<std::uint64_t> MessageReader::AnnouncedBodyBytes() const {
  return m_state->announced_body_bytes;
}

void MessageReader::ReserveBody() {
  State& state = *m_state;
  if (state.announced_body_bytes && !state.complete) {
    state.body.Reserve(*state.announced_body_bytes);
  }
}

std::size_t MessageReader::HeadMemory() const {
  const State& state = *m_state;
  const auto& headers = state.kind == Kind::kRequest ? state.request.headers
                                                     : state.response.headers;
  return headers.capacity() * sizeof(http::Header) +
         kStringGrowth * state.head_text_bytes;
}

std::size_t MessageReader::BodyMemory() const {
  return m_state->body.AllocatedBytes();
}

}  // namespace radishrudder::exchange
