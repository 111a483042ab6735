#include "radishrudder/daemon/endpoint_gate.h"

#include <chrono>
#include <utility>

#include "radishrudder/kernel/random.h"

namespace radishrudder::daemon {

EndpointGate::EndpointGate(asio::io_context& context,
                           http::Client& client,
                           std::string endpoint_url,
                           calls::GateSettings settings,
                           std::function<void(const wire::Send&)> send)
    : m_send(std::move(send)),
      m_endpoint(client, std::move(endpoint_url), MakeHandlers()),
      m_gate(
          context,
          [this](calls::GateOutput output) { HandleOutput(std::move(output)); },
          std::move(settings),
          kernel::Random(kernel::SystemEntropy())) {}

EndpointCallHandlers EndpointGate::MakeHandlers() {
  return {[this](calls::EndpointCallId call, std::uint32_t status,
                 std::vector<calls::Header> headers, std::string digest) {
            m_gate.Run([&](auto& core, kernel::Time now) {
              core.OnEndpointHead(now, call, status, std::move(headers),
                                  std::move(digest));
            });
          },
          [this](calls::EndpointCallId call, std::string_view data) {
            m_gate.Run([&](auto& core, kernel::Time now) {
              core.OnEndpointData(now, call, data);
            });
          },
          [this](calls::EndpointCallId call, calls::EndpointCallResult result) {
            m_gate.Run([&](auto& core, kernel::Time now) {
              core.OnEndpointCallEnded(now, call, result);
            });
          }};
}

void EndpointGate::OnDocument(const document::ServiceDocument& document) {
  m_gate.Run(
      [&](auto& core, kernel::Time now) { core.OnDocument(now, document); });
}

void EndpointGate::OnMessage(const wire::Envelope& message) {
  m_gate.Run([&](auto& core, kernel::Time now) {
    core.OnMessage(now, std::chrono::system_clock::now(), message);
  });
}

void EndpointGate::OnPeerDisconnected(const wire::ProcessKey& peer) {
  m_gate.Run([&](auto& core, kernel::Time now) {
    core.OnPeerDisconnected(now, peer);
  });
}

void EndpointGate::Drain() {
  m_gate.Run([](auto& core, kernel::Time now) { core.OnDrain(now); });
}

void EndpointGate::Open() {
  Update([this](EndpointState& state) {
    state.open = true;
    m_closing = false;
  });
}

void EndpointGate::Close() {
  Update([this](EndpointState& state) {
    state.open = false;
    m_closing = true;
  });
}

void EndpointGate::SetRunning(const EndpointReport& report) {
  Update([&](EndpointState& state) {
    state.running_digest = report.status.running_digest;
    state.capacity = report.capacity;
  });
}

template <typename Change>
void EndpointGate::Update(Change change) {
  // Held over both, so that the state machine sees changes in their order.
  const std::lock_guard lock(m_mutex);
  change(m_state);
  m_gate.Run([&](auto& core, kernel::Time now) {
    core.OnEndpointState(now, m_state.running_digest, m_state.open);
  });
}

bool EndpointGate::TakeEmptied() {
  const std::lock_guard lock(m_mutex);
  if (!m_closing || CallsInProgress() != 0) {
    return false;
  }
  m_closing = false;
  return true;
}

void EndpointGate::HandleOutput(calls::GateOutput output) {
  std::visit(Overloaded{[this](const wire::Send& send) { m_send(send); },
                        [this](calls::StartEndpointCall& call) {
                          m_endpoint.Start(std::move(call));
                        },
                        [this](const calls::CancelEndpointCall& cancel) {
                          m_endpoint.Cancel(cancel.call);
                        }},
             output);
}

EndpointState EndpointGate::State() const {
  const std::lock_guard lock(m_mutex);
  return m_state;
}

membership::Load EndpointGate::CurrentLoad() const {
  membership::Load load =
      m_gate.Ask([](const calls::AgentGate& core) -> membership::Load {
        return {static_cast<std::uint32_t>(core.CallsInProgress()),
                static_cast<std::uint32_t>(core.CallsWaiting()), 0};
      });
  load.capacity = State().capacity;
  return load;
}

std::size_t EndpointGate::CallsInProgress() const {
  return m_gate.Ask([](const calls::AgentGate& core) {
    return core.CallsInProgress() + core.CallsWaiting();
  });
}

}  // namespace radishrudder::daemon
