#ifndef RADISHRUDDER_SOURCE_HTTP_COUNTED_SOCKET_H_
#define RADISHRUDDER_SOURCE_HTTP_COUNTED_SOCKET_H_

#include <asio/associated_executor.hpp>
#include <asio/bind_executor.hpp>
#include <asio/error.hpp>
#include <asio/execution_context.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <system_error>
#include <utility>

#include "source/radishrudder/http/connection_share.h"

namespace radishrudder::http {

// Tells the sockets of a context in which memory their connections count.
class ConnectionMemoryService : public asio::execution_context::service {
 public:
  using key_type = ConnectionMemoryService;      // NOLINT
  static inline asio::execution_context::id id;  // NOLINT

  explicit ConnectionMemoryService(asio::execution_context& context)
      : asio::execution_context::service(context) {}

  std::shared_ptr<ConnectionMemory> memory{};  // Null: no limit.

 private:
  void shutdown() override { memory.reset(); }
};

// A socket that reports to the memory of its context what its connection reads
// and writes. One that has been refused reads no more.
class CountedSocket : public asio::ip::tcp::socket {
 public:
  using Base = asio::ip::tcp::socket;

  explicit CountedSocket(asio::io_context& context) : Base(context) {}
  CountedSocket(CountedSocket&&) = default;
  CountedSocket& operator=(CountedSocket&&) = default;
  ~CountedSocket() { Detach(); }

  template <typename Buffers, typename Handler>
  void async_read_some(const Buffers& buffers, Handler&& handler) {  // NOLINT
    Attach();
    Base::async_read_some(
        buffers, Wrap(std::forward<Handler>(handler),
                      [](ConnectionShare& share, std::error_code& error,
                         std::size_t& size) {
                        if (!error && !share.OnRead(size)) {
                          error = asio::error::eof;
                          size = 0;
                        }
                      }));
  }

  template <typename Buffers, typename Handler>
  void async_write_some(const Buffers& buffers, Handler&& handler) {  // NOLINT
    Base::async_write_some(
        buffers, Wrap(std::forward<Handler>(handler),
                      [](ConnectionShare& share, std::error_code& error,
                         std::size_t& size) {
                        if (!error) {
                          share.OnWritten(size);
                        }
                      }));
  }

  void close() {  // NOLINT(readability-identifier-naming)
    Detach();
    Base::close();
  }

 private:
  void Attach() {
    if (m_share) {
      return;
    }
    auto& service = asio::use_service<ConnectionMemoryService>(
        asio::query(Base::get_executor(), asio::execution::context));
    std::error_code error;
    const auto caller = Base::remote_endpoint(error);
    if (service.memory && !error) {
      m_share = std::make_shared<ConnectionShare>(service.memory, caller,
                                                  Base::native_handle());
    }
  }

  void Detach() {
    if (m_share) {
      m_share->Detach();
    }
  }

  // Lets `note` see and change the result before the handler does.
  template <typename Handler, typename Note>
  auto Wrap(Handler&& handler, Note note) {
    const auto executor =
        asio::get_associated_executor(handler, Base::get_executor());
    return asio::bind_executor(
        executor,
        [share = m_share, note,
         wrapped = std::decay_t<Handler>(std::forward<Handler>(handler))](
            std::error_code error, std::size_t size) mutable {
          if (share) {
            note(*share, error, size);
          }
          wrapped(error, size);
        });
  }

  std::shared_ptr<ConnectionShare> m_share;
};

}  // namespace radishrudder::http

#endif  // RADISHRUDDER_SOURCE_HTTP_COUNTED_SOCKET_H_
