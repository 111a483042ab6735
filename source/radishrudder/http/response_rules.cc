#include "radishrudder/http/response_rules.h"

#include <algorithm>
#include <array>
#include <charconv>

#include "radishrudder/http/header.h"

namespace radishrudder::http {
namespace {

constexpr std::size_t kStatusDigits = 3;
constexpr int kFirstStatus = 100;
constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 599;
// No reader asks for another protocol.
constexpr int kSwitchingProtocols = 101;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr std::array<std::string_view, 2> kVersions = {"HTTP/1.0 ",
                                                       "HTTP/1.1 "};
constexpr std::string_view kBlanks = " \t";
constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kDelete = 0x7f;

bool IsDigit(char letter) {
  return letter >= '0' && letter <= '9';
}

// Of a field's value or a reason phrase.
bool IsTextCharacter(char letter) {
  const auto byte = static_cast<unsigned char>(letter);
  return letter == '\t' || (byte >= kFirstPrintable && byte != kDelete);
}

std::string_view TrimBlanks(std::string_view text) {
  const std::size_t first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

std::optional<std::uint64_t> ParseLength(std::string_view value) {
  std::uint64_t length = 0;
  const char* const end = value.data() + value.size();
  const auto parsed = std::from_chars(value.data(), end, length);
  return !value.empty() && parsed.ec == std::errc() && parsed.ptr == end
             ? std::optional(length)
             : std::nullopt;
}

}  // namespace

bool IsInterim(int status) {
  return status < kFirstFinalStatus;
}

HeadState ResponseHeadCheck::Feed(std::string_view bytes) {
  while (m_state == HeadState::kIncomplete && !bytes.empty()) {
    const std::size_t end = bytes.find('\n');
    m_line += bytes.substr(0, end);
    if (end == std::string_view::npos) {
      break;
    }
    bytes.remove_prefix(end + 1);
    std::string_view line = m_line;
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (!TakeLine(line)) {
      m_state = HeadState::kMalformed;
    }
    m_line.clear();
  }
  return m_state;
}

BodyEnd ResponseHeadCheck::End() const {
  if (m_status == kNoContent || m_status == kNotModified) {
    return BodyEnd::kLength;
  }
  if (m_chunked) {
    return BodyEnd::kLastChunk;
  }
  return m_length ? BodyEnd::kLength : BodyEnd::kConnectionEnd;
}

bool ResponseHeadCheck::TakeLine(std::string_view line) {
  if (!m_in_fields) {
    // Some servers end a body with one more line break than they state.
    return line.empty() || TakeStatusLine(line);
  }
  if (!line.empty()) {
    return TakeField(line);
  }
  m_in_fields = false;
  if (!IsInterim(m_status)) {
    m_state = HeadState::kComplete;
  }
  return true;
}

bool ResponseHeadCheck::TakeStatusLine(std::string_view line) {
  const auto* const version = std::ranges::find_if(
      kVersions,
      [line](std::string_view text) { return line.starts_with(text); });
  if (version == kVersions.end()) {
    return false;
  }
  line.remove_prefix(version->size());
  const std::string_view digits = line.substr(0, kStatusDigits);
  const std::string_view rest = line.substr(digits.size());
  if (digits.size() < kStatusDigits || !std::ranges::all_of(digits, IsDigit) ||
      !(rest.empty() || rest.starts_with(' ')) ||
      !std::ranges::all_of(rest, IsTextCharacter)) {
    return false;
  }
  std::from_chars(digits.data(), digits.data() + digits.size(), m_status);
  m_in_fields = true;
  m_length.reset();
  m_chunked = false;
  return m_status >= kFirstStatus && m_status <= kLastStatus &&
         m_status != kSwitchingProtocols;
}

bool ResponseHeadCheck::TakeField(std::string_view line) {
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  const std::string_view name = line.substr(0, colon);
  const std::string_view value = TrimBlanks(line.substr(colon + 1));
  if (!IsFieldName(name) || !std::ranges::all_of(value, IsTextCharacter)) {
    return false;
  }
  const bool is_framed = m_length || m_chunked;
  if (EqualNames(name, "Content-Length")) {
    m_length = ParseLength(value);
    return m_length && !is_framed;
  }
  if (EqualNames(name, "Transfer-Encoding")) {
    m_chunked = true;
    return EqualNames(value, "chunked") && !is_framed;
  }
  return true;
}

bool CompletesResponse(const ConnectionEnd& end) {
  return end.in_order && end.request_written;
}

}  // namespace radishrudder::http
