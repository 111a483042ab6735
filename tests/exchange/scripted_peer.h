#ifndef TESTS_EXCHANGE_SCRIPTED_PEER_H_
#define TESTS_EXCHANGE_SCRIPTED_PEER_H_

#include <array>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace radishrudder::exchange {

// What a scripted peer does when a request has arrived.
struct ScriptedAnswer {
  std::string bytes{};
  bool close = false;  // End the connection in order after the bytes.
  bool reset = false;  // Reset it instead.
};

// Accepts connections on loopback and answers each request, which must end
// with a blank line, with the next item of a script.
class ScriptedPeer {
 public:
  // `port` 0: any free one.
  ScriptedPeer(asio::io_context& context,
               std::vector<ScriptedAnswer> script,
               std::uint16_t port = 0)
      : m_acceptor(context, {asio::ip::address_v4::loopback(), port}),
        m_script(std::move(script)) {
    Accept();
  }

  // Closes the listener and resets all connections, as a process that ends.
  void End() {
    std::error_code ignored;
    m_acceptor.close(ignored);
    for (const auto& weak : m_accepted) {
      if (const auto connection = weak.lock()) {
        connection->socket.set_option(asio::socket_base::linger(true, 0),
                                      ignored);
        connection->socket.close(ignored);
      }
    }
  }

  std::uint16_t Port() const { return m_acceptor.local_endpoint().port(); }
  std::string Address() const { return "127.0.0.1:" + std::to_string(Port()); }
  std::size_t Connections() const { return m_connections; }
  const std::vector<std::string>& Requests() const { return m_requests; }
  // How the last connection that ended did.
  std::error_code LastEnd() const { return m_last_end; }

 private:
  struct Connection {
    explicit Connection(asio::ip::tcp::socket given)
        : socket(std::move(given)) {}
    asio::ip::tcp::socket socket;
    std::array<char, 4096> buffer{};
    std::string incoming;
  };

  void Accept() {
    m_acceptor.async_accept([this](std::error_code error,
                                   asio::ip::tcp::socket socket) {
      if (error) {
        return;
      }
      ++m_connections;
      const auto connection = std::make_shared<Connection>(std::move(socket));
      m_accepted.push_back(connection);
      Read(connection);
      Accept();
    });
  }

  void Read(const std::shared_ptr<Connection>& connection) {
    connection->socket.async_read_some(
        asio::buffer(connection->buffer),
        [this, connection](std::error_code error, std::size_t size) {
          if (error) {
            m_last_end = error;
            return;
          }
          connection->incoming.append(connection->buffer.data(), size);
          if (connection->incoming.ends_with("\r\n\r\n")) {
            m_requests.push_back(std::exchange(connection->incoming, {}));
            Answer(connection);
          }
          if (connection->socket.is_open()) {
            Read(connection);
          }
        });
  }

  void Answer(const std::shared_ptr<Connection>& connection) {
    if (m_next == m_script.size()) {
      return;
    }
    const ScriptedAnswer& answer = m_script[m_next++];
    std::error_code ignored;
    asio::write(connection->socket, asio::buffer(answer.bytes), ignored);
    if (answer.reset) {
      connection->socket.set_option(asio::socket_base::linger(true, 0),
                                    ignored);
      connection->socket.close(ignored);
    } else if (answer.close) {
      connection->socket.shutdown(asio::ip::tcp::socket::shutdown_both,
                                  ignored);
    }
  }

  asio::ip::tcp::acceptor m_acceptor;
  std::vector<ScriptedAnswer> m_script;
  std::size_t m_next = 0;
  std::size_t m_connections = 0;
  std::vector<std::weak_ptr<Connection>> m_accepted;
  std::vector<std::string> m_requests;
  std::error_code m_last_end;
};

}  // namespace radishrudder::exchange

#endif  // TESTS_EXCHANGE_SCRIPTED_PEER_H_
