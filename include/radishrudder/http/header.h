#ifndef RADISHRUDDER_HTTP_HEADER_H_
#define RADISHRUDDER_HTTP_HEADER_H_

#include <string>
#include <string_view>
#include <vector>

namespace radishrudder::http {

struct Header {
  std::string name;
  std::string value;
};

// Compares header names, which do not depend on case.
bool EqualNames(std::string_view first, std::string_view second);

// Returns the value of the first header of that name (case does not matter),
// or an empty view.
std::string_view FindHeader(const std::vector<Header>& headers,
                            std::string_view name);

// Whether a text is a field name: not empty, and without blanks, control bytes
// and separators (RFC 9110, token).
bool IsFieldName(std::string_view text);

// Returns whether a header may be sent as given: it is well-formed and does
// not describe the connection or the framing, which the library decides.
bool IsSendable(const Header& header);

// Returns the reason phrase of a status code, or "Status" if it has none.
std::string_view ReasonPhrase(int status);

}  // namespace radishrudder::http

#endif  // RADISHRUDDER_HTTP_HEADER_H_
