#ifndef RADISHRUDDER_HTTP_CLIENT_H_
#define RADISHRUDDER_HTTP_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "radishrudder/http/server.h"

namespace radishrudder::http {

struct ClientRequest {
  std::string method = "GET";
  std::string url = {};
  std::vector<Header> headers = {};
  std::string body = {};
  std::chrono::milliseconds timeout{0};  // 0: none.
  std::chrono::milliseconds connect_timeout{2000};
  std::size_t maximum_body_bytes = 64U << 20U;
};

// How a request ended.
struct ClientResult {
  std::error_code error;  // Set when no whole answer came.
  int status = 0;
  // False only when no byte of the request can have reached the server.
  bool may_have_been_sent = true;
};

// Called on the client's own thread, in this order.
struct ClientHandlers {
  std::function<void(int status, std::vector<Header> headers)> on_head = {};
  std::function<void(std::string_view data)> on_data = {};
  std::function<void(const ClientResult& result)> on_done = {};
};

struct WholeAnswer {
  ClientResult result;
  std::vector<Header> headers = {};
  std::string body = {};
};

// HTTP client on libcurl: many requests, one thread. Only GET and HEAD use kept
// connections, on which libcurl may send a request a second time; any other
// request is sent at most once.
class Client {
 public:
  Client();
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Starts a request; returns a number for `Cancel`. `on_done` is called
  // exactly once, also after a cancel and when the client is stopped.
  std::uint64_t Start(ClientRequest request, ClientHandlers handlers);
  void Cancel(std::uint64_t request);
  // Cancels every request and joins the thread; later requests are cancelled
  // at once, on the calling thread. To be called before what the handlers use
  // is destroyed, and not on the client's thread.
  void Stop();

  // Starts a request whose answer is collected and handed over whole.
  std::uint64_t Fetch(ClientRequest request,
                      std::function<void(WholeAnswer)> on_done);
  // Waits for the whole answer. Not to be called on the client's thread.
  WholeAnswer FetchNow(ClientRequest request);

 private:
  struct Implementation;
  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace radishrudder::http

#endif  // RADISHRUDDER_HTTP_CLIENT_H_
