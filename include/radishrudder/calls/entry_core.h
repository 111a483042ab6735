#ifndef RADISHRUDDER_CALLS_ENTRY_CORE_H_
#define RADISHRUDDER_CALLS_ENTRY_CORE_H_

#include <atomic>
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

// State of an agent that serves a service, as known to the entry.
struct EndpointView {
  std::string instance{};
  std::uint64_t incarnation = 0;
  std::string data_centre{};
  double distance_seconds = 0;
  bool leaving = false;
  bool suspected = false;
  std::string running_digest{};
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t capacity = 0;
};

// A POST request to this target of a service requests an idempotency key. The
// answer has status 201 and the body {"key": "..."}.
inline constexpr std::string_view kIssueKeyTarget = "/-/idempotency-keys";

using EntryOutput = std::
    variant<wire::Send, AnswerHead, AnswerPart, AnswerComplete, CallFailed>;

struct EntrySettings {
  wire::ProcessKey self{};
  std::string data_centre{};
  std::uint32_t endpoint_subset = 32;
  // Counter for attempt sequences, shared by the shards of one entry. If null,
  // the core creates its own. Shard i of n uses the sequences that are
  // congruent to i modulo n.
  std::shared_ptr<std::atomic<std::uint64_t>> sequences{};
  std::uint64_t shard = 0;
  std::uint64_t shard_count = 1;
};

// Admits, routes, retries and answers the calls of a set of services. This is a
// state machine without sockets, threads or clocks; each shard has one.
class EntryCore {
 public:
  EntryCore(EntrySettings settings, kernel::Random random);
  ~EntryCore();

  void OnDocument(kernel::Time now, const document::ServiceDocument& document);
  void OnDocumentDeleted(kernel::Time now, std::string_view service);
  // Replaces the list of all agents of a service. Called on every change.
  void OnEndpoints(kernel::Time now,
                   std::string_view service,
                   std::vector<EndpointView> endpoints);
  void OnCall(kernel::Time now, CallId call, CallRequest request);
  // Called when the caller has disconnected. Cancels the call's attempts.
  void OnCallerDisconnected(kernel::Time now, CallId call);
  void OnMessage(kernel::Time now, const wire::Envelope& message);
  // Called when a message could not be sent; no byte of it left this process.
  void OnSendFailed(kernel::Time now, const wire::Envelope& message);
  // Called when the stream to that run of an agent has closed.
  void OnPeerDisconnected(kernel::Time now, const wire::ProcessKey& peer);
  // Refuses new calls from now on; calls in progress continue.
  void OnDrain(kernel::Time now);
  // Fails all calls, those that were not sent to an agent as not run: the
  // process ends now. Refuses new ones.
  void EndCalls(kernel::Time now);
  void OnTick(kernel::Time now);
  kernel::Time NextTick() const;
  std::vector<EntryOutput> TakeOutputs();

  std::size_t CallsInProgress() const;
  std::size_t CallsWaiting() const;
  // Describes as text how calls of that service are routed and why.
  std::string Explain(std::string_view service) const;

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace radishrudder::calls

#endif  // RADISHRUDDER_CALLS_ENTRY_CORE_H_
