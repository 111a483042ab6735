#ifndef RADISHRUDDER_DAEMON_NODE_H_
#define RADISHRUDDER_DAEMON_NODE_H_

#include <asio.hpp>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <system_error>
#include <thread>
#include <vector>

#include "radishrudder/daemon/node_settings.h"
#include "radishrudder/daemon/platform_reader.h"
#include "radishrudder/daemon/shard.h"
#include "radishrudder/dissemination/document_replica.h"
#include "radishrudder/http/client.h"
#include "radishrudder/http/server.h"
#include "radishrudder/membership/membership.h"
#include "radishrudder/metrics/metrics.h"
#include "radishrudder/rollout/rollout.h"
#include "radishrudder/transport/peer_transport.h"

namespace radishrudder::daemon {

// What a daemon adds to the common part of a process.
struct NodeHandlers {
  std::function<void(const dissemination::PublishedDocument&)> on_document;
  // Members of these services changed.
  std::function<void(const std::set<std::string>& services)> on_members;
  // A message that is neither of membership nor of documents.
  std::function<void(const wire::Envelope&)> on_message;
  std::function<void(const wire::ProcessKey& peer)> on_lost;
  std::function<void(const wire::Envelope&)> on_unsent;
  std::function<nlohmann::json()> status;
  std::function<bool()> is_ready;
};

// What every process of the system has: streams to its peers, membership,
// documents, the platform's services and the operators' port.
class Node {
 public:
  explicit Node(NodeSettings settings);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  // What callers of all HTTP ports hold.
  const std::shared_ptr<http::ConnectionMemory>& CallerMemory() const {
    return m_caller_memory;
  }

  // Opens the ports and starts the threads.
  std::error_code Start(NodeHandlers handlers);
  // Closes everything; no handler is called afterwards.
  void Stop();

  asio::io_context& Context() { return m_context; }
  http::Client& HttpClient() { return m_client; }
  metrics::Metrics& Meters() { return m_metrics; }
  const wire::ProcessKey& Self() const { return m_self; }
  const NodeSettings& Settings() const { return m_settings; }
  std::uint16_t AdminPort() const { return m_admin->Port(); }

  // Sends a message; one that cannot leave goes to `on_unsent`.
  void Send(const wire::Send& send);

  // Returns copies of the agents of a service.
  std::vector<membership::Member> AgentsOf(const std::string& service) const;
  std::vector<membership::Member> Members() const;
  bool DocumentsAreCurrent() const;
  // True once the platform's list was read: until then the members known are
  // too few to decide by.
  bool HasInstanceList() const;
  // True if a later run of this instance was heard.
  bool IsSuperseded() const;

  void SetReady(const rollout::Readiness& ready);
  void SetLoad(const membership::Load& load);
  void SetLeaving();

 private:
  using MembershipShard =
      Shard<membership::Membership, membership::MembershipOutput>;
  using ReplicaShard =
      Shard<dissemination::DocumentReplica, dissemination::ReplicaOutput>;

  transport::TransportHandlers MakeTransportHandlers();
  std::unique_ptr<MembershipShard> MakeMembership();
  std::unique_ptr<ReplicaShard> MakeReplica();
  void HandleMessage(const wire::Envelope& message);
  void HandleMembership(membership::MembershipOutput output);
  void HandleReplica(dissemination::ReplicaOutput output);
  void HandleMemberChanged(const std::string& instance);
  void LogState(const membership::Member& member);
  void FlushMembers();
  void UpdatePeers();
  void HandleAdmin(const http::Request& request,
                   const std::shared_ptr<http::Responder>& responder);

  const NodeSettings m_settings;
  const wire::ProcessKey m_self;
  asio::io_context m_context;
  asio::executor_work_guard<asio::io_context::executor_type> m_work;
  metrics::Metrics m_metrics;
  http::Client m_client;
  PlatformReader m_reader;
  NodeHandlers m_handlers;
  std::unique_ptr<transport::PeerTransport> m_transport;
  std::unique_ptr<MembershipShard> m_membership;
  std::unique_ptr<ReplicaShard> m_replica;
  std::shared_ptr<http::ConnectionMemory> m_caller_memory;
  std::unique_ptr<http::Server> m_admin;
  std::vector<std::thread> m_threads;
  std::atomic<bool> m_stopped = false;

  std::mutex m_changes_mutex;
  asio::steady_timer m_flush_timer;
  bool m_flush_armed = false;
  std::set<std::string> m_changed_services;
  std::vector<dissemination::ReplicaPeer> m_peers;
  std::map<std::string, membership::State> m_states;  // As last logged.
};

}  // namespace radishrudder::daemon

#endif  // RADISHRUDDER_DAEMON_NODE_H_
