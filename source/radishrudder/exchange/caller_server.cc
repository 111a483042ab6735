#include "radishrudder/exchange/caller_server.h"

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <charconv>
#include <optional>
#include <utility>

#include "radishrudder/exchange/byte_blocks.h"
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

// What a connection takes without a request.
constexpr std::size_t kConnectionBytes = 8U << 10U;
// Bytes behind a request in progress that are read before its answer ends: the
// first in any case, the second while most of the memory is free. The end of a
// connection arrives behind all that its caller has sent.
constexpr std::size_t kReadAheadBytes = 16U << 10U;
constexpr std::size_t kMaximumReadAheadBytes = 256U << 10U;
// What an answer may grow by until it is asked for again.
constexpr std::size_t kAnswerStepBytes = 16U << 10U;

constexpr int kRequestTimeout = 408;
constexpr int kContentTooLarge = 413;
constexpr int kHeaderTooLarge = 431;
constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;

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
    : public std::enable_shared_from_this<Connection>,
      public MemoryHolder {
 public:
  Connection(CallerServer& server, asio::ip::tcp::socket socket)
      : m_server(server),
        m_socket(std::move(socket)),
        m_reader(MessageReader::Kind::kRequest),
        m_receive_buffer_bytes(server.m_account.Buffers().receive),
        m_silent_since(kernel::Now()),
        m_share(server.m_account, *this, m_silent_since) {
    SetOptions(m_socket, kCallerSilence);
    m_share.Set(kConnectionBytes, m_silent_since);
  }

  void Start() { Read(); }

  // Bytes that have arrived and are not read yet may be a request.
  bool IsIdle() const {
    return !m_exchange && !m_begun && !HasUnsent() && !m_lingering_since &&
           !HasUnread();
  }
  bool HasUnsent() const { return m_writing || !m_outgoing.IsEmpty(); }
  std::size_t UnsentBytes() const {
    return m_outgoing.Size() + (m_writing ? m_sending.size() - m_sent : 0);
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
    } else if (m_read_deferred) {
      CloseIfPeerEnded();
    }
  }

  // Closes the connection if its caller has ended it, whether or not that has
  // been read. Returns whether it has.
  bool CloseIfPeerEnded() {
    if (!HasPeerEnded(m_socket.native_handle())) {
      return false;
    }
    Close();
    return true;
  }

  // Whether a part of a request has been read.
  bool IsIncomplete() const { return m_begun && !m_exchange; }

  void RefuseIncomplete(const MakeRefusal& make_answer) {
    Refuse(make_answer ? make_answer({m_reader.TakeRequest(), {}, *m_begun})
                       : AnswerHead{kUnavailable, {}});
  }

  Revocable RevocablePart() const override {
    if (m_revoked) {
      return Revocable::kNothing;
    }
    if (HasUnsent()) {
      return Revocable::kStalled;
    }
    return m_exchange && m_incoming.size() < kReadAheadBytes
               ? Revocable::kNothing
               : Revocable::kAll;
  }

  void Revoke(kernel::Time now, Shortage shortage) override {
    if (IsIncomplete()) {
      RefuseIncomplete(m_server.m_make_refusal);
      if (shortage == Shortage::kMemory) {
        m_share.Set(HeldBytes(), now);
        return;
      }
    }
    if (shortage == Shortage::kMemory && m_exchange) {
      // The call that needs the memory must not be interrupted by the end of
      // this one.
      m_revoked = true;
      CloseLater();
      return;
    }
    Close();
  }

  void Close() {
    if (!m_socket.is_open()) {
      return;
    }
    const auto self = shared_from_this();
    std::error_code ignored;
    if (m_exchange && m_ends_with_connection) {
      // An end in order would complete the answer.
      m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    m_socket.close(ignored);
    m_share.Close();
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
    bool EndIfCallerLeft() override {
      const auto connection = Current();
      return connection && connection->CloseIfPeerEnded();
    }
    std::size_t BytesBehind() const override {
      const auto connection = m_connection.lock();
      return connection ? connection->m_incoming.size() : 0;
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
    bool HoldRequest(std::size_t bytes) override {
      const auto connection = Current();
      return connection && connection->HoldRequest(bytes);
    }
    void SetBuffered(std::size_t bytes) override {
      const auto connection = Current();
      if (connection && connection->m_buffered_bytes != bytes) {
        connection->m_buffered_bytes = bytes;
        connection->UpdateShare(kernel::Now());
      }
    }
    bool MayHoldMore() override {
      const auto connection = Current();
      return connection && connection->MayHoldMore();
    }
    bool IsStalled() const override {
      const auto connection = Current();
      return connection && connection->HasUnsent() &&
             connection->m_share.IsStalled(kernel::Now());
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
    if (IsAnswering() && !MayReadAhead()) {
      m_read_deferred = true;
      return;
    }
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
            if (!self->HasUnsent()) {
              self->m_share.OnTransferred(size, self->m_read_at);
            }
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

  bool MayReadAhead() const {
    return m_incoming.size() < kReadAheadBytes ||
           (m_incoming.size() < kMaximumReadAheadBytes &&
            m_server.m_account.HasSpare(kMaximumReadAheadBytes));
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

  // Whether an earlier request keeps the next one waiting.
  bool IsAnswering() const { return m_exchange || HasUnsent(); }

  // Reads the next request once none is in progress.
  void Advance() {
    const CallerLimits& limits = m_server.m_limits;
    const kernel::Time now = kernel::Now();
    if (IsAnswering() || m_incoming.empty()) {
      UpdateShare(now);
      return;
    }
    if (!m_begun) {
      m_begun = now;
      m_reader.Reset();
      m_share.Restart(now);
    }
    const ReadProgress progress = m_reader.Feed(m_incoming);
    m_incoming.erase(0, progress.consumed);
    if (m_incoming.empty() && m_incoming.capacity() > kReadBytes) {
      Free(m_incoming);
    }
    if (progress.state == ReadState::kMalformed) {
      Refuse({kBadRequest, {}});
    } else if (m_reader.HeadBytes() > limits.head_bytes) {
      Refuse({kHeaderTooLarge, {}});
    } else if (std::max<std::uint64_t>(
                   m_reader.AnnouncedBodyBytes().value_or(0),
                   m_reader.BodyBytesHeld()) > limits.body_bytes) {
      Refuse({kContentTooLarge, {}});
    } else if (!m_share.Request(HeldBytes(), now)) {
      RefuseIncomplete(m_server.m_make_refusal);
    } else if (progress.state == ReadState::kComplete) {
      Dispatch(now);
    } else {
      AwaitRest();
    }
  }

  // Prepares for the part of a request that has not arrived.
  void AwaitRest() {
    m_reader.ReserveBody();
    if (m_reader.HeadComplete()) {
      EnlargeReceiveBuffer();
    }
    if (m_reader.HeadComplete() && !m_continued &&
        http::EqualNames(http::FindHeader(m_reader.Request().headers, "Expect"),
                         "100-continue")) {
      m_continued = true;
      Send("HTTP/1.1 100 Continue\r\n\r\n");
    }
  }

  // A large body arrives slowly through a small window.
  void EnlargeReceiveBuffer() {
    const BufferSizes sizes = m_server.m_account.Buffers();
    if (m_receive_buffer_bytes >= sizes.large_receive ||
        m_reader.AnnouncedBodyBytes().value_or(sizes.large_receive) <=
            sizes.receive) {
      return;
    }
    const std::size_t previous =
        std::exchange(m_receive_buffer_bytes, sizes.large_receive);
    if (m_share.Request(HeldBytes(), kernel::Now())) {
      exchange::EnlargeReceiveBuffer(m_socket, sizes.large_receive);
    } else {
      m_receive_buffer_bytes = previous;
    }
  }

  void Dispatch(kernel::Time now) {
    const std::size_t head_bytes = m_reader.HeadMemory();
    ReceivedRequest request{m_reader.TakeRequest(), m_reader.TakeBody(),
                            *m_begun};
    m_request_bytes = head_bytes + request.body.capacity();
    m_begun.reset();
    m_continued = false;
    m_keep = request.head.keep_alive;
    m_chunked_ok = request.head.chunked_ok;
    m_head_only = request.head.method == "HEAD";
    const auto exchange = std::make_shared<Exchange>(weak_from_this());
    m_exchange = exchange;
    UpdateShare(now);
    m_server.m_handler(std::move(request), exchange);
  }

  // Memory that this process holds for the caller. What a head announces counts
  // at once, so that a body that does not fit is refused before it is sent.
  std::size_t HeldBytes() const {
    std::size_t bytes = kConnectionBytes + m_incoming.capacity() +
                        m_outgoing.AllocatedBytes() + m_sending.capacity() +
                        m_buffered_bytes + m_request_bytes;
    if (m_begun) {
      bytes += m_reader.HeadMemory() +
               std::max<std::size_t>(m_reader.AnnouncedBodyBytes().value_or(0),
                                     m_reader.BodyMemory());
    }
    // What exceeds the first size counts in any case, the rest once it fills.
    const std::size_t first = m_server.m_account.Buffers().receive;
    return bytes + (m_receive_buffer_bytes - first) +
           (m_read_deferred ? first : 0);
  }

  void UpdateShare(kernel::Time now) {
    if (!m_revoked) {
      m_share.Set(HeldBytes(), now);
    }
  }

  bool HoldRequest(std::size_t bytes) {
    const std::size_t previous = std::exchange(m_request_bytes, bytes);
    const kernel::Time now = kernel::Now();
    if (m_share.Request(HeldBytes(), now) && m_share.RequestSocket(now)) {
      return true;
    }
    m_request_bytes = previous;
    return false;
  }

  bool MayHoldMore() {
    return !m_revoked &&
           UnsentBytes() + kAnswerStepBytes <=
               m_server.m_account.MaximumAnswerBytes() &&
           m_share.MayGrow(kAnswerStepBytes, kernel::Now());
  }

  // Answers a request that was not taken, and closes the connection.
  void Refuse(const AnswerHead& head) {
    m_keep = false;
    m_refusing = true;
    m_begun.reset();
    m_reader.Reset();
    Free(m_incoming);
    std::string text;
    AppendHead(head, text);
    AppendHeader("Content-Length", "0", text);
    text += "\r\n";
    m_ending = true;
    Send(text);
    UpdateShare(kernel::Now());
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
      m_ends_with_connection = true;
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
    m_share.ReleaseSocket();
    m_request_bytes = 0;
    m_buffered_bytes = 0;
    m_silent_since = kernel::Now();
    m_ending = !m_keep;
  }

  void Send(std::string_view text) {
    if (m_revoked) {
      return;
    }
    const bool first = !HasUnsent();
    m_outgoing.Append(text);
    if (first) {
      m_share.Restart(kernel::Now());
      WriteMore();
    }
    if (HasUnsent()) {
      UpdateShare(kernel::Now());
    }
  }

  void WriteMore() {
    // Most answers fit the socket's buffer: try before waiting.
    std::error_code error;
    m_socket.non_blocking(true, error);
    while (!m_outgoing.IsEmpty()) {
      m_sending = m_outgoing.TakeFirst();
      m_sent = error ? 0 : m_socket.write_some(asio::buffer(m_sending), error);
      if (error && error != asio::error::would_block) {
        Free(m_sending);
        CloseLater();
        return;
      }
      if (m_sent < m_sending.size()) {
        m_writing = true;
        WriteRest();
        return;
      }
    }
    Free(m_sending);
    OnWritten();
  }

  void WriteRest() {
    m_socket.async_write_some(
        asio::buffer(m_sending) + m_sent,
        [self = shared_from_this()](std::error_code error, std::size_t size) {
          if (!self->m_socket.is_open() || self->m_revoked) {
            return;
          }
          if (error) {
            self->Close();
            return;
          }
          self->OnWrote(size);
        });
  }

  void OnWrote(std::size_t size) {
    const kernel::Time now = kernel::Now();
    m_share.OnTransferred(size, now);
    m_sent += size;
    if (m_sent < m_sending.size()) {
      WriteRest();
    } else {
      m_writing = false;
      WriteMore();
      UpdateShare(now);
    }
    // The handler may be replaced while it runs.
    if (const auto written = m_written) {
      written();
    }
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
      Free(m_incoming);
    }
    UpdateShare(kernel::Now());
    if (!m_exchange && (!m_incoming.empty() || m_read_deferred)) {
      asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (self->m_socket.is_open() && !self->m_lingering_since) {
          self->Advance();
        }
        self->ResumeReading();
      });
    }
  }

  void ResumeReading() {
    if (m_socket.is_open() && std::exchange(m_read_deferred, false)) {
      Read();
    }
  }

  CallerServer& m_server;
  asio::ip::tcp::socket m_socket;
  MessageReader m_reader;
  std::array<char, kReadBytes> m_buffer{};
  std::string m_incoming;
  ByteBlocks m_outgoing;
  std::string m_sending;
  std::size_t m_sent = 0;                      // Bytes of `m_sending`.
  std::size_t m_request_bytes = 0;             // Of the request in progress.
  std::size_t m_buffered_bytes = 0;            // Of its answer, held elsewhere.
  std::size_t m_receive_buffer_bytes;          // Of the system; 0: not limited.
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
  bool m_ends_with_connection = false;  // The answer, which has begun.
  bool m_ending = false;                // Close once everything is written.
  bool m_refusing = false;              // A request was refused unread.
  bool m_dropping = false;              // Bytes arrived that are not read.
  bool m_read_deferred = false;  // The next read begins after the answer.
  bool m_revoked = false;        // The connection is about to be closed.
  MemoryShare m_share;
};

CallerServer::CallerServer(asio::io_context& context, Handler handler)
    : CallerServer(context, m_own_account, std::move(handler)) {}

CallerServer::CallerServer(asio::io_context& context,
                           MemoryAccount& account,
                           Handler handler)
    : m_context(context),
      m_account(account),
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
  const std::error_code error =
      OpenAcceptor(m_acceptor, *endpoint, kBacklog, m_account.Buffers());
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
  if (!m_account.AdmitConnection(kernel::Now())) {
    return;  // Its caller sees that nothing of a request has been read.
  }
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

void CallerServer::RefuseIncomplete(const MakeRefusal& make_answer) {
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
