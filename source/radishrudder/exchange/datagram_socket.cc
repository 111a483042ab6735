#include "radishrudder/exchange/datagram_socket.h"

#include <asio/buffer.hpp>
#include <asio/error.hpp>

#include "source/radishrudder/exchange/socket_options.h"

namespace radishrudder::exchange {
namespace {

std::string ToText(const asio::ip::udp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

}  // namespace

DatagramSocket::DatagramSocket(asio::io_context& context,
                               Handler handler,
                               ProblemHandler problem_handler)
    : m_socket(context),
      m_handler(std::move(handler)),
      m_problem_handler(std::move(problem_handler)) {}

DatagramSocket::~DatagramSocket() {
  Close();
}

std::error_code DatagramSocket::Open(std::string_view address) {
  const auto parsed = ParseAddress(address);
  if (!parsed) {
    return std::make_error_code(std::errc::invalid_argument);
  }
  const asio::ip::udp::endpoint endpoint(parsed->address(), parsed->port());
  std::error_code error;
  m_socket.open(endpoint.protocol(), error);
  if (!error) {
    m_socket.non_blocking(true, error);
  }
  if (!error) {
    m_socket.bind(endpoint, error);
  }
  if (error) {
    Close();
    return error;
  }
  WaitForDatagrams();
  return error;
}

void DatagramSocket::Close() {
  // The descriptor is released whether or not the close reports an error.
  std::error_code ignored;
  m_socket.close(ignored);
}

bool DatagramSocket::Send(std::string_view address, std::string_view bytes) {
  const auto parsed = ParseAddress(address);
  std::error_code error = std::make_error_code(std::errc::invalid_argument);
  if (parsed) {
    m_socket.send_to(asio::buffer(bytes.data(), bytes.size()),
                     {parsed->address(), parsed->port()}, 0, error);
  }
  if (error) {
    ++m_counters.send_failed;
    NoteProblem(Operation::kSend, error);
    return false;
  }
  ++m_counters.sent;
  return true;
}

std::string DatagramSocket::Address() const {
  std::error_code error;
  const asio::ip::udp::endpoint endpoint = m_socket.local_endpoint(error);
  return error ? std::string() : ToText(endpoint);
}

void DatagramSocket::WaitForDatagrams() {
  m_socket.async_wait(
      asio::ip::udp::socket::wait_read,
      [this, alive = std::weak_ptr(m_alive)](std::error_code error) {
        if (alive.expired() || error == asio::error::operation_aborted ||
            !m_socket.is_open()) {
          return;
        }
        if (error) {
          ++m_counters.receive_failed;
          NoteProblem(Operation::kReceive, error);
        } else {
          ReceiveBatch();
        }
        if (m_socket.is_open()) {
          WaitForDatagrams();
        }
      });
}

void DatagramSocket::ReceiveBatch() {
  for (std::size_t i = 0; i < kMaximumBatch && ReceiveOne(); ++i) {
  }
}

bool DatagramSocket::ReceiveOne() {
  asio::ip::udp::endpoint sender;
  std::error_code error;
  const std::size_t size =
      m_socket.receive_from(asio::buffer(m_buffer), sender, 0, error);
  if (error == asio::error::would_block) {
    return false;
  }
  if (error) {
    ++m_counters.receive_failed;
    NoteProblem(Operation::kReceive, error);
    return false;
  }
  if (size > kMaximumBytes) {
    ++m_counters.too_long;
    NoteProblem(Operation::kReceive,
                std::make_error_code(std::errc::message_size));
    return true;
  }
  ++m_counters.received;
  m_handler(ToText(sender), std::string_view(m_buffer.data(), size));
  return m_socket.is_open();
}

void DatagramSocket::NoteProblem(Operation operation, std::error_code error) {
  if (m_noted.emplace(operation, error).second) {
    m_problem_handler(operation, error);
  }
}

}  // namespace radishrudder::exchange
