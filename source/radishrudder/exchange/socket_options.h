#ifndef SOURCE_RADISHRUDDER_EXCHANGE_SOCKET_OPTIONS_H_
#define SOURCE_RADISHRUDDER_EXCHANGE_SOCKET_OPTIONS_H_

#include <asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <optional>
#include <string_view>
#include <system_error>

#include "radishrudder/exchange/memory_account.h"

namespace radishrudder::exchange {

// Parses "IP:PORT".
std::optional<asio::ip::tcp::endpoint> ParseAddress(std::string_view text);

// Opens, binds and listens. Connections that are accepted have the buffers.
std::error_code OpenAcceptor(asio::ip::tcp::acceptor& acceptor,
                             const asio::ip::tcp::endpoint& endpoint,
                             int backlog,
                             const BufferSizes& buffers);

// Sends small writes at once, and lets a peer that fell silent be noticed: by
// unacknowledged bytes after `silence`, without traffic by probes.
void SetOptions(asio::ip::tcp::socket& socket,
                std::chrono::milliseconds silence);

// Limits the bytes that the system holds for the socket until they are read.
void SetReceiveBuffer(asio::ip::tcp::socket& socket, std::size_t bytes);

// The same for an open connection whose buffer was smaller so far.
void EnlargeReceiveBuffer(asio::ip::tcp::socket& socket, std::size_t bytes);

// Returns whether the peer has ended the connection, in order or by a reset,
// also if there are bytes before the end that have not been read.
bool HasPeerEnded(int socket);

// Returns the bytes that were written and that the peer's system has not
// acknowledged; 0 if that is not known.
std::size_t UnacknowledgedBytes(asio::ip::tcp::socket& socket);

}  // namespace radishrudder::exchange

#endif  // SOURCE_RADISHRUDDER_EXCHANGE_SOCKET_OPTIONS_H_
