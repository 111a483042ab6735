#ifndef RADISHRUDDER_EXCHANGE_FRAME_LINKS_H_
#define RADISHRUDDER_EXCHANGE_FRAME_LINKS_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <system_error>

namespace radishrudder::exchange {

// Exchanges messages with other processes of the system, each as four bytes of
// length, the most significant first, and its bytes. A message may be lost
// when a connection breaks or its queue is full; none comes twice. One thread:
// that of the context.
class FrameLinks {
 public:
  using Handler = std::function<void(std::string_view frame)>;

  FrameLinks(asio::io_context& context, Handler handler);
  ~FrameLinks();
  FrameLinks(const FrameLinks&) = delete;
  FrameLinks& operator=(const FrameLinks&) = delete;

  std::error_code Listen(std::string_view address);
  // Queues a message to "IP:PORT". Returns false if it was dropped.
  bool Send(const std::string& address, std::string_view frame);

 private:
  class Outgoing;
  class Incoming;
  friend class Outgoing;
  friend class Incoming;

  void Accept();

  asio::io_context& m_context;
  asio::ip::tcp::acceptor m_acceptor;
  Handler m_handler;
  std::map<std::string, std::shared_ptr<Outgoing>> m_outgoing;
  std::set<std::shared_ptr<Incoming>> m_incoming;
};

}  // namespace radishrudder::exchange

#endif  // RADISHRUDDER_EXCHANGE_FRAME_LINKS_H_
