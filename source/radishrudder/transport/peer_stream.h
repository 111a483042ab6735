#ifndef RADISHRUDDER_TRANSPORT_PEER_STREAM_H_
#define RADISHRUDDER_TRANSPORT_PEER_STREAM_H_

#include <grpcpp/grpcpp.h>
#include <grpcpp/support/client_callback.h>
#include <grpcpp/support/server_callback.h>

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include "radishrudder/transport/send_queue.h"
#include "radishrudder/wire/process_id.h"

namespace radishrudder::transport {

// One stream to one peer, whoever opened it.
class PeerStream {
 public:
  virtual ~PeerStream() = default;
  // Queues a message; returns false if the stream ended or the queue is full.
  virtual bool Send(wire::Envelope message) = 0;
  // Ends the stream soon.
  virtual void Close() = 0;
};

// What a stream reports to the transport. Called without the stream's lock.
struct StreamEvents {
  // The peer said who it is; messages may be written from now on.
  std::function<void(const std::shared_ptr<PeerStream>&,
                     const wire::ProcessKey&)>
      on_open;
  std::function<void(wire::Envelope)> on_message;
  // The stream ended. `peer` is unset if it never opened; `unsent` are the
  // messages of which no byte was written.
  std::function<void(const std::shared_ptr<PeerStream>&,
                     std::optional<wire::ProcessKey> peer,
                     std::vector<wire::Envelope> unsent)>
      on_end;
  // Nothing of the stream is left, its call and channel included.
  std::function<void()> on_gone;
};

using ServerReactor = grpc::ServerBidiReactor<wire::Envelope, wire::Envelope>;
using ClientReactor = grpc::ClientBidiReactor<wire::Envelope, wire::Envelope>;

// Reactor that writes its greeting first, and other messages only once the
// peer's greeting has arrived: until then none of them can have reached it.
// Lives until gRPC reports the end of the call.
template <typename Reactor>
class ReactorStream
    : public Reactor,
      public PeerStream,
      public std::enable_shared_from_this<ReactorStream<Reactor>> {
 public:
  static constexpr bool kIsClient = std::is_same_v<Reactor, ClientReactor>;

  ReactorStream(wire::Envelope greeting,
                std::size_t maximum_queued_bytes,
                StreamEvents events)
      : m_queue(maximum_queued_bytes),
        m_greeting(std::move(greeting)),
        m_events(std::move(events)) {}

  // Runs after the derived stream has let go of its call and channel.
  ~ReactorStream() override { m_events.on_gone(); }

  // Starts the stream, which keeps itself alive until its end.
  void Open() {
    m_self = this->shared_from_this();
    if constexpr (kIsClient) {
      // Writes begin outside of reactions, so the call must be held open.
      this->AddHold();
    }
    {
      const std::lock_guard lock(m_mutex);
      m_writing = true;
      m_current = m_greeting;
    }
    this->StartRead(&m_incoming);
    this->StartWrite(&m_current);
    if constexpr (kIsClient) {
      this->StartCall();
    }
  }

  bool Send(wire::Envelope message) override {
    const std::lock_guard lock(m_mutex);
    if (m_ended || !m_queue.Push(std::move(message))) {
      return false;
    }
    WriteNext();
    return true;
  }

  void Close() override {
    const std::lock_guard lock(m_mutex);
    if (m_ended) {
      return;
    }
    CancelCall();
  }

  void OnReadDone(bool ok) override {
    if (!ok) {
      End();
      return;
    }
    wire::Envelope message = std::move(m_incoming);
    m_incoming.Clear();
    if (message.has_hello()) {
      HandleHello(message);
    } else if (IsOpen()) {
      m_events.on_message(std::move(message));
    }
    this->StartRead(&m_incoming);
  }

  void OnWriteDone(bool ok) override {
    bool finish = false;
    {
      const std::lock_guard lock(m_mutex);
      m_writing = false;
      if (ok) {
        WriteNext();
      }
      finish = m_ended && !m_finished && !m_writing;
      m_finished = m_finished || finish;
    }
    if (finish) {
      FinishCall();
    }
  }

 protected:
  // Ends the call at gRPC.
  virtual void CancelCall() = 0;
  // gRPC no longer uses this object.
  void Release() { m_self.reset(); }

 private:
  bool IsOpen() {
    const std::lock_guard lock(m_mutex);
    return m_peer.has_value();
  }

  void HandleHello(const wire::Envelope& message) {
    const wire::ProcessKey peer = wire::FromMessage(message.from());
    {
      const std::lock_guard lock(m_mutex);
      m_peer = peer;
      WriteNext();
    }
    m_events.on_open(this->shared_from_this(), peer);
    m_events.on_message(message);
  }

  // Requires the lock.
  void WriteNext() {
    if (m_writing || m_ended || !m_peer) {
      return;
    }
    std::optional<wire::Envelope> next = m_queue.Pop();
    if (!next) {
      return;
    }
    m_current = std::move(*next);
    m_writing = true;
    this->StartWrite(&m_current);
  }

  void End() {
    std::vector<wire::Envelope> unsent;
    std::optional<wire::ProcessKey> peer;
    bool finish = false;
    {
      const std::lock_guard lock(m_mutex);
      m_ended = true;
      unsent = m_queue.Drain();
      peer = m_peer;
      finish = !m_writing && !m_finished;
      m_finished = m_finished || finish;
    }
    m_events.on_end(this->shared_from_this(), peer, std::move(unsent));
    if (finish) {
      FinishCall();
    }
  }

  void FinishCall() {
    if constexpr (kIsClient) {
      this->RemoveHold();
    } else {
      this->Finish(grpc::Status::OK);
    }
  }

  std::mutex m_mutex;
  SendQueue m_queue;
  wire::Envelope m_greeting;
  StreamEvents m_events;
  std::shared_ptr<ReactorStream> m_self;
  std::optional<wire::ProcessKey> m_peer;
  wire::Envelope m_incoming;
  wire::Envelope m_current;
  bool m_writing = false;
  bool m_ended = false;
  bool m_finished = false;
};

// Stream that a peer opened to this process.
class ServerStream final : public ReactorStream<ServerReactor> {
 public:
  ServerStream(grpc::CallbackServerContext* context,
               wire::Envelope greeting,
               std::size_t maximum_queued_bytes,
               StreamEvents events)
      : ReactorStream(std::move(greeting),
                      maximum_queued_bytes,
                      std::move(events)),
        m_context(context) {}

  void OnDone() override { Release(); }

 private:
  void CancelCall() override { m_context->TryCancel(); }

  grpc::CallbackServerContext* m_context;
};

// Stream that this process opened to a peer.
class ClientStream final : public ReactorStream<ClientReactor> {
 public:
  using ReactorStream::ReactorStream;

  grpc::ClientContext& Context() { return m_context; }
  void OnDone(const grpc::Status& /*status*/) override { Release(); }

 private:
  void CancelCall() override { m_context.TryCancel(); }

  grpc::ClientContext m_context;
};

}  // namespace radishrudder::transport

#endif  // RADISHRUDDER_TRANSPORT_PEER_STREAM_H_
