#include "radishrudder/exchange/caller_server.h"

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <charconv>
#include <optional>
#include <utility>

#include "radishrudder/kernel/boot_time.h"
#include "source/radishrudder/exchange/socket_options.h"

namespace radishrudder::exchange {
namespace {

constexpr std::size_t kReadBytes = 4096;
constexpr int kBacklog = 1024;
constexpr std::chrono::milliseconds kAcceptPause{50};
// Unacknowledged bytes of an answer end the caller's connection after this.
constexpr std::chrono::milliseconds kCallerSilence{6000};
// From the end of the last answer on a connection until it is closed, unless
// the caller closes it before.
constexpr std::chrono::milliseconds kLingerTime{1000};

constexpr int kRequestTimeout = 408;
constexpr int kContentTooLarge = 413;
constexpr int kHeaderTooLarge = 431;
constexpr int kBadRequest = 400;

void AppendHeader(std::string_view name,
                  std::string_view value,
                  std::string& text) {
  text += name;
  text += ": ";
  text += value;
  text += "\r\n";
}

void AppendChunk(std::string_view data, std::string& text) {
  std::array<char, 20> size{};
  const auto written =
      std::to_chars(size.data(), size.data() + size.size(),
                    static_cast<std::uint64_t>(data.size()), /*base=*/16);
  text.append(size.data(), written.ptr);
  text += "\r\n";
  text += data;
  text += "\r\n";
}

}  // namespace

class CallerServer::Connection
    : public std::enable_shared_from_this<Connection> {
 public:
  Connection(CallerServer& server, asio::ip::tcp::socket socket)
      : m_server(server),
        m_socket(std::move(socket)),
        m_reader(MessageReader::Kind::kRequest),
        m_silent_since(kernel::Now()) {
    SetOptions(m_socket, kCallerSilence);
  }

  void Start() { Read(); }

  // Bytes that have arrived and are not read yet may be a request.
  bool IsIdle() const {
    return !m_exchange && !m_begun && !HasUnsent() && !m_lingering_since &&
           !HasUnread();
  }
  bool HasUnsent() const { return m_writing || !m_outgoing.empty(); }
  std::size_t UnsentBytes() const {
    return m_outgoing.size() + (m_writing ? m_sending.size() : 0);
  }
  kernel::Time SilentSince() const { return m_silent_since; }

  void CheckTimes(kernel::Time now) {
    const CallerLimits& limits = m_server.m_limits;
    if (m_lingering_since) {
      if (now - *m_lingering_since >= kLingerTime) {
        Close();
      }
    } else if (IsIncomplete() && IsRequestTooSlow(now)) {
      Refuse({kRequestTimeout, {}});
    } else if (IsIdle() && now - m_silent_since >= limits.idle_timeout) {
      Close();
    }
  }

  // Whether a part of a request has been read.
  bool IsIncomplete() const { return m_begun && !m_exchange; }

  void RefuseIncomplete(
      const std::function<AnswerHead(ReceivedRequest)>& make_answer) {
    Refuse(make_answer({m_reader.Request(), {}, *m_begun}));
  }

  void Close() {
    if (!m_socket.is_open()) {
      return;
    }
    const auto self = shared_from_this();
    std::error_code ignored;
    m_socket.close(ignored);
    m_server.m_connections.erase(self);
    std::function<void()> gone = std::exchange(m_gone, nullptr);
    m_written = nullptr;
    m_exchange.reset();
    if (gone) {
      gone();
    }
  }

 private:
  // One request's answer; holds the connection only weakly.
  class Exchange : public CallerExchange {
   public:
    explicit Exchange(std::weak_ptr<Connection> connection)
        : m_connection(std::move(connection)) {}

    void Reply(const AnswerHead& head, std::string_view body) override {
      if (const auto connection = Current()) {
        connection->SendWhole(head, body);
      }
    }
    void Begin(const AnswerHead& head) override {
      if (const auto connection = Current()) {
        connection->SendBegin(head);
      }
    }
    void Write(std::string_view data) override {
      if (const auto connection = Current()) {
        connection->SendPart(data);
      }
    }
    void Finish() override {
      if (const auto connection = Current()) {
        connection->SendEnd();
      }
    }
    void Abort() override {
      if (const auto connection = Current()) {
        connection->m_gone = nullptr;
        connection->Close();
      }
    }
    void OnDisconnected(std::function<void()> handler) override {
      if (const auto connection = Current()) {
        connection->m_gone = std::move(handler);
      }
    }
    std::size_t BytesWaiting() const override {
      const auto connection = m_connection.lock();
      return connection ? connection->UnsentBytes() : 0;
    }
    void OnWritten(std::function<void()> handler) override {
      if (const auto connection = Current()) {
        connection->m_written = std::move(handler);
      }
    }

   private:
    // Returns the connection while this exchange is the one in progress.
    std::shared_ptr<Connection> Current() const {
      auto connection = m_connection.lock();
      return connection && connection->m_exchange.get() == this ? connection
                                                                : nullptr;
    }

    std::weak_ptr<Connection> m_connection;
  };

  void Read() {
    m_socket.async_read_some(
        asio::buffer(m_buffer),
        [self = shared_from_this()](std::error_code error, std::size_t size) {
          if (!self->m_socket.is_open()) {
            return;
          }
          if (error) {
            self->Close();
            return;
          }
          self->m_read_at = kernel::Now();
          if (!self->m_refusing && !self->m_lingering_since) {
            self->m_incoming.append(self->m_buffer.data(), size);
            self->Advance();
          } else if (!std::exchange(self->m_dropping, true)) {
            ++self->m_server.m_dropping;
          }
          if (self->m_socket.is_open()) {
            self->Read();
          }
        });
  }

  // Whether the rest of a request that has begun takes too long to arrive.
  bool IsRequestTooSlow(kernel::Time now) const {
    const CallerLimits& limits = m_server.m_limits;
    return m_reader.HeadComplete()
               ? now - m_read_at >= limits.idle_timeout && !HasUnread()
               : now - *m_begun >= limits.head_timeout;
  }

  bool HasUnread() const {
    std::error_code error;
    return m_socket.available(error) > 0;
  }

  // Reads the next request once none is in progress.
  void Advance() {
    // A caller that sends on while its request runs is read no further than
    // one request's limits.
    const CallerLimits& limits = m_server.m_limits;
    if (m_exchange) {
      if (m_incoming.size() > limits.head_bytes + limits.body_bytes) {
        Close();
      }
      return;
    }
    if (m_incoming.empty()) {
      return;
    }
    if (!m_begun) {
      m_begun = kernel::Now();
      m_reader.Reset();
    }
    const ReadProgress progress = m_reader.Feed(m_incoming);
    m_incoming.erase(0, progress.consumed);
    if (progress.state == ReadState::kMalformed) {
      Refuse({kBadRequest, {}});
    } else if (m_reader.HeadBytes() > limits.head_bytes) {
      Refuse({kHeaderTooLarge, {}});
    } else if (m_reader.BodyBytesHeld() > limits.body_bytes) {
      Refuse({kContentTooLarge, {}});
    } else if (progress.state == ReadState::kComplete) {
      Dispatch();
    } else if (m_reader.HeadComplete() && !m_continued &&
               http::EqualNames(
                   http::FindHeader(m_reader.Request().headers, "Expect"),
                   "100-continue")) {
      m_continued = true;
      Send("HTTP/1.1 100 Continue\r\n\r\n");
    }
  }

  void Dispatch() {
    ReceivedRequest request{m_reader.Request(), m_reader.TakeBody(), *m_begun};
    m_begun.reset();
    m_continued = false;
    m_keep = request.head.keep_alive;
    m_chunked_ok = request.head.chunked_ok;
    m_head_only = request.head.method == "HEAD";
    const auto exchange = std::make_shared<Exchange>(weak_from_this());
    m_exchange = exchange;
    m_server.m_handler(std::move(request), exchange);
  }

  // Answers a request that was not taken, and closes the connection.
  void Refuse(const AnswerHead& head) {
    m_keep = false;
    m_refusing = true;
    m_begun.reset();
    std::string text;
    AppendHead(head, text);
    AppendHeader("Content-Length", "0", text);
    text += "\r\n";
    m_ending = true;
    Send(text);
  }

  void AppendHead(const AnswerHead& head, std::string& text) {
    text += "HTTP/1.1 ";
    text += std::to_string(head.status);
    text += ' ';
    text += http::ReasonPhrase(head.status);
    text += "\r\n";
    for (const http::Header& header : head.headers) {
      if (http::IsSendable(header)) {
        AppendHeader(header.name, header.value, text);
      }
    }
    if (m_server.m_closing) {
      m_keep = false;
    }
    if (!m_keep) {
      AppendHeader("Connection", "close", text);
    }
  }

  void SendWhole(const AnswerHead& head, std::string_view body) {
    std::string text;
    AppendHead(head, text);
    const std::string_view length =
        m_head_only ? http::FindHeader(head.headers, "Content-Length")
                    : std::string_view();
    AppendHeader("Content-Length",
                 length.empty() ? std::to_string(body.size()) : length, text);
    text += "\r\n";
    if (!m_head_only) {
      text += body;
    }
    EndAnswer();
    Send(text);
  }

  void SendBegin(const AnswerHead& head) {
    std::string text;
    if (!m_chunked_ok) {
      m_keep = false;
    }
    AppendHead(head, text);
    if (m_chunked_ok) {
      AppendHeader("Transfer-Encoding", "chunked", text);
    }
    text += "\r\n";
    Send(text);
  }

  void SendPart(std::string_view data) {
    if (data.empty() || m_head_only) {
      return;
    }
    std::string text;
    if (m_chunked_ok) {
      AppendChunk(data, text);
    } else {
      text = data;
    }
    Send(text);
  }

  void SendEnd() {
    EndAnswer();
    Send(m_chunked_ok && !m_head_only ? "0\r\n\r\n" : "");
  }

  void EndAnswer() {
    m_exchange.reset();
    m_gone = nullptr;
    m_written = nullptr;
    m_silent_since = kernel::Now();
    m_ending = !m_keep;
    m_next = true;
  }

  void Send(std::string_view text) {
    m_outgoing += text;
    if (!m_writing) {
      WriteMore();
    }
  }

  void WriteMore() {
    if (m_outgoing.empty()) {
      OnWritten();
      return;
    }
    m_writing = true;
    m_sending = std::exchange(m_outgoing, {});
    // Most answers fit the socket's buffer: try before waiting.
    std::error_code error;
    m_socket.non_blocking(true, error);
    const std::size_t sent =
        error ? 0 : m_socket.write_some(asio::buffer(m_sending), error);
    if (!error && sent == m_sending.size()) {
      m_writing = false;
      OnWritten();
      return;
    }
    if (error && error != asio::error::would_block) {
      m_writing = false;
      CloseLater();
      return;
    }
    m_sending.erase(0, sent);
    asio::async_write(
        m_socket, asio::buffer(m_sending),
        [self = shared_from_this()](std::error_code failed, std::size_t) {
          self->m_writing = false;
          if (!self->m_socket.is_open()) {
            return;
          }
          if (failed) {
            self->Close();
            return;
          }
          self->WriteMore();
          // The handler may be replaced while it runs.
          if (const auto written = self->m_written) {
            written();
          }
        });
  }

  // Closes outside of the caller's own call into the exchange.
  void CloseLater() {
    asio::post(m_socket.get_executor(),
               [self = shared_from_this()] { self->Close(); });
  }

  void OnWritten() {
    if (m_ending) {
      // The caller may still be sending. Bytes left unread at the close would
      // reset the connection and with it the answer: they are read and dropped
      // until the caller closes.
      std::error_code ignored;
      m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
      m_ending = false;
      m_lingering_since = kernel::Now();
    } else if (m_next) {
      m_next = false;
      if (!m_incoming.empty()) {
        asio::post(m_socket.get_executor(), [self = shared_from_this()] {
          if (self->m_socket.is_open()) {
            self->Advance();
          }
        });
      }
    }
  }

  CallerServer& m_server;
  asio::ip::tcp::socket m_socket;
  MessageReader m_reader;
  std::array<char, kReadBytes> m_buffer{};
  std::string m_incoming;
  std::string m_outgoing;
  std::string m_sending;
  std::shared_ptr<CallerExchange> m_exchange;  // The request in progress.
  std::function<void()> m_gone;
  std::function<void()> m_written;
  std::optional<kernel::Time> m_begun;  // First byte of the next request.
  kernel::Time m_silent_since;
  kernel::Time m_read_at{};                       // When bytes were last read.
  std::optional<kernel::Time> m_lingering_since;  // Nothing more is sent.
  bool m_continued = false;
  bool m_keep = true;
  bool m_chunked_ok = true;
  bool m_head_only = false;
  bool m_writing = false;
  bool m_ending = false;    // Close once everything is written.
  bool m_refusing = false;  // A request was refused unread.
  bool m_dropping = false;  // Bytes arrived that are not read.
  bool m_next = false;      // An answer ended; the next request may begin.
};

CallerServer::CallerServer(asio::io_context& context, Handler handler)
    : m_context(context),
      m_acceptor(context),
      m_accept_pause(context),
      m_handler(std::move(handler)) {}

CallerServer::~CallerServer() {
  StopAccepting();
  while (!m_connections.empty()) {
    (*m_connections.begin())->Close();
  }
}

std::error_code CallerServer::Listen(std::string_view address) {
  const auto endpoint = ParseAddress(address);
  if (!endpoint) {
    return std::make_error_code(std::errc::invalid_argument);
  }
  const std::error_code error = OpenAcceptor(m_acceptor, *endpoint, kBacklog);
  if (!error) {
    Accept();
  }
  return error;
}

void CallerServer::StopAccepting() {
  // Connections that wait to be accepted would be reset by the close, with the
  // requests on them.
  std::error_code error;
  m_acceptor.non_blocking(true, error);
  while (m_acceptor.is_open() && !error) {
    asio::ip::tcp::socket socket(m_context);
    m_acceptor.accept(socket, error);
    if (!error) {
      Add(std::move(socket));
    }
  }
  m_acceptor.close(error);
}

void CallerServer::Add(asio::ip::tcp::socket socket) {
  const auto connection =
      std::make_shared<Connection>(*this, std::move(socket));
  m_connections.insert(connection);
  connection->Start();
}

void CallerServer::CloseIdle(kernel::Time now,
                             std::chrono::milliseconds silent) {
  const auto connections = m_connections;
  for (const auto& connection : connections) {
    if (connection->IsIdle() && now - connection->SilentSince() >= silent) {
      connection->Close();
    }
  }
}

void CallerServer::RefuseIncomplete(
    const std::function<AnswerHead(ReceivedRequest)>& make_answer) {
  const auto connections = m_connections;
  for (const auto& connection : connections) {
    if (connection->IsIncomplete()) {
      connection->RefuseIncomplete(make_answer);
    }
  }
}

void CallerServer::CheckTimes(kernel::Time now) {
  const auto connections = m_connections;
  for (const auto& connection : connections) {
    connection->CheckTimes(now);
  }
}

std::size_t CallerServer::ConnectionsWithUnsentBytes() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      m_connections,
      [](const auto& connection) { return connection->HasUnsent(); }));
}

void CallerServer::Accept() {
  m_acceptor.async_accept(
      [this](std::error_code error, asio::ip::tcp::socket socket) {
        if (!m_acceptor.is_open()) {
          return;
        }
        if (error) {
          // Most likely no descriptor is free: others end in the meantime.
          m_accept_pause.expires_after(kAcceptPause);
          m_accept_pause.async_wait([this](std::error_code stopped) {
            if (!stopped && m_acceptor.is_open()) {
              Accept();
            }
          });
          return;
        }
        Add(std::move(socket));
        Accept();
      });
}

}  // namespace radishrudder::exchange
