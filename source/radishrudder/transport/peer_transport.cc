#include "radishrudder/transport/peer_transport.h"

#include <grpcpp/grpcpp.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <utility>

#include "radishrudder/transport/peer_stream.h"
#include "radishrudder/wire/peer.grpc.pb.h"

namespace radishrudder::transport {
namespace {

constexpr std::chrono::seconds kShutdownLimit{1};
constexpr int kMinimumBackoffMilliseconds = 100;
constexpr int kMaximumBackoffMilliseconds = 2'000;

}  // namespace

// All streams of this process, by instance, behind one lock. Handlers are
// called without it.
class PeerTransport::Implementation final : public wire::Peer::CallbackService {
 public:
  Implementation(TransportSettings settings,
                 wire::ProcessKey self,
                 TransportHandlers handlers)
      : m_settings(std::move(settings)),
        m_self(std::move(self)),
        m_handlers(std::move(handlers)) {}

  std::error_code Start() {
    grpc::ServerBuilder builder;
    int bound_port = 0;
    const std::string address =
        m_settings.address + ":" + std::to_string(m_settings.port);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.SetMaxReceiveMessageSize(
        static_cast<int>(m_settings.maximum_message_bytes));
    builder.AddListeningPort(address, grpc::InsecureServerCredentials(),
                             &bound_port);
    builder.RegisterService(this);
    m_server = builder.BuildAndStart();
    if (!m_server || bound_port == 0) {
      m_server.reset();
      return std::make_error_code(std::errc::address_in_use);
    }
    m_port = static_cast<std::uint16_t>(bound_port);
    return {};
  }

  std::uint16_t Port() const { return m_port; }

  grpc::ServerBidiReactor<wire::Envelope, wire::Envelope>* Exchange(
      grpc::CallbackServerContext* context) override {
    auto stream = std::make_shared<ServerStream>(
        context, Greeting(), m_settings.maximum_queued_bytes, Events(""));
    {
      const std::lock_guard lock(m_mutex);
      m_streams.insert(stream);
      ++m_alive;
    }
    stream->Open();
    return stream.get();
  }

  void SetAddress(std::string_view instance, std::string_view address) {
    const std::lock_guard lock(m_mutex);
    m_addresses[std::string(instance)] = address;
  }

  bool Send(std::string_view instance, wire::Envelope message) {
    *message.mutable_from() = wire::ToMessage(m_self);
    const auto [stream, unopened] = FindOrMake(instance);
    const bool queued = stream && stream->Send(std::move(message));
    if (unopened) {
      // Only now, so that a stream that fails at once reports the message.
      unopened->Open();
    }
    return queued;
  }

  void Forget(std::string_view instance) {
    std::shared_ptr<PeerStream> stream;
    {
      const std::lock_guard lock(m_mutex);
      m_addresses.erase(std::string(instance));
      const auto found = m_by_instance.find(instance);
      if (found != m_by_instance.end()) {
        stream = found->second;
      }
    }
    if (stream) {
      stream->Close();
    }
  }

  std::size_t StreamCount() const {
    const std::lock_guard lock(m_mutex);
    return m_streams.size();
  }

  void Stop() {
    std::vector<std::shared_ptr<PeerStream>> streams;
    {
      const std::lock_guard lock(m_mutex);
      m_stopped = true;
      streams.assign(m_streams.begin(), m_streams.end());
    }
    for (const std::shared_ptr<PeerStream>& stream : streams) {
      stream->Close();
    }
    streams.clear();
    {
      // gRPC ends its threads with the last server or channel that is not shut
      // down. That must not happen on one of these threads, so the server has
      // to outlive all streams.
      std::unique_lock lock(m_mutex);
      m_all_gone.wait_for(lock, kShutdownLimit,
                          [this] { return m_alive == 0; });
    }
    if (m_server) {
      m_server->Shutdown(std::chrono::system_clock::now() + kShutdownLimit);
      m_server->Wait();
    }
  }

 private:
  wire::Envelope Greeting() const {
    wire::Envelope greeting;
    *greeting.mutable_from() = wire::ToMessage(m_self);
    wire::Hello& hello = *greeting.mutable_hello();
    hello.set_address(m_settings.address + ":" + std::to_string(m_port));
    hello.set_data_centre(m_settings.data_centre);
    hello.set_role(m_settings.role);
    return greeting;
  }

  // Events of a stream opened to `target`, or by a peer if it is empty.
  StreamEvents Events(std::string target) {
    return {[this](const std::shared_ptr<PeerStream>& stream,
                   const wire::ProcessKey& peer) { HandleOpen(stream, peer); },
            [this](wire::Envelope message) {
              if (!Stopped()) {
                m_handlers.on_message(std::move(message));
              }
            },
            [this, target = std::move(target)](
                const std::shared_ptr<PeerStream>& stream,
                std::optional<wire::ProcessKey> peer,
                std::vector<wire::Envelope> unsent) {
              HandleEnd(stream, target, std::move(peer), std::move(unsent));
            },
            [this] { HandleGone(); }};
  }

  bool Stopped() const {
    const std::lock_guard lock(m_mutex);
    return m_stopped;
  }

  void HandleOpen(const std::shared_ptr<PeerStream>& stream,
                  const wire::ProcessKey& peer) {
    const std::lock_guard lock(m_mutex);
    m_by_instance.emplace(peer.instance, stream);
  }

  void HandleEnd(const std::shared_ptr<PeerStream>& stream,
                 const std::string& target,
                 std::optional<wire::ProcessKey> peer,
                 std::vector<wire::Envelope> unsent) {
    bool stopped = false;
    {
      const std::lock_guard lock(m_mutex);
      EraseFromIndex(stream, target);
      if (peer) {
        EraseFromIndex(stream, peer->instance);
      }
      stopped = m_stopped;
    }
    if (!stopped) {
      const std::string& instance = peer ? peer->instance : target;
      for (wire::Envelope& message : unsent) {
        m_handlers.on_unsent(instance, std::move(message));
      }
      if (peer) {
        m_handlers.on_lost(*peer);
      }
    }
    const std::lock_guard lock(m_mutex);
    m_streams.erase(stream);
  }

  void HandleGone() {
    const std::lock_guard lock(m_mutex);
    --m_alive;
    m_all_gone.notify_all();
  }

  // Requires the lock.
  void EraseFromIndex(const std::shared_ptr<PeerStream>& stream,
                      const std::string& instance) {
    const auto found = m_by_instance.find(instance);
    if (found != m_by_instance.end() && found->second == stream) {
      m_by_instance.erase(found);
    }
  }

  // The stream to a peer; `unopened` is set if it has just been made.
  struct StreamTo {
    std::shared_ptr<PeerStream> stream;
    std::shared_ptr<ClientStream> unopened;
  };

  StreamTo FindOrMake(std::string_view instance) {
    const std::lock_guard lock(m_mutex);
    const auto found = m_by_instance.find(instance);
    if (found != m_by_instance.end()) {
      return {found->second, nullptr};
    }
    const auto address = m_addresses.find(instance);
    if (address == m_addresses.end() || m_stopped) {
      return {};
    }
    const auto stream = std::make_shared<ClientStream>(
        Greeting(), m_settings.maximum_queued_bytes,
        Events(std::string(instance)));
    m_streams.insert(stream);
    ++m_alive;
    m_by_instance.emplace(instance, stream);
    const std::unique_ptr<wire::Peer::Stub> stub =
        wire::Peer::NewStub(ChannelTo(address->second));
    stub->async()->Exchange(&stream->Context(), stream.get());
    return {stream, stream};
  }

  std::shared_ptr<grpc::Channel> ChannelTo(const std::string& address) const {
    grpc::ChannelArguments arguments;
    arguments.SetMaxReceiveMessageSize(
        static_cast<int>(m_settings.maximum_message_bytes));
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS,
                     kMinimumBackoffMilliseconds);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS,
                     kMaximumBackoffMilliseconds);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    return grpc::CreateCustomChannel(
        address, grpc::InsecureChannelCredentials(), arguments);
  }

  const TransportSettings m_settings;
  const wire::ProcessKey m_self;
  const TransportHandlers m_handlers;
  std::unique_ptr<grpc::Server> m_server;
  std::uint16_t m_port = 0;

  mutable std::mutex m_mutex;
  std::condition_variable m_all_gone;
  bool m_stopped = false;
  std::set<std::shared_ptr<PeerStream>> m_streams;
  // Streams not yet destroyed, also those that have ended.
  std::size_t m_alive = 0;
  std::map<std::string, std::shared_ptr<PeerStream>, std::less<>> m_by_instance;
  std::map<std::string, std::string, std::less<>> m_addresses;
};

PeerTransport::PeerTransport(TransportSettings settings,
                             wire::ProcessKey self,
                             TransportHandlers handlers)
    : m_implementation(std::make_unique<Implementation>(std::move(settings),
                                                        std::move(self),
                                                        std::move(handlers))) {}

PeerTransport::~PeerTransport() {
  Stop();
}

std::error_code PeerTransport::Start() {
  return m_implementation->Start();
}

std::uint16_t PeerTransport::Port() const {
  return m_implementation->Port();
}

void PeerTransport::SetAddress(std::string_view instance,
                               std::string_view address) {
  m_implementation->SetAddress(instance, address);
}

bool PeerTransport::Send(std::string_view instance, wire::Envelope message) {
  return m_implementation->Send(instance, std::move(message));
}

void PeerTransport::Forget(std::string_view instance) {
  m_implementation->Forget(instance);
}

std::size_t PeerTransport::StreamCount() const {
  return m_implementation->StreamCount();
}

void PeerTransport::Stop() {
  m_implementation->Stop();
}

}  // namespace radishrudder::transport
