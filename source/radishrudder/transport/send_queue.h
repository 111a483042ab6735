#ifndef RADISHRUDDER_TRANSPORT_SEND_QUEUE_H_
#define RADISHRUDDER_TRANSPORT_SEND_QUEUE_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "radishrudder/wire/peer.pb.h"

namespace radishrudder::transport {

// Messages that wait for one stream, bounded in bytes. Not thread-safe.
class SendQueue {
 public:
  explicit SendQueue(std::size_t maximum_bytes)
      : m_maximum_bytes(maximum_bytes) {}

  // Appends a message unless the queue is full.
  bool Push(wire::Envelope message) {
    const std::size_t bytes = message.ByteSizeLong();
    if (m_bytes + bytes > m_maximum_bytes) {
      return false;
    }
    m_bytes += bytes;
    m_waiting.push_back(std::move(message));
    return true;
  }

  // Removes and returns the first message.
  std::optional<wire::Envelope> Pop() {
    if (m_waiting.empty()) {
      return std::nullopt;
    }
    wire::Envelope message = std::move(m_waiting.front());
    m_waiting.pop_front();
    m_bytes -= message.ByteSizeLong();
    return message;
  }

  // Removes and returns all messages.
  std::vector<wire::Envelope> Drain() {
    std::vector<wire::Envelope> messages(
        std::make_move_iterator(m_waiting.begin()),
        std::make_move_iterator(m_waiting.end()));
    m_waiting.clear();
    m_bytes = 0;
    return messages;
  }

 private:
  std::size_t m_maximum_bytes;
  std::size_t m_bytes = 0;
  std::deque<wire::Envelope> m_waiting;
};

}  // namespace radishrudder::transport

#endif  // RADISHRUDDER_TRANSPORT_SEND_QUEUE_H_
