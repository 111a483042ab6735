#include "radishrudder/calls/entry_core.h"

#include <utility>

#include "entry_state.h"

namespace radishrudder::calls {

struct EntryCore::State : EntryState {
  using EntryState::EntryState;
};

EntryCore::EntryCore(EntrySettings settings, kernel::Random random)
    : m_state(std::make_unique<State>(std::move(settings), random)) {}

EntryCore::~EntryCore() = default;

void EntryCore::OnDocument(kernel::Time now,
                           const document::ServiceDocument& document) {
  m_state->OnDocument(now, document);
}

void EntryCore::OnDocumentDeleted(kernel::Time now, std::string_view service) {
  m_state->OnDocumentDeleted(now, service);
}

void EntryCore::OnEndpoints(kernel::Time now,
                            std::string_view service,
                            std::vector<EndpointView> endpoints) {
  m_state->OnEndpoints(now, service, std::move(endpoints));
}

void EntryCore::OnCall(kernel::Time now, CallId call, CallRequest request) {
  m_state->OnCall(now, call, std::move(request));
}

void EntryCore::OnCallerDisconnected(kernel::Time now, CallId call) {
  m_state->OnCallerDisconnected(now, call);
}

void EntryCore::OnMessage(kernel::Time now, const wire::Envelope& message) {
  m_state->OnMessage(now, message);
}

void EntryCore::OnSendFailed(kernel::Time now, const wire::Envelope& message) {
  m_state->OnSendFailed(now, message);
}

void EntryCore::OnPeerDisconnected(kernel::Time now,
                                   const wire::ProcessKey& peer) {
  m_state->OnPeerDisconnected(now, peer);
}

void EntryCore::OnDrain(kernel::Time now) {
  m_state->OnDrain();
}

void EntryCore::EndCalls(kernel::Time now) {
  m_state->EndCalls(now);
}

void EntryCore::OnTick(kernel::Time now) {
  m_state->OnTick(now);
}

kernel::Time EntryCore::NextTick() const {
  return m_state->NextTick();
}

std::vector<EntryOutput> EntryCore::TakeOutputs() {
  return m_state->TakeOutputs();
}

std::size_t EntryCore::CallsInProgress() const {
  return m_state->CallsInProgress();
}

std::size_t EntryCore::CallsWaiting() const {
  return m_state->CallsWaiting();
}

std::string EntryCore::Explain(std::string_view service) const {
  return m_state->Explain(service);
}

}  // namespace radishrudder::calls
