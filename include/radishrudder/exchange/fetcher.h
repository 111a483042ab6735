#ifndef RADISHRUDDER_EXCHANGE_FETCHER_H_
#define RADISHRUDDER_EXCHANGE_FETCHER_H_

#include <asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "radishrudder/exchange/endpoint_pool.h"
#include "radishrudder/http/header.h"

namespace radishrudder::exchange {

// A request that the process makes on its own account.
struct FetchRequest {
  std::string method{};
  std::string target{};  // Path and query, escaped.
  std::vector<http::Header> headers{};
  std::string body{};
};

struct FetchedAnswer {
  int status = 0;
  std::vector<http::Header> headers{};
  std::string body{};
};

// Returns the bytes of one request with its Host and Content-Length.
std::string EncodeRequest(std::string_view host, const FetchRequest& request);

// Makes requests whose answers are read whole, each with a time limit and at
// most once.
class Fetcher {
 public:
  using Done = std::function<void(std::optional<FetchedAnswer>)>;

  Fetcher(asio::io_context& context, EndpointPool& pool)
      : m_context(context), m_pool(pool) {}
  ~Fetcher();
  Fetcher(const Fetcher&) = delete;
  Fetcher& operator=(const Fetcher&) = delete;

  // Calls `done` once: with nothing if no whole answer came in time.
  void Fetch(std::string_view address,
             const FetchRequest& request,
             std::chrono::milliseconds timeout,
             Done done);
  // Makes the request on a reserved connection of the pool. Returns false, and
  // does not call `done`, if that connection has ended: no byte was sent.
  bool FetchReserved(EndpointPool::ReservationId reservation,
                     std::string_view host,
                     const FetchRequest& request,
                     std::chrono::milliseconds timeout,
                     Done done);

 private:
  class Exchange;
  friend class Exchange;

  asio::io_context& m_context;
  EndpointPool& m_pool;
  std::unordered_set<std::shared_ptr<Exchange>> m_exchanges;
};

}  // namespace radishrudder::exchange

#endif  // RADISHRUDDER_EXCHANGE_FETCHER_H_
