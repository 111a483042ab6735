#ifndef RADISHRUDDER_SOURCE_HTTP_CONNECTION_SHARE_H_
#define RADISHRUDDER_SOURCE_HTTP_CONNECTION_SHARE_H_

#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

#include "radishrudder/exchange/memory_account.h"
#include "radishrudder/http/connection_memory.h"
#include "radishrudder/kernel/time.h"

namespace radishrudder::http {

// What the caller of one connection makes a server hold. Thread-safe.
class ConnectionShare : private exchange::MemoryHolder,
                        public std::enable_shared_from_this<ConnectionShare> {
 public:
  ConnectionShare(std::shared_ptr<ConnectionMemory> memory,
                  asio::ip::tcp::endpoint caller,
                  int socket);
  ~ConnectionShare() override;
  ConnectionShare(const ConnectionShare&) = delete;
  ConnectionShare& operator=(const ConnectionShare&) = delete;

  // Bytes have been read. Returns false if the connection has been refused:
  // they must not be used.
  bool OnRead(std::size_t bytes);
  // A whole request has been read. Returns the memory that it holds until
  // `OnRequestEnded`, or nothing if its caller was told that it is refused.
  std::optional<std::size_t> OnRequest();
  void OnRequestEnded(std::size_t held);
  // Bytes of an answer wait to be written, and have been written.
  void OnQueued(std::size_t bytes);
  void OnWritten(std::size_t bytes);
  // Whether the caller has ended the connection, read or not, or the server.
  bool HasCallerLeft();
  // The socket is about to be closed.
  void Detach();

 private:
  void Revoke(kernel::Time now, exchange::Shortage shortage) override;
  exchange::Revocable RevocablePart() const override;
  std::size_t HeldBytes() const;
  void Update(kernel::Time now);

  std::shared_ptr<ConnectionMemory> m_memory;
  asio::ip::tcp::endpoint m_caller;
  int m_socket;  // -1: closed.
  bool m_revoked = false;
  std::size_t m_requests = 0;       // In progress.
  std::size_t m_read = 0;           // Bytes of the next request.
  std::size_t m_request_bytes = 0;  // Held by requests in progress.
  std::size_t m_unsent = 0;         // Bytes of answers.
  std::optional<exchange::MemoryShare> m_share;
};

struct ConnectionMemory::State {
  std::mutex mutex;  // Guards all that follows, and the shares.
  exchange::MemoryAccount account;
  std::map<asio::ip::tcp::endpoint, ConnectionShare*> shares;
};

// Returns the share of an open connection, or null.
std::shared_ptr<ConnectionShare> FindShare(
    ConnectionMemory& memory,
    const asio::ip::tcp::endpoint& caller);

}  // namespace radishrudder::http

#endif  // RADISHRUDDER_SOURCE_HTTP_CONNECTION_SHARE_H_
