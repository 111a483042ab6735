#include "source/radishrudder/exchange/socket_options.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <charconv>

#include "radishrudder/exchange/address.h"

namespace radishrudder::exchange {
namespace {

// Seconds without traffic before a probe, between probes, and probes without
// an answer that end a connection.
constexpr int kProbeIdleSeconds = 1;
constexpr int kProbeIntervalSeconds = 1;
constexpr int kProbes = 2;

void SetOption(int socket, int level, int name, int value) {
  // A socket that does not take an option still works, only slower to notice
  // a silent peer; the deadlines of requests hold all the same.
  setsockopt(socket, level, name, &value, sizeof(value));
}

}  // namespace

std::optional<asio::ip::tcp::endpoint> ParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::error_code error;
  const auto ip =
      asio::ip::make_address_v4(std::string(text.substr(0, colon)), error);
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
  if (error || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return asio::ip::tcp::endpoint(ip, port);
}

bool IsAddress(std::string_view text) {
  // A null character would end the text for the parser.
  constexpr std::string_view kCharacters = "0123456789.:";
  const auto endpoint = ParseAddress(text);
  return endpoint && endpoint->port() != 0 &&
         text.find_first_not_of(kCharacters) == std::string_view::npos;
}

std::error_code OpenAcceptor(asio::ip::tcp::acceptor& acceptor,
                             const asio::ip::tcp::endpoint& endpoint,
                             int backlog,
                             const BufferSizes& buffers) {
  std::error_code error;
  acceptor.open(endpoint.protocol(), error);
  const int handle = acceptor.native_handle();
  if (!error && buffers.receive > 0) {
    SetOption(handle, SOL_SOCKET, SO_RCVBUF, static_cast<int>(buffers.receive));
  }
  if (!error && buffers.send > 0) {
    SetOption(handle, SOL_SOCKET, SO_SNDBUF, static_cast<int>(buffers.send));
  }
  if (!error) {
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(endpoint, error);
  }
  if (!error) {
    acceptor.listen(backlog, error);
  }
  return error;
}

void SetOptions(asio::ip::tcp::socket& socket,
                std::chrono::milliseconds silence) {
  const int handle = socket.native_handle();
  SetOption(handle, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(silence.count()));
  SetOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, kProbeIdleSeconds);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, kProbeIntervalSeconds);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPCNT, kProbes);
}

void SetReceiveBuffer(asio::ip::tcp::socket& socket, std::size_t bytes) {
  SetOption(socket.native_handle(), SOL_SOCKET, SO_RCVBUF,
            static_cast<int>(bytes));
}

void EnlargeReceiveBuffer(asio::ip::tcp::socket& socket, std::size_t bytes) {
  SetReceiveBuffer(socket, bytes);
  // Otherwise the window stays at what the first buffer allowed.
  SetOption(socket.native_handle(), IPPROTO_TCP, TCP_WINDOW_CLAMP,
            static_cast<int>(bytes));
}

bool HasPeerEnded(int socket) {
  // Errors and resets are reported in any case.
  pollfd state{.fd = socket, .events = POLLRDHUP, .revents = 0};
  return poll(&state, 1, 0) > 0;
}

std::size_t UnacknowledgedBytes(asio::ip::tcp::socket& socket) {
  int bytes = 0;
  return ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0
             ? static_cast<std::size_t>(bytes)
             : 0;
}

}  // namespace radishrudder::exchange
