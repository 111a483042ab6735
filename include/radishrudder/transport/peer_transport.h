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
  std::uint16_t port = 0;  // 0: any free port.
  std::string data_centre;
  std::string role;
  std::size_t maximum_message_bytes = std::size_t{8} << 20U;
  // Bytes queued for one peer before `Send` refuses messages.
  std::size_t maximum_queued_bytes = std::size_t{64} << 20U;
};

struct TransportHandlers {
  // A message from a peer, on a thread of the transport.
  std::function<void(wire::Envelope)> on_message;
  // The stream to or from that run of a peer ended.
  std::function<void(const wire::ProcessKey& peer)> on_lost;
  // A message accepted by `Send` that no byte was written of.
  std::function<void(const std::string& instance, wire::Envelope)> on_unsent;
};

// Exchanges envelopes with peers over gRPC streams. A send to a peer without
// a stream opens one to the peer's address. Messages arrive in order while a
// stream lasts and may be lost when it ends. The port is bound exclusively.
class PeerTransport {
 public:
  PeerTransport(TransportSettings settings,
                wire::ProcessKey self,
                TransportHandlers handlers);
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  // Binds the port; fails with address_in_use if another process has it.
  std::error_code Start();
  std::uint16_t Port() const;
  // Tells where an instance listens, "ip:port".
  void SetAddress(std::string_view instance, std::string_view address);
  // Queues a message. Returns false if the peer has no known address or its
  // queue is full, so that nothing left this process.
  bool Send(std::string_view instance, wire::Envelope message);
  // Ends the streams to an instance that is gone.
  void Forget(std::string_view instance);
  // Returns the number of open streams.
  std::size_t StreamCount() const;
  // Ends every stream and the server. No handler is called afterwards.
  void Stop();

 private:
  class Implementation;
  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace radishrudder::transport

#endif  // RADISHRUDDER_TRANSPORT_PEER_TRANSPORT_H_
