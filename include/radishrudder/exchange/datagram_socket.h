#ifndef RADISHRUDDER_EXCHANGE_DATAGRAM_SOCKET_H_
#define RADISHRUDDER_EXCHANGE_DATAGRAM_SOCKET_H_

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>

namespace radishrudder::exchange {

// Sends and receives UDP datagrams without blocking the context's thread. A
// datagram that cannot be sent at once is dropped and counted. One thread: that
// of the context.
class DatagramSocket {
 public:
  // A longer datagram is dropped.
  static constexpr std::size_t kMaximumBytes = 512;
  // Datagrams read before the context's other work gets its turn.
  static constexpr std::size_t kMaximumBatch = 32;

  enum class Operation { kSend, kReceive };
  struct Counters {
    std::uint64_t sent = 0;
    std::uint64_t send_failed = 0;
    std::uint64_t received = 0;
    std::uint64_t receive_failed = 0;
    std::uint64_t too_long = 0;  // Received and dropped.
  };
  // `sender`: "IP:PORT". The handler may close, but not destroy the socket.
  using Handler =
      std::function<void(std::string_view sender, std::string_view bytes)>;
  // Called once for each combination of an operation and an error, however
  // often it occurs. A datagram that is too long is an error of the receipt,
  // `message_size`.
  using ProblemHandler =
      std::function<void(Operation operation, std::error_code error)>;

  DatagramSocket(asio::io_context& context,
                 Handler handler,
                 ProblemHandler problem_handler);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  // Binds to "IP:PORT" (port 0: any) and starts to receive.
  std::error_code Open(std::string_view address);
  void Close();
  // Sends to "IP:PORT". Returns false if the datagram was dropped.
  bool Send(std::string_view address, std::string_view bytes);
  // The bound "IP:PORT"; empty if the socket is not open.
  std::string Address() const;
  const Counters& Count() const { return m_counters; }

 private:
  void WaitForDatagrams();
  void ReceiveBatch();
  // Returns whether another datagram may be there.
  bool ReceiveOne();
  void NoteProblem(Operation operation, std::error_code error);

  asio::ip::udp::socket m_socket;
  Handler m_handler;
  ProblemHandler m_problem_handler;
  // One byte more than the maximum shows that a datagram is too long.
  std::array<char, kMaximumBytes + 1> m_buffer{};
  std::set<std::pair<Operation, std::error_code>> m_noted;
  Counters m_counters;
  // Expires with the socket: a wait that has ended may be handled later.
  std::shared_ptr<const bool> m_alive = std::make_shared<const bool>(true);
};

}  // namespace radishrudder::exchange

#endif  // RADISHRUDDER_EXCHANGE_DATAGRAM_SOCKET_H_
