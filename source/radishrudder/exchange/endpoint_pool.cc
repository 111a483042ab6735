#include "radishrudder/exchange/endpoint_pool.h"

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <charconv>
#include <optional>
#include <utility>

#include "radishrudder/kernel/boot_time.h"
#include "source/radishrudder/exchange/socket_options.h"

namespace radishrudder::exchange {
namespace {

constexpr std::size_t kReadBytes = 8192;

// Returns the idle timeout that an answer states, if it does.
std::optional<std::chrono::seconds> StatedIdleTimeout(
    const ResponseHead& head) {
  constexpr std::string_view kName = "timeout=";
  const std::string_view value = http::FindHeader(head.headers, "Keep-Alive");
  const std::size_t begin = value.find(kName);
  if (begin == std::string_view::npos) {
    return std::nullopt;
  }
  int seconds = 0;
  const char* first = value.data() + begin + kName.size();
  const auto parsed =
      std::from_chars(first, value.data() + value.size(), seconds);
  if (parsed.ec != std::errc() || seconds < 0) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds);
}

}  // namespace

class EndpointPool::Connection
    : public std::enable_shared_from_this<Connection> {
 public:
  Connection(EndpointPool& pool, std::string address)
      : m_pool(pool),
        m_address(std::move(address)),
        m_socket(pool.m_context),
        m_timer(pool.m_context),
        m_reader(MessageReader::Kind::kResponse) {}

  const std::string& Address() const { return m_address; }
  kernel::Time UsableUntil() const { return m_usable_until; }
  bool IsOpen() const { return m_socket.is_open(); }
  bool IsConnected() const { return m_open; }

  void Start(ExchangeId exchange,
             OutgoingRequest request,
             bool head_only,
             AnswerListener& listener) {
    m_exchange = exchange;
    m_reservation = 0;
    m_listener = &listener;
    m_request = std::move(request);
    m_reader.Reset(head_only);
    m_head_only = head_only;
    m_head_taken = false;
    m_keep = true;
    if (m_open) {
      Write();
    } else {
      Connect();
    }
  }

  // Opens the connection, if it is not open, for a later `Start`.
  void Reserve(ReservationId reservation) {
    m_reservation = reservation;
    if (!m_open) {
      Connect();
      return;
    }
    asio::post(m_pool.m_context, [self = shared_from_this(), reservation] {
      if (self->m_reservation == reservation && self->m_open) {
        self->m_pool.OnReservation(reservation, /*open=*/true);
      }
    });
  }

  std::size_t UnacknowledgedRequestBytes() {
    return m_open ? exchange::UnacknowledgedBytes(m_socket) : 0;
  }

  void PauseReading() { m_paused = true; }
  void ResumeReading() {
    m_paused = false;
    if (std::exchange(m_read_deferred, false)) {
      Read();
    }
  }

  // Ends the exchange without telling the listener.
  void Close() {
    std::error_code ignored;
    if (m_listener != nullptr && m_open) {
      // A reset also drops what has not reached the endpoint yet, and ends its
      // work at once.
      m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    m_listener = nullptr;
    m_reservation = 0;
    m_open = false;
    m_timer.cancel();
    m_socket.close(ignored);
  }

 private:
  void Connect() {
    const auto endpoint = ParseAddress(m_address);
    if (!endpoint) {
      FailLater();
      return;
    }
    ++m_pool.m_opened;
    m_timer.expires_after(m_pool.m_settings.connect_timeout);
    m_timer.async_wait([self = shared_from_this()](std::error_code error) {
      if (!error && !self->m_open) {
        self->FailToConnect();
      }
    });
    m_socket.async_connect(*endpoint, [self = shared_from_this()](
                                          std::error_code error) {
      if (self->m_listener == nullptr && self->m_reservation == 0) {
        return;
      }
      if (error) {
        self->FailToConnect();
        return;
      }
      self->m_timer.cancel();
      self->m_open = true;
      SetOptions(self->m_socket, self->m_pool.m_settings.silence_timeout);
      if (const std::size_t size = self->m_pool.m_settings.receive_buffer_bytes;
          size > 0) {
        SetReceiveBuffer(self->m_socket, size);
      }
      if (self->m_reservation != 0) {
        self->m_pool.OnReservation(self->m_reservation, /*open=*/true);
      } else {
        self->Write();
      }
      if (self->m_open) {
        self->Read();
      }
    });
  }

  // The listener must not hear of the failure while it still starts.
  void FailLater() {
    asio::post(m_pool.m_context,
               [self = shared_from_this()] { self->FailToConnect(); });
  }

  void FailToConnect() {
    if (m_listener != nullptr) {
      Fail(Failure::kNotSent);
    } else if (m_reservation != 0) {
      LoseReservation();
    }
  }

  void LoseReservation() {
    const auto self = shared_from_this();
    const ReservationId reservation = m_reservation;
    Close();
    m_pool.OnReservation(reservation, /*open=*/false);
  }

  void Write() {
    m_writing = true;
    m_listener->OnSending();
    if (m_listener == nullptr) {
      return;
    }
    const std::array<asio::const_buffer, 2> parts{asio::buffer(m_request.bytes),
                                                  asio::buffer(m_request.body)};
    asio::async_write(
        m_socket, parts,
        [self = shared_from_this()](std::error_code error, std::size_t) {
          self->m_request = {};
          // An answer may have come before the connection broke: the read
          // decides. The request stays unwritten.
          self->m_writing = static_cast<bool>(error);
        });
  }

  void Read() {
    if (m_paused) {
      m_read_deferred = true;
      return;
    }
    m_socket.async_read_some(
        asio::buffer(m_buffer),
        [self = shared_from_this()](std::error_code error, std::size_t size) {
          self->OnRead(error, size);
        });
  }

  void OnRead(std::error_code error, std::size_t size) {
    if (m_reservation != 0) {
      LoseReservation();
      return;
    }
    if (m_listener == nullptr) {
      // Idle: an end, an error and bytes that nobody asked for all mean that
      // the connection is not used again.
      if (m_open) {
        const auto self = shared_from_this();
        m_pool.DropIdle(*this);
        Close();
      }
      return;
    }
    if (error) {
      OnBroken(error == asio::error::eof);
      return;
    }
    if (Consume(std::string_view(m_buffer.data(), size))) {
      Read();
    }
  }

  // Returns whether more is to be read from this connection.
  bool Consume(std::string_view bytes) {
    const auto self = shared_from_this();
    while (true) {
      const ReadProgress progress = m_reader.Feed(bytes);
      bytes.remove_prefix(progress.consumed);
      if (progress.state == ReadState::kMalformed) {
        Fail(Failure::kMalformed);
        return false;
      }
      if (!HandOver()) {
        return false;
      }
      if (progress.state != ReadState::kComplete) {
        return true;
      }
      if (!m_foreign) {
        return Finish(!bytes.empty());
      }
      // The answer to another request came first; ours may follow.
      m_keep = false;
      m_foreign = false;
      m_head_taken = false;
      m_reader.Reset(m_head_only);
      if (bytes.empty()) {
        return true;
      }
    }
  }

  // Passes on what the reader holds. Returns false if the listener is done.
  bool HandOver() {
    if (!m_reader.HeadComplete()) {
      return true;
    }
    if (!m_head_taken) {
      m_head_taken = true;
      const HeadVerdict verdict = m_listener->OnHead(m_reader.Response());
      if (m_listener == nullptr) {
        return false;
      }
      if (verdict == HeadVerdict::kReject) {
        End();
        return false;
      }
      m_foreign = verdict == HeadVerdict::kSkip;
    }
    std::string body = m_reader.TakeBody();
    if (!body.empty() && !m_foreign) {
      m_listener->OnBody(std::move(body));
    }
    return m_listener != nullptr;
  }

  // The answer is whole. Returns whether to go on reading (idle).
  bool Finish(bool extra_bytes) {
    AnswerListener* listener = m_listener;
    const ResponseHead& head = m_reader.Response();
    const auto& settings = m_pool.m_settings;
    auto idle = settings.idle_timeout;
    if (const auto stated = StatedIdleTimeout(head)) {
      idle = std::min<std::chrono::milliseconds>(
          idle, *stated - settings.idle_margin);
    }
    // A request that is not written whole before its answer ends leaves the
    // connection in a state that the next request must not meet.
    const bool keep = m_keep && head.keep_alive && !extra_bytes && !m_writing &&
                      idle.count() > 0;
    m_paused = false;
    m_listener = nullptr;
    m_pool.OnDone(m_exchange);
    if (keep) {
      m_usable_until = kernel::Now() + idle;
      m_pool.KeepIdle(shared_from_this());
    } else {
      Close();
    }
    listener->OnEnd();
    return keep && m_open;
  }

  void OnBroken(bool in_order) {
    const auto self = shared_from_this();
    if (!m_foreign && m_head_taken &&
        m_reader.OnEnd({.in_order = in_order, .request_written = !m_writing}) ==
            ReadState::kComplete) {
      if (HandOver()) {
        m_keep = false;
        Finish(false);
      }
      return;
    }
    Fail(Failure::kInterrupted);
  }

  // Closes the connection; the listener hears no more.
  void End() {
    m_pool.OnDone(m_exchange);
    Close();
  }

  void Fail(Failure failure) {
    const auto self = shared_from_this();
    AnswerListener* listener = m_listener;
    End();
    listener->OnFailure(failure);
  }

  EndpointPool& m_pool;
  std::string m_address;
  asio::ip::tcp::socket m_socket;
  asio::steady_timer m_timer;
  MessageReader m_reader;
  std::array<char, kReadBytes> m_buffer{};
  OutgoingRequest m_request;  // Until it is written.
  ExchangeId m_exchange = 0;
  ReservationId m_reservation = 0;  // 0: not reserved.
  AnswerListener* m_listener = nullptr;
  bool m_open = false;
  bool m_writing = false;  // The request is not written whole.
  bool m_head_only = false;
  bool m_head_taken = false;
  bool m_foreign = false;
  bool m_paused = false;         // Nothing more is to be read for now.
  bool m_read_deferred = false;  // The next read begins when that ends.
  bool m_keep = true;            // Nothing yet that forbids using it again.
  kernel::Time m_usable_until{};
};

EndpointPool::EndpointPool(asio::io_context& context, PoolSettings settings)
    : m_context(context), m_settings(settings) {}

EndpointPool::~EndpointPool() {
  for (const auto& [exchange, connection] : m_active) {
    connection->Close();
  }
  for (const auto& [id, reservation] : m_reserved) {
    reservation.connection->Close();
  }
  for (const auto& [address, connections] : m_idle) {
    for (const auto& connection : connections) {
      connection->Close();
    }
  }
}

EndpointPool::ExchangeId EndpointPool::Start(std::string_view address,
                                             std::string bytes,
                                             bool head_only,
                                             AnswerListener& listener) {
  const ExchangeId exchange = NextExchange();
  Start(exchange, address, OutgoingRequest{.bytes = std::move(bytes)},
        head_only, listener);
  return exchange;
}

void EndpointPool::Start(ExchangeId exchange,
                         std::string_view address,
                         OutgoingRequest request,
                         bool head_only,
                         AnswerListener& listener) {
  const std::string key(address);
  std::shared_ptr<Connection> connection = TakeIdle(key);
  if (!connection) {
    connection = std::make_shared<Connection>(*this, key);
  }
  m_active.emplace(exchange, connection);
  connection->Start(exchange, std::move(request), head_only, listener);
}

std::size_t EndpointPool::UnacknowledgedBytes(ExchangeId exchange) const {
  const auto found = m_active.find(exchange);
  return found == m_active.end() ? 0
                                 : found->second->UnacknowledgedRequestBytes();
}

void EndpointPool::Cancel(ExchangeId exchange) {
  const auto found = m_active.find(exchange);
  if (found == m_active.end()) {
    return;
  }
  const std::shared_ptr<Connection> connection = found->second;
  m_active.erase(found);
  connection->Close();
}

void EndpointPool::PauseReading(ExchangeId exchange) {
  const auto found = m_active.find(exchange);
  if (found != m_active.end()) {
    found->second->PauseReading();
  }
}

void EndpointPool::ResumeReading(ExchangeId exchange) {
  const auto found = m_active.find(exchange);
  if (found != m_active.end()) {
    const std::shared_ptr<Connection> connection = found->second;
    connection->ResumeReading();
  }
}

EndpointPool::ReservationId EndpointPool::Reserve(std::string_view address,
                                                  bool may_be_reused,
                                                  OnReserved on_reserved) {
  const std::string key(address);
  std::shared_ptr<Connection> connection =
      may_be_reused ? TakeIdle(key) : nullptr;
  if (!connection) {
    connection = std::make_shared<Connection>(*this, key);
  }
  const ReservationId id = ++m_last_reservation;
  m_reserved.emplace(id, Reservation{connection, std::move(on_reserved)});
  connection->Reserve(id);
  return id;
}

std::optional<EndpointPool::ExchangeId> EndpointPool::StartReserved(
    ReservationId reservation,
    std::string bytes,
    AnswerListener& listener) {
  const auto found = m_reserved.find(reservation);
  if (found == m_reserved.end()) {
    return std::nullopt;
  }
  const std::shared_ptr<Connection> connection = found->second.connection;
  m_reserved.erase(found);
  if (!connection->IsConnected()) {
    connection->Close();
    return std::nullopt;
  }
  const ExchangeId exchange = ++m_last;
  m_active.emplace(exchange, connection);
  connection->Start(exchange, OutgoingRequest{.bytes = std::move(bytes)},
                    /*head_only=*/false, listener);
  return exchange;
}

void EndpointPool::CancelReservation(ReservationId reservation) {
  const auto found = m_reserved.find(reservation);
  if (found != m_reserved.end()) {
    const std::shared_ptr<Connection> connection = found->second.connection;
    m_reserved.erase(found);
    connection->Close();
  }
}

void EndpointPool::OnReservation(ReservationId reservation, bool open) {
  const auto found = m_reserved.find(reservation);
  if (found == m_reserved.end()) {
    return;
  }
  const OnReserved on_reserved = found->second.on_reserved;
  if (!open) {
    m_reserved.erase(found);
  }
  on_reserved(open);
}

void EndpointPool::CloseIdle(kernel::Time now) {
  for (auto entry = m_idle.begin(); entry != m_idle.end();) {
    m_idle_count -= std::erase_if(entry->second, [now](const auto& connection) {
      const bool old = connection->UsableUntil() <= now;
      if (old) {
        connection->Close();
      }
      return old;
    });
    entry = entry->second.empty() ? m_idle.erase(entry) : std::next(entry);
  }
}

void EndpointPool::Forget(std::string_view address) {
  const auto found = m_idle.find(address);
  if (found == m_idle.end()) {
    return;
  }
  for (const auto& connection : found->second) {
    connection->Close();
  }
  m_idle_count -= found->second.size();
  m_idle.erase(found);
}

std::shared_ptr<EndpointPool::Connection> EndpointPool::TakeIdle(
    const std::string& address) {
  const auto found = m_idle.find(address);
  if (found == m_idle.end()) {
    return nullptr;
  }
  const kernel::Time now = kernel::Now();
  while (!found->second.empty()) {
    std::shared_ptr<Connection> connection = found->second.back();
    found->second.pop_back();
    --m_idle_count;
    if (connection->IsOpen() && connection->UsableUntil() > now) {
      return connection;
    }
    connection->Close();
  }
  return nullptr;
}

void EndpointPool::KeepIdle(const std::shared_ptr<Connection>& connection) {
  auto& connections = m_idle[connection->Address()];
  connections.push_back(connection);
  ++m_idle_count;
  if (connections.size() > m_settings.maximum_idle) {
    connections.front()->Close();
    connections.pop_front();
    --m_idle_count;
  }
  while (m_idle_count > m_settings.maximum_total_idle) {
    CloseOldestIdle();
  }
}

void EndpointPool::CloseOldestIdle() {
  auto oldest = m_idle.end();
  for (auto entry = m_idle.begin(); entry != m_idle.end(); ++entry) {
    if (!entry->second.empty() &&
        (oldest == m_idle.end() || entry->second.front()->UsableUntil() <
                                       oldest->second.front()->UsableUntil())) {
      oldest = entry;
    }
  }
  const std::shared_ptr<Connection> connection = oldest->second.front();
  oldest->second.pop_front();
  --m_idle_count;
  connection->Close();
}

void EndpointPool::DropIdle(const Connection& connection) {
  const auto found = m_idle.find(connection.Address());
  if (found != m_idle.end()) {
    m_idle_count -=
        std::erase_if(found->second, [&connection](const auto& other) {
          return other.get() == &connection;
        });
  }
}

void EndpointPool::OnDone(ExchangeId exchange) {
  m_active.erase(exchange);
}

}  // namespace radishrudder::exchange
