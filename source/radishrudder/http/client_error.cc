#include "source/radishrudder/http/client_error.h"

#include <string>

namespace radishrudder::http {
namespace {

class Category final : public std::error_category {
 public:
  const char* name() const noexcept override {  // NOLINT
    return "curl";
  }
  std::string message(int code) const override {  // NOLINT
    return curl_easy_strerror(static_cast<CURLcode>(code));
  }
};

}  // namespace

const std::error_category& CurlCategory() {
  static const Category category;
  return category;
}

std::error_code TranslateCurlError(CURLcode code, long system_error) {
  switch (code) {
    case CURLE_OK:
      return {};
    case CURLE_OPERATION_TIMEDOUT:
      return std::make_error_code(std::errc::timed_out);
    case CURLE_COULDNT_CONNECT:
      if (system_error != 0) {
        return {static_cast<int>(system_error), std::generic_category()};
      }
      return std::make_error_code(std::errc::connection_refused);
    default:
      return {code, CurlCategory()};
  }
}

}  // namespace radishrudder::http
