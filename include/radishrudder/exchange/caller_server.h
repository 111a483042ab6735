#ifndef RADISHRUDDER_EXCHANGE_CALLER_SERVER_H_
#define RADISHRUDDER_EXCHANGE_CALLER_SERVER_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

#include "radishrudder/exchange/memory_account.h"
#include "radishrudder/exchange/message_reader.h"
#include "radishrudder/kernel/time.h"

namespace radishrudder::exchange {

struct CallerLimits {
  std::size_t head_bytes = 16384;
  std::size_t body_bytes = 4194304;
  // From the first byte of a request to the end of its head.
  std::chrono::milliseconds head_timeout{3000};
  // Without a request in progress, or without a byte of a request's body.
  std::chrono::milliseconds idle_timeout{15000};
};

struct AnswerHead {
  int status = 0;
  std::vector<http::Header> headers{};
};

// Where the answer to one request goes. What is called after the answer ended
// or the caller has gone does nothing.
class CallerExchange {
 public:
  virtual ~CallerExchange() = default;
  // Sends a whole answer.
  virtual void Reply(const AnswerHead& head, std::string_view body) = 0;
  // Begins an answer of unknown length.
  virtual void Begin(const AnswerHead& head) = 0;
  virtual void Write(std::string_view data) = 0;
  // Ends it as complete.
  virtual void Finish() = 0;
  // Closes the connection, so that the answer does not look complete.
  virtual void Abort() = 0;
  // Called at most once, when the caller leaves before the answer ended.
  virtual void OnDisconnected(std::function<void()> handler) = 0;
  // Ends the exchange, as if the caller's end had been read, if the caller has
  // ended the connection. Returns whether it has. What a caller sent before it
  // left is read before its end, so that a request must not be sent on without
  // asking.
  virtual bool EndIfCallerLeft() = 0;
  // Bytes behind the request that have been read from the caller.
  virtual std::size_t BytesBehind() const = 0;
  // Bytes of answers that wait in this process for the caller to read.
  virtual std::size_t BytesWaiting() const = 0;
  // Called each time that some of them have been written to the connection,
  // until the answer ends.
  virtual void OnWritten(std::function<void()> handler) = 0;
  // Asks to hold this many bytes for the request in progress, and a connection
  // to an endpoint. Returns false if it has to be refused.
  virtual bool HoldRequest(std::size_t bytes) = 0;
  // Takes note of bytes of the answer that are held elsewhere in this process.
  virtual void SetBuffered(std::size_t bytes) = 0;
  // Returns whether this process may hold more of the answer. If not, the
  // answer may be broken off soon after, if its caller has stopped reading.
  virtual bool MayHoldMore() = 0;
  // Whether the caller has not taken any of the bytes that wait for it for a
  // while.
  virtual bool IsStalled() const = 0;
};

struct ReceivedRequest {
  RequestHead head{};
  std::string body{};
  kernel::Time received_at{};  // When its first byte was read.
};

// Takes requests of callers over kept connections, one at a time on each. One
// thread: that of the context.
class CallerServer {
 public:
  using Handler =
      std::function<void(ReceivedRequest, std::shared_ptr<CallerExchange>)>;
  using MakeRefusal = std::function<AnswerHead(ReceivedRequest)>;

  // With a memory account of its own, without limits.
  CallerServer(asio::io_context& context, Handler handler);
  // What callers hold counts in `account`, which must outlive the server.
  CallerServer(asio::io_context& context,
               MemoryAccount& account,
               Handler handler);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  std::error_code Listen(std::string_view address);
  void SetLimits(const CallerLimits& limits) { m_limits = limits; }
  // Returns the answer to what has been read of a request that is refused for
  // lack of memory; its body is left out. Without it, the status is 503.
  void OnMemoryShortage(MakeRefusal make_refusal) {
    m_make_refusal = std::move(make_refusal);
  }
  // Answers from now on say that their connection closes after them.
  void CloseAfterAnswers() { m_closing = true; }
  // Accepts no more connections than those that are already established.
  void StopAccepting();
  // Closes connections without a request in progress that were silent for at
  // least `silent`.
  void CloseIdle(kernel::Time now, std::chrono::milliseconds silent);
  // Refuses requests of which only a part has arrived. `make_answer` returns
  // the answer to what has been read of one; its body is left out.
  void RefuseIncomplete(const MakeRefusal& make_answer);
  // Applies the time limits, and looks for the end of connections that are not
  // read at present; to be called a few times a second.
  void CheckTimes(kernel::Time now);
  std::size_t Connections() const { return m_connections.size(); }
  // Connections on which bytes arrived after the last response was sent; the
  // bytes were dropped.
  std::size_t ConnectionsWithDroppedBytes() const { return m_dropping; }
  // Connections with bytes of a response that their callers have not taken yet.
  std::size_t ConnectionsWithUnsentBytes() const;

 private:
  class Connection;
  friend class Connection;

  void Accept();
  void Add(asio::ip::tcp::socket socket);

  asio::io_context& m_context;
  MemoryAccount m_own_account;
  MemoryAccount& m_account;
  asio::ip::tcp::acceptor m_acceptor;
  asio::steady_timer m_accept_pause;
  Handler m_handler;
  MakeRefusal m_make_refusal;
  CallerLimits m_limits;
  bool m_closing = false;
  std::size_t m_dropping = 0;
  std::set<std::shared_ptr<Connection>> m_connections;
};

}  // namespace radishrudder::exchange

#endif  // RADISHRUDDER_EXCHANGE_CALLER_SERVER_H_
