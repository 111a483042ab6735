#ifndef RADISHRUDDER_CALLS_AGENT_GATE_H_
#define RADISHRUDDER_CALLS_AGENT_GATE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "radishrudder/calls/outcome.h"
#include "radishrudder/document/service_document.h"
#include "radishrudder/kernel/random.h"
#include "radishrudder/kernel/time.h"
#include "radishrudder/wire/process_id.h"

namespace radishrudder::calls {

// Identifies a call at the endpoint. The gate assigns these numbers.
using EndpointCallId = std::uint64_t;

// Requests that the endpoint start this call now.
struct StartEndpointCall {
  EndpointCallId call = 0;
  std::string method{};
  std::string target{};
  std::vector<Header> headers{};
  std::string body{};
  std::chrono::milliseconds timeout{0};
  std::string manifest_digest{};
};

// Requests that the endpoint stop a call.
struct CancelEndpointCall {
  EndpointCallId call = 0;
};

// How a call at the endpoint ended.
enum class EndpointCallResult {
  kComplete,    // The endpoint sent the complete answer.
  kNotSent,     // No byte of the request reached the endpoint.
  kInterrupted  // The call may have run.
};

using GateOutput =
    std::variant<wire::Send, StartEndpointCall, CancelEndpointCall>;

struct GateSettings {
  wire::ProcessKey self{};
  std::string service{};
  // Time for which an issued key is accepted and kept in the ledger.
  std::chrono::milliseconds key_lifetime{15 * 60 * 1000};
  std::uint32_t maximum_waiting = 16;
  std::uint64_t maximum_recorded_bytes = 32ULL << 20U;
};

// Controls all access to one endpoint: admits attempts, runs each at most once
// and sends the answers to the entry. An attempt that was reported as not run
// is refused permanently. This is a state machine without sockets, threads or
// clocks.
class AgentGate {
 public:
  AgentGate(GateSettings settings, kernel::Random random);
  ~AgentGate();

  void OnDocument(kernel::Time now, const document::ServiceDocument& document);
  // Sets the manifest digest that the endpoint runs; empty for none. Calls are
  // accepted only while `open`. Plain services have an empty digest and are
  // open.
  void OnEndpointState(kernel::Time now, std::string running_digest, bool open);
  void OnMessage(kernel::Time now,
                 kernel::WallTime wall_now,
                 const wire::Envelope& message);
  void OnEndpointHead(kernel::Time now,
                      EndpointCallId call,
                      std::uint32_t status,
                      std::vector<Header> headers,
                      std::string manifest_digest);
  void OnEndpointData(kernel::Time now,
                      EndpointCallId call,
                      std::string_view data);
  void OnEndpointCallEnded(kernel::Time now,
                           EndpointCallId call,
                           EndpointCallResult result);
  // Called when an entry's stream has closed or its process has ended. Refuses
  // the queued attempts of that entry and cancels its running idempotent ones.
  void OnPeerDisconnected(kernel::Time now, const wire::ProcessKey& peer);
  // Refuses queued and new attempts from now on; running calls continue.
  void OnDrain(kernel::Time now);
  void OnTick(kernel::Time now);
  kernel::Time NextTick() const;
  std::vector<GateOutput> TakeOutputs();

  std::size_t CallsInProgress() const;
  std::size_t CallsWaiting() const;

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace radishrudder::calls

#endif  // RADISHRUDDER_CALLS_AGENT_GATE_H_
