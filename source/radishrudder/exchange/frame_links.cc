#include "radishrudder/exchange/frame_links.h"

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/read.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <cstdint>
#include <utility>

#include "radishrudder/exchange/byte_blocks.h"
#include "radishrudder/kernel/boot_time.h"
#include "source/radishrudder/exchange/socket_options.h"

namespace radishrudder::exchange {
namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kMaximumFrame = 8U << 20U;
// A frame takes no more memory than what has come of it and this.
constexpr std::size_t kReadBytes = 64U << 10U;
constexpr std::size_t kMaximumQueued = 4U << 20U;  // Bytes to one peer.
constexpr std::chrono::milliseconds kConnectTimeout{800};
constexpr std::chrono::milliseconds kSilence{3000};
constexpr int kBacklog = 256;
constexpr std::chrono::milliseconds kAcceptPause{50};
// What a connection takes without a message.
constexpr std::size_t kLinkBytes = 4U << 10U;

void AppendFrame(std::string_view frame, std::string& text) {
  const auto size = static_cast<std::uint32_t>(frame.size());
  for (int shift = 24; shift >= 0; shift -= 8) {
    text += static_cast<char>(size >> static_cast<unsigned>(shift) & 0xFFU);
  }
  text += frame;
}

std::uint32_t LengthOf(std::string_view bytes) {
  std::uint32_t size = 0;
  for (const char byte : bytes) {
    size = size << 8U | static_cast<unsigned char>(byte);
  }
  return size;
}

}  // namespace

// Messages to one peer. Ends with its connection; the next message makes
// another one.
class FrameLinks::Outgoing : public std::enable_shared_from_this<Outgoing> {
 public:
  Outgoing(FrameLinks& links, std::string address)
      : m_links(links),
        m_address(std::move(address)),
        m_socket(links.m_context),
        m_timer(links.m_context) {}

  bool Connect() {
    const auto endpoint = ParseAddress(m_address);
    if (!endpoint) {
      return false;
    }
    m_timer.expires_after(kConnectTimeout);
    m_timer.async_wait([self = shared_from_this()](std::error_code error) {
      if (!error && !self->m_open) {
        self->Close();
      }
    });
    m_socket.async_connect(*endpoint,
                           [self = shared_from_this()](std::error_code error) {
                             if (self->m_closed) {
                               return;
                             }
                             if (error) {
                               self->Close();
                               return;
                             }
                             self->m_timer.cancel();
                             self->m_open = true;
                             SetOptions(self->m_socket, kSilence);
                             self->AwaitEnd();
                             self->WriteMore();
                           });
    return true;
  }

  bool Send(std::string_view frame) {
    if (m_queued.size() + frame.size() > kMaximumQueued) {
      return false;
    }
    AppendFrame(frame, m_queued);
    if (m_open && !m_writing) {
      WriteMore();
    }
    return true;
  }

  void Close() {
    if (m_closed) {
      return;
    }
    m_closed = true;
    m_timer.cancel();
    std::error_code ignored;
    m_socket.close(ignored);
    m_links.m_outgoing.erase(m_address);
  }

 private:
  void WriteMore() {
    if (m_queued.empty()) {
      return;
    }
    m_writing = true;
    m_sending = std::exchange(m_queued, {});
    asio::async_write(
        m_socket, asio::buffer(m_sending),
        [self = shared_from_this()](std::error_code error, std::size_t) {
          self->m_writing = false;
          if (self->m_closed) {
            return;
          }
          if (error) {
            self->Close();
          } else {
            self->WriteMore();
          }
        });
  }

  // The peer sends nothing here: a read ends when the connection does.
  void AwaitEnd() {
    m_socket.async_read_some(
        asio::buffer(m_ignored),
        [self = shared_from_this()](std::error_code error, std::size_t) {
          if (self->m_closed) {
            return;
          }
          if (error) {
            self->Close();
          } else {
            self->AwaitEnd();
          }
        });
  }

  FrameLinks& m_links;
  std::string m_address;
  asio::ip::tcp::socket m_socket;
  asio::steady_timer m_timer;
  std::string m_queued;
  std::string m_sending;
  std::array<char, 64> m_ignored{};
  bool m_open = false;
  bool m_writing = false;
  bool m_closed = false;
};

class FrameLinks::Incoming : public std::enable_shared_from_this<Incoming>,
                             public MemoryHolder {
 public:
  Incoming(FrameLinks& links, asio::ip::tcp::socket socket)
      : m_links(links),
        m_socket(std::move(socket)),
        m_share(links.m_account, *this, kernel::Now()) {
    SetOptions(m_socket, kSilence);
    m_share.Set(kLinkBytes, kernel::Now());
  }

  void ReadLength() {
    asio::async_read(
        m_socket, asio::buffer(m_length),
        [self = shared_from_this()](std::error_code error, std::size_t) {
          if (self->m_closed) {
            return;
          }
          const std::uint32_t size =
              LengthOf({self->m_length.data(), self->m_length.size()});
          if (error || size > kMaximumFrame) {
            self->Close();
            return;
          }
          self->m_share.Restart(kernel::Now());
          self->EnlargeReceiveBuffer(size);
          self->ReadFrame(size);
        });
  }

  // The sender notices that its message is lost by the end of the connection.
  void Revoke(kernel::Time /*now*/, Shortage /*shortage*/) override { Close(); }
  Revocable RevocablePart() const override {
    return m_handling ? Revocable::kNothing : Revocable::kAll;
  }

  void Close() {
    if (m_closed) {
      return;
    }
    m_closed = true;
    std::error_code ignored;
    m_socket.close(ignored);
    m_share.Close();
    m_links.m_incoming.erase(shared_from_this());
  }

 private:
  // A large frame arrives slowly through a small window.
  void EnlargeReceiveBuffer(std::size_t frame_bytes) {
    const BufferSizes sizes = m_links.m_account.Buffers();
    const std::size_t more = sizes.large_receive - sizes.receive;
    if (m_link_bytes > kLinkBytes || frame_bytes <= sizes.receive ||
        !m_share.Request(kLinkBytes + more, kernel::Now())) {
      return;
    }
    m_link_bytes += more;
    if (more > 0) {
      exchange::EnlargeReceiveBuffer(m_socket, sizes.large_receive);
    }
  }

  // Reads the rest of a frame: `missing` bytes.
  void ReadFrame(std::size_t missing) {
    if (missing == 0) {
      HandleFrame();
      return;
    }
    const std::size_t part = std::min(missing, kReadBytes);
    // The frame is assembled at its end, beside one block of it.
    if (!m_share.Request(m_link_bytes + m_frame.AllocatedBytes() + 2 * part,
                         kernel::Now())) {
      Close();
      return;
    }
    m_block.resize(part);
    asio::async_read(m_socket, asio::buffer(m_block),
                     [self = shared_from_this(), left = missing - part](
                         std::error_code error, std::size_t size) {
                       if (self->m_closed) {
                         return;
                       }
                       if (error) {
                         self->Close();
                         return;
                       }
                       self->m_share.OnTransferred(size, kernel::Now());
                       self->m_frame.Append(self->m_block);
                       self->ReadFrame(left);
                     });
  }

  void HandleFrame() {
    Free(m_block);
    const std::string frame = m_frame.TakeAll();
    m_handling = true;
    m_links.m_handler(frame);
    m_handling = false;
    if (!m_closed) {
      m_share.Set(m_link_bytes, kernel::Now());
      ReadLength();
    }
  }

  FrameLinks& m_links;
  asio::ip::tcp::socket m_socket;
  std::array<char, kLengthBytes> m_length{};
  std::string m_block;  // The part of the frame that is read now.
  ByteBlocks m_frame;   // What was read before.
  std::size_t m_link_bytes = kLinkBytes;  // Without a message.
  bool m_closed = false;
  bool m_handling = false;
  MemoryShare m_share;
};

FrameLinks::FrameLinks(asio::io_context& context, Handler handler)
    : FrameLinks(context, m_own_account, std::move(handler)) {}

FrameLinks::FrameLinks(asio::io_context& context,
                       MemoryAccount& account,
                       Handler handler)
    : m_context(context),
      m_account(account),
      m_acceptor(context),
      m_accept_pause(context),
      m_handler(std::move(handler)) {}

FrameLinks::~FrameLinks() {
  std::error_code ignored;
  m_acceptor.close(ignored);
  while (!m_outgoing.empty()) {
    const auto link = m_outgoing.begin()->second;
    link->Close();
  }
  while (!m_incoming.empty()) {
    const auto link = *m_incoming.begin();
    link->Close();
  }
}

std::error_code FrameLinks::Listen(std::string_view address) {
  const auto endpoint = ParseAddress(address);
  if (!endpoint) {
    return std::make_error_code(std::errc::invalid_argument);
  }
  const std::error_code error =
      OpenAcceptor(m_acceptor, *endpoint, kBacklog, m_account.Buffers());
  if (!error) {
    Accept();
  }
  return error;
}

bool FrameLinks::Send(const std::string& address, std::string_view frame) {
  auto found = m_outgoing.find(address);
  if (found == m_outgoing.end()) {
    const auto link = std::make_shared<Outgoing>(*this, address);
    if (!link->Connect()) {
      return false;
    }
    found = m_outgoing.emplace(address, link).first;
  }
  return found->second->Send(frame);
}

void FrameLinks::Accept() {
  m_acceptor.async_accept([this](std::error_code error,
                                 asio::ip::tcp::socket socket) {
    if (!m_acceptor.is_open()) {
      return;
    }
    if (error) {
      // Most likely no descriptor is free: others end in the meantime.
      m_accept_pause.expires_after(kAcceptPause);
      m_accept_pause.async_wait([this](std::error_code stopped) {
        if (!stopped && m_acceptor.is_open()) {
          Accept();
        }
      });
      return;
    }
    if (m_account.AdmitConnection(kernel::Now())) {
      const auto link = std::make_shared<Incoming>(*this, std::move(socket));
      m_incoming.insert(link);
      link->ReadLength();
    }
    Accept();
  });
}

}  // namespace radishrudder::exchange
