#ifndef RADISHRUDDER_HTTP_RESPONSE_RULES_H_
#define RADISHRUDDER_HTTP_RESPONSE_RULES_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

// What is a response, and when one is complete, for all readers of responses.
// Source: RFC 9112; where it lets a reader choose, these rules refuse.
namespace radishrudder::http {

// How the end of a response's body shows.
enum class BodyEnd {
  kLength,        // So many bytes after the head; 0 for some statuses.
  kLastChunk,     // The chunk of size 0.
  kConnectionEnd  // The body has no framing.
};

// Whether a response with this status comes before the final one.
bool IsInterim(int status);

// What is known of a head after some bytes.
enum class HeadState { kIncomplete, kComplete, kMalformed };

// Checks the head of a response, and of the interim responses before it, as
// its bytes arrive.
class ResponseHeadCheck {
 public:
  // Begins the next response.
  void Reset() { *this = {}; }
  // Takes the next bytes. Those behind the head of the final response are left
  // out, as is everything once the head is complete or malformed.
  HeadState Feed(std::string_view bytes);
  HeadState State() const { return m_state; }
  // The status of the latest status line; 0: there was none.
  int Status() const { return m_status; }
  // Of a complete head; not for responses to HEAD, which have no body.
  BodyEnd End() const;
  // The length that a complete head states for the body, if it does.
  std::optional<std::uint64_t> StatedLength() const { return m_length; }

 private:
  // Each returns false if the line is malformed.
  bool TakeLine(std::string_view line);
  bool TakeStatusLine(std::string_view line);
  bool TakeField(std::string_view line);

  HeadState m_state = HeadState::kIncomplete;
  std::string m_line{};  // Its bytes so far.
  bool m_in_fields = false;
  int m_status = 0;
  std::optional<std::uint64_t> m_length{};
  bool m_chunked = false;
};

// How the connection of a response ended.
struct ConnectionEnd {
  bool in_order = true;  // Not by a reset, or another error.
  // The whole request was written to the connection before.
  bool request_written = true;
};

// Returns whether the end of the connection completes a response with
// `BodyEnd::kConnectionEnd`. A server in trouble ends its connection as well: a
// request that it has not taken whole, or a reset, tells that from a proper
// end.
bool CompletesResponse(const ConnectionEnd& end);

}  // namespace radishrudder::http

#endif  // RADISHRUDDER_HTTP_RESPONSE_RULES_H_
