#include "radishrudder/daemon/node.h"

#include <utility>

#include "radishrudder/kernel/random.h"
#include "radishrudder/logging/events.h"

namespace radishrudder::daemon {
namespace {

constexpr std::size_t kMaximumSeries = 5'000;
// Changes of members are collected for this long before they are handed on.
constexpr std::chrono::milliseconds kFlushDelay{20};
constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusUnavailable = 503;

wire::ProcessKey DrawIdentity(const std::string& instance) {
  kernel::Random random(kernel::SystemEntropy());
  return {instance,
          wire::DrawIncarnation(std::chrono::system_clock::now(), random)};
}

kernel::Random SeededRandom() {
  return kernel::Random(kernel::SystemEntropy());
}

bool SamePeers(const std::vector<dissemination::ReplicaPeer>& first,
               const std::vector<dissemination::ReplicaPeer>& second) {
  return std::equal(first.begin(), first.end(), second.begin(), second.end(),
                    [](const dissemination::ReplicaPeer& a,
                       const dissemination::ReplicaPeer& b) {
                      return a.instance == b.instance &&
                             a.data_centre == b.data_centre;
                    });
}

const logging::Event& EventOf(membership::State state) {
  switch (state) {
    case membership::State::kLeaving:
      return logging::kInstanceLeaving;
    case membership::State::kSuspected:
      return logging::kInstanceSuspected;
    case membership::State::kDead:
      return logging::kInstanceLost;
    default:
      return logging::kInstanceJoined;
  }
}

}  // namespace

Node::Node(NodeSettings settings)
    : m_settings(std::move(settings)),
      m_self(DrawIdentity(m_settings.instance)),
      m_work(asio::make_work_guard(m_context)),
      m_metrics(kMaximumSeries),
      m_reader(m_client,
               m_settings.configuration_url,
               m_settings.instances_url),
      m_flush_timer(m_context) {}

Node::~Node() {
  Stop();
}

std::error_code Node::Start(NodeHandlers handlers) {
  m_handlers = std::move(handlers);
  m_caller_memory =
      std::make_shared<http::ConnectionMemory>(m_settings.caller_memory_bytes);
  transport::TransportSettings transport;
  transport.address = m_settings.listen;
  transport.port = m_settings.peer_port;
  transport.data_centre = m_settings.data_centre;
  transport.role =
      m_settings.role == membership::Role::kEntry ? "entry" : "agent";
  m_transport = std::make_unique<transport::PeerTransport>(
      transport, m_self, MakeTransportHandlers());
  m_membership = MakeMembership();
  m_replica = MakeReplica();
  if (const std::error_code error = m_transport->Start()) {
    return error;
  }
  http::ServerSettings admin;
  admin.address = m_settings.listen;
  admin.port = m_settings.admin_port;
  admin.threads = 1;
  admin.memory = m_caller_memory;
  m_admin = std::make_unique<http::Server>(
      admin, [this](const http::Request& request,
                    const std::shared_ptr<http::Responder>& responder) {
        HandleAdmin(request, responder);
      });
  if (const std::error_code error = m_admin->Start()) {
    return error;
  }
  for (std::size_t i = 0; i < m_settings.threads; ++i) {
    m_threads.emplace_back([this] { m_context.run(); });
  }
  const auto tick = [](auto& core, kernel::Time now) { core.OnTick(now); };
  m_membership->Run(tick);
  m_replica->Run(tick);
  return {};
}

void Node::Stop() {
  if (m_stopped.exchange(true)) {
    return;
  }
  if (m_admin) {
    m_admin->Stop();
  }
  if (m_transport) {
    m_transport->Stop();
  }
  m_client.Stop();
  m_context.stop();
  for (std::thread& thread : m_threads) {
    thread.join();
  }
}

transport::TransportHandlers Node::MakeTransportHandlers() {
  return {
      [this](const wire::Envelope& message) { HandleMessage(message); },
      [this](const wire::ProcessKey& peer) {
        logging::Log(logging::kPeerLost, {{"instance", peer.instance}});
        m_handlers.on_lost(peer);
      },
      [this](const std::string& /*instance*/, const wire::Envelope& message) {
        m_handlers.on_unsent(message);
      }};
}

std::unique_ptr<Node::MembershipShard> Node::MakeMembership() {
  membership::MembershipSettings settings;
  settings.self.key = m_self;
  settings.self.listed.instance = m_settings.instance;
  settings.self.listed.role = m_settings.role;
  settings.self.listed.service = m_settings.service;
  settings.self.listed.data_centre = m_settings.data_centre;
  settings.self.listed.region = m_settings.region;
  settings.self.listed.address =
      m_settings.listen + ":" + std::to_string(m_settings.peer_port);
  return std::make_unique<MembershipShard>(
      m_context,
      [this](membership::MembershipOutput output) {
        HandleMembership(std::move(output));
      },
      settings, SeededRandom());
}

std::unique_ptr<Node::ReplicaShard> Node::MakeReplica() {
  dissemination::ReplicaSettings settings;
  settings.self = m_self;
  settings.data_centre = m_settings.data_centre;
  return std::make_unique<ReplicaShard>(
      m_context,
      [this](dissemination::ReplicaOutput output) {
        HandleReplica(std::move(output));
      },
      settings, SeededRandom());
}

void Node::Send(const wire::Send& send) {
  if (!m_transport->Send(send.to, send.message)) {
    m_handlers.on_unsent(send.message);
  }
}

void Node::HandleMessage(const wire::Envelope& message) {
  switch (message.body_case()) {
    case wire::Envelope::kHello:
      logging::Log(logging::kPeerConnected,
                   {{"instance", message.from().instance()}});
      m_transport->SetAddress(message.from().instance(),
                              message.hello().address());
      break;
    case wire::Envelope::kHeartbeat:
    case wire::Envelope::kHeartbeatBatch:
      m_membership->Run(
          [&](auto& core, kernel::Time now) { core.OnMessage(now, message); });
      break;
    case wire::Envelope::kDocumentDigest:
    case wire::Envelope::kDocumentRequest:
    case wire::Envelope::kDocumentUpdate:
      m_replica->Run(
          [&](auto& core, kernel::Time now) { core.OnMessage(now, message); });
      break;
    case wire::Envelope::BODY_NOT_SET:
      logging::Log(logging::kMessageRejected,
                   {{"from", message.from().instance()},
                    {"problem", "message of an unknown kind"}});
      break;
    default:
      m_handlers.on_message(message);
  }
}

void Node::HandleMembership(membership::MembershipOutput output) {
  std::visit(
      Overloaded{[this](const wire::Send& send) { Send(send); },
                 [this](const membership::StartInstanceListRead& read) {
                   m_reader.ReadInstances(
                       read, [this](membership::InstanceListResult result) {
                         m_membership->Run([&](auto& core, kernel::Time now) {
                           core.OnInstanceList(now, std::move(result));
                         });
                       });
                 },
                 [this](const membership::MemberChanged& changed) {
                   HandleMemberChanged(changed.instance);
                 }},
      output);
}

void Node::HandleReplica(dissemination::ReplicaOutput output) {
  std::visit(
      Overloaded{[this](const wire::Send& send) { Send(send); },
                 [this](const dissemination::StartDocumentRead& read) {
                   m_reader.ReadDocuments(
                       read, [this](dissemination::DocumentReadResult result) {
                         m_replica->Run([&](auto& core, kernel::Time now) {
                           core.OnRead(now, std::move(result));
                         });
                       });
                 },
                 [this](const dissemination::DocumentAccepted& accepted) {
                   m_handlers.on_document(accepted.document);
                 }},
      output);
}

void Node::HandleMemberChanged(const std::string& instance) {
  const std::optional<membership::Member> member =
      m_membership->Ask([&](const membership::Membership& core) {
        const membership::Member* found = core.Find(instance);
        return found != nullptr ? std::optional(*found) : std::nullopt;
      });
  if (member && !member->listed.address.empty()) {
    m_transport->SetAddress(instance, member->listed.address);
    LogState(*member);
  } else if (!member) {
    m_transport->Forget(instance);
  }
  const std::lock_guard lock(m_changes_mutex);
  if (!member) {
    m_states.erase(instance);
  }
  if (member) {
    m_changed_services.insert(member->listed.service);
  }
  if (m_flush_armed) {
    return;
  }
  m_flush_armed = true;
  m_flush_timer.expires_after(kFlushDelay);
  m_flush_timer.async_wait([this](const std::error_code& error) {
    if (!error) {
      FlushMembers();
    }
  });
}

void Node::LogState(const membership::Member& member) {
  {
    const std::lock_guard lock(m_changes_mutex);
    const auto [known, is_new] =
        m_states.try_emplace(member.listed.instance, member.state);
    if (!is_new && known->second == member.state) {
      return;
    }
    known->second = member.state;
  }
  logging::Log(EventOf(member.state), {{"instance", member.listed.instance}});
}

void Node::FlushMembers() {
  std::set<std::string> services;
  {
    const std::lock_guard lock(m_changes_mutex);
    m_flush_armed = false;
    services.swap(m_changed_services);
  }
  UpdatePeers();
  m_handlers.on_members(services);
}

void Node::UpdatePeers() {
  std::vector<dissemination::ReplicaPeer> peers;
  for (const membership::Member& member : Members()) {
    if (member.state != membership::State::kDead &&
        member.listed.instance != m_settings.instance) {
      peers.push_back({member.listed.instance, member.listed.data_centre});
    }
  }
  {
    const std::lock_guard lock(m_changes_mutex);
    if (SamePeers(peers, m_peers)) {
      return;
    }
    m_peers = peers;
  }
  m_replica->Run([&](auto& core, kernel::Time now) {
    core.OnPeers(now, std::move(peers));
  });
}

std::vector<membership::Member> Node::AgentsOf(
    const std::string& service) const {
  return m_membership->Ask([&](const membership::Membership& core) {
    std::vector<membership::Member> members;
    for (const membership::Member* member : core.AgentsOf(service)) {
      members.push_back(*member);
    }
    return members;
  });
}

std::vector<membership::Member> Node::Members() const {
  return m_membership->Ask([](const membership::Membership& core) {
    std::vector<membership::Member> members;
    for (const membership::Member* member : core.All()) {
      members.push_back(*member);
    }
    return members;
  });
}

bool Node::DocumentsAreCurrent() const {
  return m_replica->Ask([](const dissemination::DocumentReplica& core) {
    return core.IsCurrent();
  });
}

bool Node::HasInstanceList() const {
  return m_membership->Ask(
      [](const membership::Membership& core) { return core.HasList(); });
}

bool Node::IsSuperseded() const {
  return m_membership->Ask(
      [](const membership::Membership& core) { return core.IsSuperseded(); });
}

void Node::SetReady(const rollout::Readiness& ready) {
  m_membership->Run([&](auto& core, kernel::Time) {
    core.SetReady(ready.running_digest, ready.revision,
                  ready.accepted_revision);
  });
}

void Node::SetLoad(const membership::Load& load) {
  m_membership->Run([&](auto& core, kernel::Time) { core.SetLoad(load); });
}

void Node::SetLeaving() {
  m_membership->Run([](auto& core, kernel::Time now) { core.SetLeaving(now); });
}

void Node::HandleAdmin(const http::Request& request,
                       const std::shared_ptr<http::Responder>& responder) {
  const std::vector<http::Header> text{{"Content-Type", "text/plain"}};
  if (request.path == "/status") {
    responder->Reply(kStatusOk, {{"Content-Type", "application/json"}},
                     m_handlers.status().dump() + "\n");
  } else if (request.path == "/metrics") {
    responder->Reply(kStatusOk, text, m_metrics.PrometheusText());
  } else if (request.path == "/healthz") {
    responder->Reply(kStatusOk, text, "ok\n");
  } else if (request.path == "/readyz") {
    const bool ready = m_handlers.is_ready();
    responder->Reply(ready ? kStatusOk : kStatusUnavailable, text,
                     ready ? "ready\n" : "not ready\n");
  } else {
    responder->Reply(kStatusNotFound, text,
                     "no page \"" + request.path +
                         "\"; valid: /status, /metrics, /healthz, /readyz\n");
  }
}

}  // namespace radishrudder::daemon
