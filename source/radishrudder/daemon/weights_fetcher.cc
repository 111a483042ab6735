#include "radishrudder/daemon/weights_fetcher.h"

#include <utility>

#include "radishrudder/logging/events.h"

namespace radishrudder::daemon {
namespace {

constexpr std::chrono::milliseconds kFetchTimeout{30'000};
constexpr int kStatusOk = 200;
constexpr int kStatusPartialContent = 206;

}  // namespace

WeightsFetcher::WeightsFetcher(http::Client& client,
                               std::string origin_url,
                               std::string store_url)
    : m_client(client),
      m_origin_url(std::move(origin_url)),
      m_store_url(std::move(store_url)) {}

void WeightsFetcher::Fetch(const weights::FetchManifest& fetch,
                           std::function<void(std::string)> done) {
  http::ClientRequest request;
  request.url = UrlOf(fetch.source) + "/manifests/" + fetch.manifest_digest;
  Get(std::move(request), kStatusOk, std::move(done));
}

void WeightsFetcher::Fetch(const weights::FetchChunk& fetch,
                           std::function<void(std::string)> done) {
  http::ClientRequest request;
  request.url = UrlOf(fetch.source) + "/files/" + fetch.file;
  request.headers = {
      {"Range", "bytes=" + std::to_string(fetch.offset) + "-" +
                    std::to_string(fetch.offset + fetch.size - 1)}};
  request.maximum_body_bytes = fetch.size;
  Get(std::move(request), kStatusPartialContent, std::move(done));
}

const std::string& WeightsFetcher::UrlOf(weights::Source source) const {
  const bool use_store =
      source == weights::Source::kStore && !m_store_url.empty();
  return use_store ? m_store_url : m_origin_url;
}

void WeightsFetcher::Get(http::ClientRequest request,
                         int wanted_status,
                         std::function<void(std::string)> done) {
  request.timeout = kFetchTimeout;
  const std::string url = request.url;
  m_client.Fetch(
      std::move(request),
      [url, wanted_status, done = std::move(done)](http::WholeAnswer answer) {
        if (!answer.result.error && answer.result.status == wanted_status) {
          done(std::move(answer.body));
          return;
        }
        logging::Log(logging::kHttpFailed,
                     {{"url", url},
                      {"status", std::to_string(answer.result.status)},
                      {"problem", answer.result.error.message()}});
        done(std::string());
      });
}

}  // namespace radishrudder::daemon
