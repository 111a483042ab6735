#ifndef RADISHRUDDER_TRANSPORT_PEER_TRANSPORT_H_
#define RADISHRUDDER_TRANSPORT_PEER_TRANSPORT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

#include "radishrudder/wire/process_id.h"

namespace radishrudder::transport {

struct TransportSettings {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
  std::size_t maximum_message_bytes = 8U << 20U;
  // Bytes queued for one peer before `Send` drops messages.
  std::size_t maximum_queued_bytes = 64U << 20U;
};

struct TransportHandlers {
  // A message from a peer, on a thread of the transport.
  std::function<void(wire::Envelope)> on_message;
  // The stream to or from that peer ended.
  std::function<void(const wire::ProcessKey& peer)> on_lost;
};

// Exchanges envelopes with peers over gRPC streams. A send to a peer without
// a stream opens one to the peer's address; messages may be lost when a
// stream ends, and arrive in order while it lasts.
class PeerTransport {
 public:
  PeerTransport(TransportSettings settings,
                wire::ProcessKey self,
                TransportHandlers handlers);
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  std::error_code Start();
  std::uint16_t Port() const;
  // Tells where an instance listens, "ip:port".
  void SetAddress(std::string_view instance, std::string_view address);
  // Queues a message. Returns false if the peer has no known address or its
  // queue is full, so that nothing left this process.
  bool Send(std::string_view instance, wire::Envelope message);
  void Stop();

 private:
  struct Implementation;
  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace radishrudder::transport

#endif  // RADISHRUDDER_TRANSPORT_PEER_TRANSPORT_H_
