#ifndef RADISHRUDDER_EXCHANGE_MESSAGE_READER_H_
#define RADISHRUDDER_EXCHANGE_MESSAGE_READER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "radishrudder/http/header.h"
#include "radishrudder/http/response_rules.h"

namespace radishrudder::exchange {

struct RequestHead {
  std::string method{};
  std::string target{};  // Path and query as sent.
  std::vector<http::Header> headers{};
  bool keep_alive = true;  // The caller may send another request after it.
  bool chunked_ok = true;  // The caller reads chunked answers (HTTP/1.1).
};

struct ResponseHead {
  int status = 0;
  std::vector<http::Header> headers{};
  bool keep_alive = true;  // The connection may be used again.
  // Absent for chunked bodies and those that the connection's end ends.
  std::optional<std::uint64_t> length{};
  bool chunked = false;
};

// What a reader knows after some bytes.
enum class ReadState {
  kHead,      // The head is not whole yet.
  kBody,      // The head is whole, the body is not.
  kComplete,  // The message is whole; bytes after it were not consumed.
  kMalformed
};

struct ReadProgress {
  ReadState state = ReadState::kHead;
  std::size_t consumed = 0;  // Bytes that belong to this message.
};

// Reads one HTTP/1.1 message after the other from the bytes of a connection.
class MessageReader {
 public:
  enum class Kind { kRequest, kResponse };

  explicit MessageReader(Kind kind);
  ~MessageReader();
  MessageReader(const MessageReader&) = delete;
  MessageReader& operator=(const MessageReader&) = delete;

  // Begins the next message. `head_only`: a response without a body, since it
  // answers a HEAD request.
  void Reset(bool head_only = false);
  ReadProgress Feed(std::string_view bytes);
  // The connection ended. Returns kComplete if that ends the body.
  ReadState OnEnd(const http::ConnectionEnd& end = {});

  bool HeadComplete() const;
  const RequestHead& Request() const;
  const ResponseHead& Response() const;
  // Bytes of the head read so far.
  std::size_t HeadBytes() const;
  // Returns and forgets the head of the request.
  RequestHead TakeRequest();
  // Returns and forgets the body bytes read since the last call.
  std::string TakeBody();
  std::size_t BodyBytesHeld() const;
  // Length that the head of a request states for its body, if it does.
  std::optional<std::uint64_t> AnnouncedBodyBytes() const;
  // Allocates memory for the whole body of a request that states its length.
  void ReserveBody();
  // Memory that the head and the body take at most, in bytes.
  std::size_t HeadMemory() const;
  std::size_t BodyMemory() const;

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace radishrudder::exchange

#endif  // RADISHRUDDER_EXCHANGE_MESSAGE_READER_H_
