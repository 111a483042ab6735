#ifndef RADISHRUDDER_SOURCE_HTTP_HEADERS_H_
#define RADISHRUDDER_SOURCE_HTTP_HEADERS_H_

#include <string_view>

#include "radishrudder/http/server.h"

namespace radishrudder::http {

// Compares header names, which do not depend on case.
bool EqualNames(std::string_view first, std::string_view second);

// Returns whether a header may be sent as given: it is well-formed and does
// not describe the connection or the framing, which the library decides.
bool IsSendable(const Header& header);

// Returns the reason phrase of a status code, or "Status" if it has none.
std::string_view ReasonPhrase(int status);

}  // namespace radishrudder::http

#endif  // RADISHRUDDER_SOURCE_HTTP_HEADERS_H_
