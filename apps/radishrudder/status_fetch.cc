#include "status_fetch.h"

#include <future>
#include <utility>

#include "radishrudder/http/client.h"

namespace radishrudder::command_line {
namespace {

constexpr std::size_t kMaximumStatusBytes = std::size_t{4} << 20U;
constexpr int kStatusOk = 200;

std::string StatusUrl(std::string url) {
  while (url.ends_with('/')) {
    url.pop_back();
  }
  return url + "/status";
}

ProcessStatus ToStatus(const std::string& url,
                       const http::WholeAnswer& answer) {
  if (answer.result.error) {
    return {url, "", NoStatus{answer.result.error.message()}};
  }
  if (answer.result.status != kStatusOk) {
    return {url, "",
            NoStatus{"answered /status with HTTP status " +
                     std::to_string(answer.result.status)}};
  }
  return ParseStatus(url, answer.body);
}

}  // namespace

std::vector<ProcessStatus> FetchAll(std::span<const std::string> urls,
                                    std::chrono::milliseconds timeout) {
  http::Client client;
  std::vector<std::promise<http::WholeAnswer>> promises(urls.size());
  for (std::size_t i = 0; i < urls.size(); ++i) {
    http::ClientRequest request;
    request.url = StatusUrl(urls[i]);
    request.timeout = timeout;
    request.maximum_body_bytes = kMaximumStatusBytes;
    client.Fetch(std::move(request), [&promises, i](http::WholeAnswer answer) {
      promises[i].set_value(std::move(answer));
    });
  }
  std::vector<ProcessStatus> statuses;
  for (std::size_t i = 0; i < urls.size(); ++i) {
    statuses.push_back(ToStatus(urls[i], promises[i].get_future().get()));
  }
  return statuses;
}

void CheckUrls(std::span<const std::string> urls, kernel::Findings& findings) {
  for (const std::string& url : urls) {
    if (!url.starts_with("http://") && !url.starts_with("https://")) {
      findings.Error({"\"" + url + "\"", 0, 0, ""}, "is not a URL",
                     "the URL of an admin port, such as "
                     "http://127.0.0.1:9100");
    }
  }
}

}  // namespace radishrudder::command_line
