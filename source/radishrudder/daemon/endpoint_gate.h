#ifndef RADISHRUDDER_DAEMON_ENDPOINT_GATE_H_
#define RADISHRUDDER_DAEMON_ENDPOINT_GATE_H_

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>

#include "radishrudder/calls/agent_gate.h"
#include "radishrudder/daemon/endpoint_client.h"
#include "radishrudder/daemon/shard.h"
#include "radishrudder/http/client.h"
#include "radishrudder/membership/membership.h"

namespace radishrudder::daemon {

// The endpoint as its gate sees it.
struct EndpointState {
  std::string running_digest;
  bool open = false;
  std::uint32_t capacity = 0;
};

// The gate's state machine joined to the endpoint: starts, cancels and
// answers calls, and knows whether calls may pass.
class EndpointGate {
 public:
  EndpointGate(asio::io_context& context,
               http::Client& client,
               std::string endpoint_url,
               calls::GateSettings settings,
               std::function<void(const wire::Send&)> send);

  void OnDocument(const document::ServiceDocument& document);
  void OnMessage(const wire::Envelope& message);
  void OnPeerDisconnected(const wire::ProcessKey& peer);
  // Refuses new calls for good; those in progress go on.
  void Drain();

  // Lets calls pass, or refuses them until opened again.
  void Open();
  void Close();
  // What the endpoint said it runs.
  void SetRunning(const EndpointReport& report);
  // Returns true once after each `Close`, when no call is left.
  bool TakeEmptied();

  EndpointState State() const;
  membership::Load CurrentLoad() const;
  std::size_t CallsInProgress() const;
  EndpointClient& Endpoint() { return m_endpoint; }

 private:
  using GateShard = Shard<calls::AgentGate, calls::GateOutput>;

  EndpointCallHandlers MakeHandlers();
  void HandleOutput(calls::GateOutput output);
  // Changes what the gate knows of the endpoint.
  template <typename Change>
  void Update(Change change);

  const std::function<void(const wire::Send&)> m_send;
  EndpointClient m_endpoint;
  GateShard m_gate;
  mutable std::mutex m_mutex;
  EndpointState m_state;
  bool m_closing = false;
};

}  // namespace radishrudder::daemon

#endif  // RADISHRUDDER_DAEMON_ENDPOINT_GATE_H_
