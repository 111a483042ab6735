#include "source/radishrudder/http/connection_share.h"

#include <sys/socket.h>

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

#include "radishrudder/kernel/boot_time.h"
#include "source/radishrudder/exchange/socket_options.h"

namespace radishrudder::http {
namespace {

// What a connection takes without a request: mostly its buffer.
constexpr std::size_t kConnectionBytes = 24U << 10U;
// A body is held by the parser's string, which doubles, or later as two copies
// and what is sent on.
constexpr std::size_t kBodyCopies = 3;
// A head in the smallest headers takes this many times its size.
constexpr std::size_t kHeadFactor = 32;
constexpr std::size_t kMaximumHeadBytes = 16U << 10U;
constexpr std::string_view kRefusal =
    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
    "Connection: close\r\nContent-Length: 0\r\n\r\n";

// Memory that a request of which this many bytes have been read takes at most.
std::size_t MemoryOf(std::size_t bytes) {
  const std::size_t head = std::min(bytes, kMaximumHeadBytes);
  return head * kHeadFactor + (bytes - head) * kBodyCopies;
}

}  // namespace

ConnectionMemory::ConnectionMemory(std::size_t limit_bytes)
    : m_state(std::make_unique<State>()) {
  m_state->account.SetLimits({.bytes = limit_bytes});
}

ConnectionMemory::~ConnectionMemory() = default;

std::size_t ConnectionMemory::BytesHeld() const {
  const std::lock_guard lock(m_state->mutex);
  return m_state->account.BytesHeld();
}

std::shared_ptr<ConnectionShare> FindShare(
    ConnectionMemory& memory,
    const asio::ip::tcp::endpoint& caller) {
  ConnectionMemory::State& state = memory.Internals();
  const std::lock_guard lock(state.mutex);
  const auto found = state.shares.find(caller);
  return found == state.shares.end() ? nullptr
                                     : found->second->weak_from_this().lock();
}

ConnectionShare::ConnectionShare(std::shared_ptr<ConnectionMemory> memory,
                                 asio::ip::tcp::endpoint caller,
                                 int socket)
    : m_memory(std::move(memory)),
      m_caller(std::move(caller)),
      m_socket(socket) {
  const kernel::Time now = kernel::Now();
  ConnectionMemory::State& state = m_memory->Internals();
  const std::lock_guard lock(state.mutex);
  m_share.emplace(state.account, static_cast<exchange::MemoryHolder&>(*this),
                  now);
  state.shares[m_caller] = this;
  Update(now);
}

ConnectionShare::~ConnectionShare() {
  Detach();
}

bool ConnectionShare::OnRead(std::size_t bytes) {
  const std::lock_guard lock(m_memory->Internals().mutex);
  if (m_revoked) {
    return false;
  }
  const kernel::Time now = kernel::Now();
  m_read += bytes;
  if (m_unsent == 0) {
    m_share->OnTransferred(bytes, now);
  }
  if (!m_share->Request(HeldBytes(), now)) {
    Revoke(now, exchange::Shortage::kMemory);
    return false;
  }
  return true;
}

std::optional<std::size_t> ConnectionShare::OnRequest() {
  const std::lock_guard lock(m_memory->Internals().mutex);
  if (m_revoked) {
    return std::nullopt;
  }
  const std::size_t held = MemoryOf(std::exchange(m_read, 0));
  m_request_bytes += held;
  ++m_requests;
  return held;
}

void ConnectionShare::OnRequestEnded(std::size_t held) {
  const std::lock_guard lock(m_memory->Internals().mutex);
  m_request_bytes -= held;
  --m_requests;
  Update(kernel::Now());
}

void ConnectionShare::OnQueued(std::size_t bytes) {
  const std::lock_guard lock(m_memory->Internals().mutex);
  const kernel::Time now = kernel::Now();
  if (m_unsent == 0) {
    m_share->Restart(now);
  }
  m_unsent += bytes;
  // An answer that does not fit is broken off rather than held.
  if (!m_revoked && !m_share->Request(HeldBytes(), now)) {
    Revoke(now, exchange::Shortage::kMemory);
  }
}

void ConnectionShare::OnWritten(std::size_t bytes) {
  const std::lock_guard lock(m_memory->Internals().mutex);
  const kernel::Time now = kernel::Now();
  m_share->OnTransferred(bytes, now);
  // Heads of answers were not counted.
  m_unsent -= std::min(m_unsent, bytes);
  Update(now);
}

bool ConnectionShare::HasCallerLeft() {
  const std::lock_guard lock(m_memory->Internals().mutex);
  return m_socket < 0 || exchange::HasPeerEnded(m_socket);
}

void ConnectionShare::Detach() {
  ConnectionMemory::State& state = m_memory->Internals();
  const std::lock_guard lock(state.mutex);
  if (std::exchange(m_socket, -1) < 0) {
    return;
  }
  m_share->Close();
  const auto found = state.shares.find(m_caller);
  if (found != state.shares.end() && found->second == this) {
    state.shares.erase(found);
  }
}

void ConnectionShare::Revoke(kernel::Time /*now*/,
                             exchange::Shortage /*shortage*/) {
  m_revoked = true;
  if (m_socket < 0) {
    return;
  }
  if (m_read > 0 && m_requests == 0 && m_unsent == 0) {
    send(m_socket, kRefusal.data(), kRefusal.size(),
         MSG_DONTWAIT | MSG_NOSIGNAL);
  }
  // The server notices the end of the connection and closes it.
  shutdown(m_socket, SHUT_RDWR);
}

exchange::Revocable ConnectionShare::RevocablePart() const {
  if (m_revoked) {
    return exchange::Revocable::kNothing;
  }
  if (m_unsent > 0) {
    return exchange::Revocable::kStalled;
  }
  return m_requests > 0 ? exchange::Revocable::kNothing
                        : exchange::Revocable::kAll;
}

std::size_t ConnectionShare::HeldBytes() const {
  return kConnectionBytes + MemoryOf(m_read) + m_request_bytes + m_unsent;
}

void ConnectionShare::Update(kernel::Time now) {
  if (!m_revoked) {
    m_share->Set(HeldBytes(), now);
  }
}

}  // namespace radishrudder::http
