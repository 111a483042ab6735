#ifndef RADISHRUDDER_EXCHANGE_FRAME_LINKS_H_
#define RADISHRUDDER_EXCHANGE_FRAME_LINKS_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <system_error>

#include "radishrudder/exchange/memory_account.h"

namespace radishrudder::exchange {

// Exchanges messages with other processes of the system, each as four bytes of
// length, the most significant first, and its bytes. A message may be lost
// when a connection breaks or its queue is full; none comes twice. One thread:
// that of the context.
class FrameLinks {
 public:
  using Handler = std::function<void(std::string_view frame)>;

  // With a memory account of its own, without limits.
  FrameLinks(asio::io_context& context, Handler handler);
  // What other processes hold here counts in `account`, which must outlive the
  // links.
  FrameLinks(asio::io_context& context,
             MemoryAccount& account,
             Handler handler);
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
  MemoryAccount m_own_account;
  MemoryAccount& m_account;
  asio::ip::tcp::acceptor m_acceptor;
  asio::steady_timer m_accept_pause;
  Handler m_handler;
  std::map<std::string, std::shared_ptr<Outgoing>> m_outgoing;
  std::set<std::shared_ptr<Incoming>> m_incoming;
};

}  // namespace radishrudder::exchange

#endif  // RADISHRUDDER_EXCHANGE_FRAME_LINKS_H_
