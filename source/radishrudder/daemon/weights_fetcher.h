#ifndef RADISHRUDDER_DAEMON_WEIGHTS_FETCHER_H_
#define RADISHRUDDER_DAEMON_WEIGHTS_FETCHER_H_

#include <functional>
#include <string>

#include "radishrudder/http/client.h"
#include "radishrudder/weights/transfer.h"

namespace radishrudder::daemon {

// Reads manifests and ranges of files from the origin and the store.
class WeightsFetcher {
 public:
  WeightsFetcher(http::Client& client,
                 std::string origin_url,
                 std::string store_url);

  // Calls `done` once with the bytes, which are empty after a failure.
  void Fetch(const weights::FetchManifest& fetch,
             std::function<void(std::string)> done);
  void Fetch(const weights::FetchChunk& fetch,
             std::function<void(std::string)> done);

 private:
  const std::string& UrlOf(weights::Source source) const;
  void Get(http::ClientRequest request,
           int wanted_status,
           std::function<void(std::string)> done);

  http::Client& m_client;
  const std::string m_origin_url;
  const std::string m_store_url;
};

}  // namespace radishrudder::daemon

#endif  // RADISHRUDDER_DAEMON_WEIGHTS_FETCHER_H_
