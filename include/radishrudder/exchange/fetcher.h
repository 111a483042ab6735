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
  // A longer answer fails. The largest that are asked for are pages of the
  // platform's store: 1 MB of values, or one value of 1 MiB, in base64.
  std::size_t maximum_answer_bytes = 8U << 20U;
};

// Time limits of a fetch.
struct FetchTimeouts {
  // The same limit for both.
  FetchTimeouts(std::chrono::milliseconds timeout)
      : progress(timeout), total(timeout) {}
  FetchTimeouts(std::chrono::milliseconds progress_timeout,
                std::chrono::milliseconds total_timeout)
      : progress(progress_timeout), total(total_timeout) {}

  // Without some kilobytes more of the answer, or its end.
  std::chrono::milliseconds progress;
  // Of the whole fetch.
  std::chrono::milliseconds total;
};

struct FetchedAnswer {
  int status = 0;
  std::vector<http::Header> headers{};
  std::string body{};
};

// Returns the bytes of one request with its Host and Content-Length.
std::string EncodeRequest(std::string_view host, const FetchRequest& request);

// Makes requests whose answers are read whole, each with time limits and at
// most once. Answers that are read at the same time share a limit of memory:
// the larger ones fail first.
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
             FetchTimeouts timeouts,
             Done done);
  // Makes the request on a reserved connection of the pool. Returns false, and
  // does not call `done`, if that connection has ended: no byte was sent.
  bool FetchReserved(EndpointPool::ReservationId reservation,
                     std::string_view host,
                     const FetchRequest& request,
                     FetchTimeouts timeouts,
                     Done done);

 private:
  class Exchange;
  friend class Exchange;

  asio::io_context& m_context;
  EndpointPool& m_pool;
  std::unordered_set<std::shared_ptr<Exchange>> m_exchanges;
  std::size_t m_held_bytes = 0;  // Of answers that are not whole yet.
};

}  // namespace radishrudder::exchange

#endif  // RADISHRUDDER_EXCHANGE_FETCHER_H_
