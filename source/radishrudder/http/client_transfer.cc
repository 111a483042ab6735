#include "source/radishrudder/http/client_transfer.h"

#include <charconv>
#include <new>
#include <utility>

#include "radishrudder/http/header.h"
#include "source/radishrudder/http/client_error.h"

namespace radishrudder::http {
namespace {

// Of the heads of an answer and of the interim answers before it, and of
// trailers.
constexpr std::size_t kMaximumHeadBytes = 256U << 10U;
constexpr std::string_view kWhitespace = " \t\r\n";
constexpr std::string_view kStatusLineStart = "HTTP/";

// Sets an option of the right type; only a lack of memory can make it fail.
template <typename Value>
void SetOption(CURL* handle, CURLoption option, Value value) {
  if (curl_easy_setopt(handle, option, value) != CURLE_OK) {
    throw std::bad_alloc();
  }
}

std::string_view Trim(std::string_view text) {
  const auto first = text.find_first_not_of(kWhitespace);
  if (first == std::string_view::npos) {
    return {};
  }
  const auto last = text.find_last_not_of(kWhitespace);
  return text.substr(first, last - first + 1);
}

// libcurl sends a request again by itself if a kept connection breaks before
// the answer begins. Only these methods allow that.
bool MayBeSentAgain(std::string_view method) {
  return method == "GET" || method == "HEAD";
}

}  // namespace

ClientTransfer::ClientTransfer(ClientRequest request, ClientHandlers handlers)
    : m_request(std::move(request)),
      m_handlers(std::move(handlers)),
      m_easy(curl_easy_init()) {
  if (!m_easy) {
    throw std::bad_alloc();
  }
  Configure();
}

ClientTransfer* ClientTransfer::Of(CURL* handle) {
  char* transfer = nullptr;
  curl_easy_getinfo(handle, CURLINFO_PRIVATE, &transfer);
  return reinterpret_cast<ClientTransfer*>(transfer);
}

void ClientTransfer::Configure() {
  CURL* handle = m_easy.get();
  SetOption(handle, CURLOPT_PRIVATE, static_cast<void*>(this));
  SetOption(handle, CURLOPT_URL, m_request.url.c_str());
  SetOption(handle, CURLOPT_NOSIGNAL, 1L);
  SetOption(handle, CURLOPT_PROXY, "");
  SetOption(handle, CURLOPT_PROTOCOLS_STR, "http");
  SetOption(handle, CURLOPT_HTTP_VERSION,
            static_cast<long>(CURL_HTTP_VERSION_1_1));
  SetOption(handle, CURLOPT_CONNECTTIMEOUT_MS,
            static_cast<long>(m_request.connect_timeout.count()));
  SetOption(handle, CURLOPT_TIMEOUT_MS,
            static_cast<long>(m_request.timeout.count()));
  SetOption(handle, CURLOPT_HEADERFUNCTION, &OnHeader);
  SetOption(handle, CURLOPT_HEADERDATA, static_cast<void*>(this));
  SetOption(handle, CURLOPT_WRITEFUNCTION, &OnData);
  SetOption(handle, CURLOPT_WRITEDATA, static_cast<void*>(this));
  SetOption(handle, CURLOPT_PREREQFUNCTION, &OnConnected);
  SetOption(handle, CURLOPT_PREREQDATA, static_cast<void*>(this));
  ConfigureMethod();
  ConfigureHeaders();
}

void ClientTransfer::ConfigureMethod() {
  CURL* handle = m_easy.get();
  if (m_request.method == "HEAD") {
    SetOption(handle, CURLOPT_NOBODY, 1L);
  } else if (!m_request.body.empty() || m_request.method == "POST" ||
             m_request.method == "PUT") {
    SetOption(handle, CURLOPT_POSTFIELDSIZE_LARGE,
              static_cast<curl_off_t>(m_request.body.size()));
    SetOption(handle, CURLOPT_POSTFIELDS, m_request.body.data());
  }
  SetOption(handle, CURLOPT_CUSTOMREQUEST, m_request.method.c_str());
  if (!MayBeSentAgain(m_request.method)) {
    SetOption(handle, CURLOPT_FRESH_CONNECT, 1L);
    SetOption(handle, CURLOPT_FORBID_REUSE, 1L);
  }
}

void ClientTransfer::ConfigureHeaders() {
  for (const Header& header : m_request.headers) {
    if (IsSendable(header)) {
      AddHeaderLine(header.value.empty() ? header.name + ";"
                                         : header.name + ": " + header.value);
    }
  }
  // Without these, libcurl adds values of its own.
  AddHeaderLine("Expect:");
  if (FindHeader(m_request.headers, "content-type").empty()) {
    AddHeaderLine("Content-Type:");
  }
  SetOption(m_easy.get(), CURLOPT_HTTPHEADER, m_header_lines.get());
}

void ClientTransfer::AddHeaderLine(const std::string& line) {
  curl_slist* list = curl_slist_append(m_header_lines.get(), line.c_str());
  if (list == nullptr) {
    throw std::bad_alloc();
  }
  // The head changes with the first line only.
  static_cast<void>(m_header_lines.release());
  m_header_lines.reset(list);
}

bool ClientTransfer::TakeHeaderLine(std::string_view line) {
  m_head_bytes += line.size();
  if (m_head_bytes > kMaximumHeadBytes) {
    m_too_large = true;
    return false;
  }
  if (m_head.State() == HeadState::kComplete) {
    return true;  // Trailers are read and left out.
  }
  switch (m_head.Feed(line)) {
    case HeadState::kMalformed:
      return false;
    case HeadState::kComplete:
      if (m_handlers.on_head) {
        m_handlers.on_head(m_head.Status(), std::exchange(m_headers, {}));
      }
      return true;
    case HeadState::kIncomplete:
      break;
  }
  // After the empty line that ends an interim response, the next head begins.
  const auto colon = line.find(':');
  if (Trim(line).empty()) {
    m_headers.clear();
  } else if (!line.starts_with(kStatusLineStart) &&
             colon != std::string_view::npos) {
    m_headers.push_back({std::string(Trim(line.substr(0, colon))),
                         std::string(Trim(line.substr(colon + 1)))});
  }
  return true;
}

bool ClientTransfer::TakeData(std::string_view data) {
  m_body_bytes += data.size();
  if (m_body_bytes > m_request.maximum_body_bytes) {
    m_too_large = true;
    return false;
  }
  if (m_handlers.on_data) {
    m_handlers.on_data(data);
  }
  return true;
}

bool ClientTransfer::IsComplete(CURLcode code) const {
  if (m_head.State() != HeadState::kComplete) {
    return false;  // libcurl takes some heads that end early for whole ones.
  }
  const bool has_body = m_request.method != "HEAD";
  if (has_body && m_head.End() == BodyEnd::kConnectionEnd) {
    curl_off_t written = 0;
    curl_easy_getinfo(m_easy.get(), CURLINFO_SIZE_UPLOAD_T, &written);
    return CompletesResponse(
        {.in_order = code == CURLE_OK,
         .request_written =
             static_cast<std::size_t>(written) == m_request.body.size()});
  }
  // A response may be whole before the request is written.
  return code == CURLE_OK || (code == CURLE_SEND_ERROR && has_body &&
                              m_head.StatedLength() == m_body_bytes);
}

std::error_code ClientTransfer::ErrorOf(CURLcode code) const {
  if (m_too_large) {
    return std::make_error_code(std::errc::message_size);
  }
  if (m_head.State() == HeadState::kMalformed) {
    return std::make_error_code(std::errc::bad_message);
  }
  long system_error = 0;
  curl_easy_getinfo(m_easy.get(), CURLINFO_OS_ERRNO, &system_error);
  return TranslateCurlError(code, system_error);
}

void ClientTransfer::Finish(CURLcode code) {
  if (IsComplete(code)) {
    FinishWith({});
  } else {
    FinishWith(ErrorOf(code == CURLE_OK ? CURLE_RECV_ERROR : code));
  }
}

void ClientTransfer::FinishWith(std::error_code error) {
  const auto on_done = std::exchange(m_handlers.on_done, nullptr);
  m_handlers = {};
  if (on_done) {
    on_done({.error = error,
             .status = m_head.Status(),
             .may_have_been_sent = m_connected});
  }
}

std::size_t ClientTransfer::OnHeader(char* data,
                                     std::size_t size,
                                     std::size_t count,
                                     void* transfer) {
  const std::string_view line(data, size * count);
  return static_cast<ClientTransfer*>(transfer)->TakeHeaderLine(line)
             ? line.size()
             : 0;
}

std::size_t ClientTransfer::OnData(char* data,
                                   std::size_t size,
                                   std::size_t count,
                                   void* transfer) {
  const std::string_view view(data, size * count);
  return static_cast<ClientTransfer*>(transfer)->TakeData(view) ? view.size()
                                                                : 0;
}

int ClientTransfer::OnConnected(void* transfer,
                                char* /*remote_address*/,
                                char* /*local_address*/,
                                int /*remote_port*/,
                                int /*local_port*/) {
  static_cast<ClientTransfer*>(transfer)->m_connected = true;
  return CURL_PREREQFUNC_OK;
}

}  // namespace radishrudder::http
