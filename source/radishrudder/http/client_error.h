#ifndef RADISHRUDDER_SOURCE_HTTP_CLIENT_ERROR_H_
#define RADISHRUDDER_SOURCE_HTTP_CLIENT_ERROR_H_

#include <curl/curl.h>

#include <system_error>

namespace radishrudder::http {

// Returns the category of libcurl's codes that have no kin in std::errc.
const std::error_category& CurlCategory();

// Translates the end of a transfer. `system_error` is the number that the
// system gave for a failed connection, or 0.
std::error_code TranslateCurlError(CURLcode code, long system_error);

}  // namespace radishrudder::http

#endif  // RADISHRUDDER_SOURCE_HTTP_CLIENT_ERROR_H_
