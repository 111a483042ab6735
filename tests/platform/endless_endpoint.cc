#include "tests/platform/endless_endpoint.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>

namespace radishrudder::platform {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kBlockBytes = 65536;
constexpr int kSmallBuffer = 16384;
constexpr std::string_view kIdHeader = "Radishrudder-Attempt-Id: ";

sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

// Reads up to the blank line that ends a request's head. Returns the value of
// its attempt id, or nothing at the end of the connection.
std::string ReadRequest(int connection) {
  std::string text;
  std::array<char, 4096> buffer{};
  while (text.find("\r\n\r\n") == std::string::npos) {
    const ssize_t size = recv(connection, buffer.data(), buffer.size(), 0);
    if (size <= 0) {
      return {};
    }
    text.append(buffer.data(), static_cast<std::size_t>(size));
  }
  const std::size_t header = text.find(kIdHeader);
  if (header == std::string::npos) {
    return "none";
  }
  const std::size_t begin = header + kIdHeader.size();
  return text.substr(begin, text.find('\r', begin) - begin);
}

}  // namespace

void ByteRate::Wait(std::size_t bytes) {
  Clock::time_point due;
  {
    const std::lock_guard lock(m_mutex);
    m_next =
        std::max(m_next, Clock::now()) +
        std::chrono::duration_cast<Clock::duration>(
            std::chrono::duration<double>(static_cast<double>(bytes) / m_rate));
    due = m_next;
  }
  std::this_thread::sleep_until(due);
}

EndlessEndpoint::EndlessEndpoint(std::string start,
                                 std::string repeated,
                                 ByteRate& rate)
    : m_start(std::move(start)),
      m_repeated(std::move(repeated)),
      m_rate(rate),
      m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  sockaddr_in address = Loopback(0);
  EXPECT_EQ(
      bind(m_listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)),
      0);
  EXPECT_EQ(listen(m_listener, SOMAXCONN), 0);
  socklen_t size = sizeof(address);
  getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
  m_port = ntohs(address.sin_port);
  m_acceptor = std::thread([this] { Accept(); });
}

EndlessEndpoint::~EndlessEndpoint() {
  m_ended = true;
  shutdown(m_listener, SHUT_RDWR);
  m_acceptor.join();
  {
    const std::lock_guard lock(m_mutex);
    for (const int connection : m_connections) {
      shutdown(connection, SHUT_RDWR);
    }
  }
  for (std::thread& thread : m_threads) {
    thread.join();
  }
  for (const int connection : m_connections) {
    close(connection);
  }
  close(m_listener);
}

std::string EndlessEndpoint::Address() const {
  return "127.0.0.1:" + std::to_string(m_port);
}

void EndlessEndpoint::Accept() {
  while (!m_ended) {
    const int connection = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (connection < 0) {
      return;
    }
    const std::lock_guard lock(m_mutex);
    m_connections.push_back(connection);
    m_threads.emplace_back([this, connection] { Serve(connection); });
  }
}

void EndlessEndpoint::Serve(int connection) {
  const std::string id = ReadRequest(connection);
  if (id.empty()) {
    return;
  }
  ++m_answers;
  std::string start = m_start;
  if (const std::size_t position = start.find("@id");
      position != std::string::npos) {
    start.replace(position, 3, id);
  }
  ssize_t sent = send(connection, start.data(), start.size(), MSG_NOSIGNAL);
  while (sent >= 0 && !m_ended) {
    m_rate.Wait(m_repeated.size());
    sent = send(connection, m_repeated.data(), m_repeated.size(), MSG_NOSIGNAL);
    m_sent += sent > 0 ? static_cast<std::size_t>(sent) : 0;
  }
  shutdown(connection, SHUT_RDWR);
}

std::string Repeated(std::string_view unit) {
  std::string block;
  while (block.size() < kBlockBytes) {
    block += unit;
  }
  return block;
}

void ReadSlowly(std::string_view address,
                std::string_view request,
                std::size_t bytes_per_second,
                milliseconds time) {
  using Clock = std::chrono::steady_clock;
  const auto end = Clock::now() + time;
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt(handle, SOL_SOCKET, SO_RCVBUF, &kSmallBuffer,
             sizeof(kSmallBuffer));
  const std::string port(address.substr(address.find(':') + 1));
  const sockaddr_in peer = Loopback(std::stoi(port));
  bool open = connect(handle, reinterpret_cast<const sockaddr*>(&peer),
                      sizeof(peer)) == 0 &&
              send(handle, request.data(), request.size(), MSG_NOSIGNAL) > 0;
  std::array<char, kSmallBuffer> buffer{};
  while (open && Clock::now() < end) {
    if (bytes_per_second == 0) {
      std::this_thread::sleep_for(milliseconds(10));
      continue;
    }
    pollfd readable{.fd = handle, .events = POLLIN, .revents = 0};
    if (poll(&readable, 1, 10) == 0) {
      continue;
    }
    const ssize_t size = recv(handle, buffer.data(), buffer.size(), 0);
    open = size > 0;
    if (open) {
      std::this_thread::sleep_for(std::chrono::duration<double>(
          static_cast<double>(size) / static_cast<double>(bytes_per_second)));
    }
  }
  close(handle);
}

}  // namespace radishrudder::platform
