#ifndef RADISHRUDDER_HTTP_SERVER_H_
#define RADISHRUDDER_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "radishrudder/http/connection_memory.h"
#include "radishrudder/http/header.h"

namespace radishrudder::http {

struct Request {
  std::string method;
  std::string target;  // Path and query as sent.
  std::string path;    // Without the query.
  std::string query;
  std::vector<Header> headers;
  std::string body;
};

// Answer to one request. May be used from any thread; what comes after
// `Finish` or after the caller has gone is ignored.
class Responder {
 public:
  virtual ~Responder() = default;
  // Sends a whole answer.
  virtual void Reply(int status,
                     std::vector<Header> headers,
                     std::string body) = 0;
  // Begins an answer of unknown length; `Write` adds to it, `Finish` ends it.
  virtual void Begin(int status, std::vector<Header> headers) = 0;
  virtual void Write(std::string data) = 0;
  virtual void Finish() = 0;
  // Closes the connection without the end mark of a whole answer.
  virtual void Abort() = 0;
  // Calls `handler` once if the caller goes before the answer is finished.
  virtual void OnGone(std::function<void()> handler) = 0;
  // Whether the caller has ended its connection, also if that has not been
  // read. False if the memory of callers has no limit.
  virtual bool HasCallerLeft() = 0;
};

// Called on one of the server's threads: must not block.
using Handler = std::function<void(Request, std::shared_ptr<Responder>)>;

struct ServerSettings {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;  // 0: any free port.
  std::size_t threads = 2;
  // Longer bodies are refused with 413; from twice the size on, the connection
  // is closed.
  std::size_t maximum_body_bytes = 8U << 20U;
  // What callers of this and other servers may hold together; null: no limit.
  std::shared_ptr<ConnectionMemory> memory{};
};

// HTTP/1.1 server on RESTinio.
class Server {
 public:
  Server(ServerSettings settings, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // Binds and starts the threads. The port is bound exclusively.
  std::error_code Start();
  // Returns the bound port.
  std::uint16_t Port() const;
  // Refuses new connections; open answers go on. Kept connections are closed
  // after their next answer.
  void StopAccepting();
  // Waits for finished answers to be written, tells the others that their
  // callers have gone, joins the threads and closes every connection, at the
  // latest when its responders are released.
  void Stop();

 private:
  struct Implementation;
  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace radishrudder::http

#endif  // RADISHRUDDER_HTTP_SERVER_H_
