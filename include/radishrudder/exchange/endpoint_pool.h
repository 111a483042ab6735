#ifndef RADISHRUDDER_EXCHANGE_ENDPOINT_POOL_H_
#define RADISHRUDDER_EXCHANGE_ENDPOINT_POOL_H_

#include <asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "radishrudder/exchange/message_reader.h"
#include "radishrudder/kernel/time.h"

namespace radishrudder::exchange {

// Why a request got no whole answer.
enum class Failure {
  kNotSent,      // No connection came about: no byte has left.
  kInterrupted,  // The connection ended, was reset or fell silent.
  kMalformed     // What came is not an HTTP/1.1 answer.
};

// What the listener says of the head of an answer.
enum class HeadVerdict {
  kAccept,  // Go on with its body.
  kSkip,    // It answers another request: drop it and read the next one.
  kReject   // Close the connection; the listener hears no more.
};

// Hears of one request. The pool calls nothing after `OnEnd`, `OnFailure`, a
// rejected head or `Cancel`.
class AnswerListener {
 public:
  virtual ~AnswerListener() = default;
  // The request is about to be written to an open connection.
  virtual void OnSending() {}
  virtual HeadVerdict OnHead(const ResponseHead& head) = 0;
  virtual void OnBody(std::string data) = 0;
  // The answer is whole.
  virtual void OnEnd() = 0;
  virtual void OnFailure(Failure failure) = 0;
};

// A whole request: `bytes`, followed by `body`, which `body_owner` keeps.
struct OutgoingRequest {
  std::string bytes{};
  std::string_view body{};
  std::shared_ptr<const void> body_owner{};
};

struct PoolSettings {
  // Time for a new connection to open.
  std::chrono::milliseconds connect_timeout{300};
  // Bytes that stay unacknowledged so long end the connection.
  std::chrono::milliseconds silence_timeout{1000};
  // An idle connection is not used again after this time; the endpoint's own
  // Keep-Alive header shortens it.
  std::chrono::milliseconds idle_timeout{4000};
  // The end of an endpoint's idle timeout that is left unused.
  std::chrono::milliseconds idle_margin{1000};
  std::size_t maximum_idle = 64;  // Connections an address.
  // Idle connections to all addresses together.
  std::size_t maximum_total_idle = std::numeric_limits<std::size_t>::max();
  // Size of the system's receive buffer of a connection, which holds what is
  // not read while reading is paused; 0: the system's own choice.
  std::size_t receive_buffer_bytes = 0;
};

// Sends requests to endpoints over connections that it keeps. It never sends a
// request twice by itself. One thread: that of the context.
class EndpointPool {
 public:
  using ExchangeId = std::uint64_t;
  using ReservationId = std::uint64_t;
  // Called with true once the reserved connection is open, and with false if it
  // could not be opened or ended: the reservation is gone then.
  using OnReserved = std::function<void(bool open)>;

  EndpointPool(asio::io_context& context, PoolSettings settings);
  ~EndpointPool();
  EndpointPool(const EndpointPool&) = delete;
  EndpointPool& operator=(const EndpointPool&) = delete;

  // Returns an id that no exchange has.
  ExchangeId NextExchange() { return ++m_last; }
  // Sends a request to "IP:PORT". `exchange`: an id of `NextExchange`; on an
  // idle connection, `OnSending` is called at once, and may cancel it.
  // `head_only`: it is a HEAD request. The listener must live until it is done
  // or `Cancel` was called.
  void Start(ExchangeId exchange,
             std::string_view address,
             OutgoingRequest request,
             bool head_only,
             AnswerListener& listener);
  // The same with the next id, which it returns. `bytes`: the whole request.
  ExchangeId Start(std::string_view address,
                   std::string bytes,
                   bool head_only,
                   AnswerListener& listener);
  // Bytes of an exchange's request that the endpoint's system has not
  // acknowledged; 0 if the exchange is done.
  std::size_t UnacknowledgedBytes(ExchangeId exchange) const;
  // Closes the connection of an exchange that is not done.
  void Cancel(ExchangeId exchange);
  // Stops reading the answer of an exchange, which the peer notices as a slow
  // reader. The listener may still hear of bytes that were read before. Nothing
  // is noticed of the connection's end until reading is resumed.
  void PauseReading(ExchangeId exchange);
  void ResumeReading(ExchangeId exchange);
  // Keeps a connection to "IP:PORT" for one exchange: a new one, or an idle one
  // if there is any and `may_be_reused`. Its request then reaches the process
  // to which the connection was opened, or none. On a new one, no response to
  // an earlier request can be taken for its own. `on_reserved` is not called
  // before this function returns.
  ReservationId Reserve(std::string_view address,
                        bool may_be_reused,
                        OnReserved on_reserved);
  // Sends a request on the reserved connection, as `Start` does. Returns
  // nothing if the reservation is gone or its connection is not open: no byte
  // is sent.
  std::optional<ExchangeId> StartReserved(ReservationId reservation,
                                          std::string bytes,
                                          AnswerListener& listener);
  // Gives up a reservation and closes its connection.
  void CancelReservation(ReservationId reservation);
  // Takes effect with the next connection that becomes idle.
  void SetMaximumTotalIdle(std::size_t connections) {
    m_settings.maximum_total_idle = connections;
  }
  // Closes idle connections that are too old, or all of one address.
  void CloseIdle(kernel::Time now);
  void Forget(std::string_view address);

  std::uint64_t ConnectionsOpened() const { return m_opened; }

 private:
  class Connection;
  friend class Connection;

  std::shared_ptr<Connection> TakeIdle(const std::string& address);
  void KeepIdle(const std::shared_ptr<Connection>& connection);
  void DropIdle(const Connection& connection);
  // Closes the connection that becomes unusable first of those that have been
  // idle for longest at each address.
  void CloseOldestIdle();
  void OnDone(ExchangeId exchange);
  void OnReservation(ReservationId reservation, bool open);

  asio::io_context& m_context;
  PoolSettings m_settings;
  ExchangeId m_last = 0;
  std::uint64_t m_opened = 0;
  std::map<ExchangeId, std::shared_ptr<Connection>> m_active;
  struct Reservation {
    std::shared_ptr<Connection> connection{};
    OnReserved on_reserved{};
  };
  ReservationId m_last_reservation = 0;
  std::map<ReservationId, Reservation> m_reserved;
  // By address, the most recently used last.
  std::map<std::string, std::deque<std::shared_ptr<Connection>>, std::less<>>
      m_idle;
  std::size_t m_idle_count = 0;
};

}  // namespace radishrudder::exchange

#endif  // RADISHRUDDER_EXCHANGE_ENDPOINT_POOL_H_
