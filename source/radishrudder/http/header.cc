#include "radishrudder/http/header.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace radishrudder::http {
namespace {

struct Reason {
  int status;
  std::string_view phrase;
};

constexpr std::array kReasons = {
    Reason{200, "OK"},
    Reason{201, "Created"},
    Reason{202, "Accepted"},
    Reason{204, "No Content"},
    Reason{206, "Partial Content"},
    Reason{304, "Not Modified"},
    Reason{400, "Bad Request"},
    Reason{401, "Unauthorized"},
    Reason{403, "Forbidden"},
    Reason{404, "Not Found"},
    Reason{405, "Method Not Allowed"},
    Reason{408, "Request Timeout"},
    Reason{409, "Conflict"},
    Reason{413, "Content Too Large"},
    Reason{416, "Range Not Satisfiable"},
    Reason{421, "Misdirected Request"},
    Reason{422, "Unprocessable Content"},
    Reason{429, "Too Many Requests"},
    Reason{431, "Request Header Fields Too Large"},
    Reason{500, "Internal Server Error"},
    Reason{501, "Not Implemented"},
    Reason{502, "Bad Gateway"},
    Reason{503, "Service Unavailable"},
    Reason{504, "Gateway Timeout"},
};

constexpr std::array<std::string_view, 6> kConnectionHeaders = {
    "connection", "content-length", "keep-alive",
    "te",         "trailer",        "transfer-encoding"};

char LowerCase(char letter) {
  return static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
}

constexpr std::string_view kNameSymbols = "!#$%&'*+-.^_`|~";

bool IsNameCharacter(char letter) {
  return (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'z') ||
         (letter >= 'A' && letter <= 'Z') ||
         kNameSymbols.find(letter) != std::string_view::npos;
}

bool HasLineBreak(std::string_view text) {
  return text.find_first_of(std::string_view("\r\n\0", 3)) !=
         std::string_view::npos;
}

}  // namespace

bool EqualNames(std::string_view first, std::string_view second) {
  // Most names differ in length.
  return first.size() == second.size() &&
         std::ranges::equal(first, second, {}, LowerCase, LowerCase);
}

std::string_view FindHeader(const std::vector<Header>& headers,
                            std::string_view name) {
  for (const Header& header : headers) {
    if (EqualNames(header.name, name)) {
      return header.value;
    }
  }
  return {};
}

bool IsFieldName(std::string_view text) {
  return !text.empty() && std::ranges::all_of(text, IsNameCharacter);
}

bool IsSendable(const Header& header) {
  if (!IsFieldName(header.name) || HasLineBreak(header.value)) {
    return false;
  }
  return std::ranges::none_of(kConnectionHeaders, [&](std::string_view name) {
    return EqualNames(header.name, name);
  });
}

std::string_view ReasonPhrase(int status) {
  const auto* reason = std::ranges::find(kReasons, status, &Reason::status);
  return reason == kReasons.end() ? "Status" : reason->phrase;
}

}  // namespace radishrudder::http
