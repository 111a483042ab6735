#include "radishrudder/calls/agent_gate.h"

#include <utility>

#include "gate_state.h"

namespace radishrudder::calls {

struct AgentGate::State : GateState {
  using GateState::GateState;
};

AgentGate::AgentGate(GateSettings settings, kernel::Random random)
    : m_state(std::make_unique<State>(std::move(settings), random)) {}

AgentGate::~AgentGate() = default;

void AgentGate::OnDocument(kernel::Time now,
                           const document::ServiceDocument& document) {
  m_state->OnDocument(now, document);
}

void AgentGate::OnEndpointState(kernel::Time now,
                                std::string running_digest,
                                bool open) {
  m_state->OnEndpointState(now, std::move(running_digest), open);
}

void AgentGate::OnMessage(kernel::Time now,
                          kernel::WallTime wall_now,
                          const wire::Envelope& message) {
  m_state->OnMessage(now, message);
}

void AgentGate::OnEndpointHead(kernel::Time now,
                               EndpointCallId call,
                               std::uint32_t status,
                               std::vector<Header> headers,
                               std::string manifest_digest) {
  m_state->OnEndpointHead(now, call, status, std::move(headers),
                          std::move(manifest_digest));
}

void AgentGate::OnEndpointData(kernel::Time now,
                               EndpointCallId call,
                               std::string_view data) {
  m_state->OnEndpointData(now, call, data);
}

void AgentGate::OnEndpointCallEnded(kernel::Time now,
                                    EndpointCallId call,
                                    EndpointCallResult result) {
  m_state->OnEndpointCallEnded(now, call, result);
}

void AgentGate::OnPeerDisconnected(kernel::Time now,
                                   const wire::ProcessKey& peer) {
  m_state->OnPeerDisconnected(now, peer);
}

void AgentGate::OnDrain(kernel::Time now) {
  m_state->OnDrain(now);
}

void AgentGate::OnTick(kernel::Time now) {
  m_state->OnTick(now);
}

kernel::Time AgentGate::NextTick() const {
  return m_state->NextTick();
}

std::vector<GateOutput> AgentGate::TakeOutputs() {
  return m_state->TakeOutputs();
}

std::size_t AgentGate::CallsInProgress() const {
  return m_state->CallsInProgress();
}

std::size_t AgentGate::CallsWaiting() const {
  return m_state->CallsWaiting();
}

}  // namespace radishrudder::calls
