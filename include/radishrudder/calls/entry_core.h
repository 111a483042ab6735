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

// An agent that may take calls of a service, as the entry knows it.
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

// A POST to this target of a service asks for an idempotency key; the answer
// is {"key": "..."} with status 201.
inline constexpr std::string_view kIssueKeyTarget = "/-/idempotency-keys";

using EntryOutput = std::
    variant<wire::Send, AnswerHead, AnswerPart, AnswerComplete, CallFailed>;

struct EntrySettings {
  wire::ProcessKey self{};
  std::string data_centre{};
  std::uint32_t endpoint_subset = 32;
  // Source of attempt sequences, shared by the shards of one entry; null: a
  // source of its own. Shard i of n sends the sequences that leave remainder i
  // when divided by n.
  std::shared_ptr<std::atomic<std::uint64_t>> sequences{};
  std::uint64_t shard = 0;
  std::uint64_t shard_count = 1;
};

// Admits, routes, retries and answers the calls of some services. State
// machine without sockets, threads or clocks; one instance a shard.
class EntryCore {
 public:
  EntryCore(EntrySettings settings, kernel::Random random);
  ~EntryCore();

  void OnDocument(kernel::Time now, const document::ServiceDocument& document);
  void OnDocumentDeleted(kernel::Time now, std::string_view service);
  // All agents of a service, whenever something about them changed.
  void OnEndpoints(kernel::Time now,
                   std::string_view service,
                   std::vector<EndpointView> endpoints);
  void OnCall(kernel::Time now, CallId call, CallRequest request);
  // The caller has gone: cancels what runs for it.
  void OnCallerGone(kernel::Time now, CallId call);
  void OnMessage(kernel::Time now, const wire::Envelope& message);
  // A message to that agent could not be sent: nothing left this process.
  void OnSendFailed(kernel::Time now, const wire::Envelope& message);
  // The stream to that run of an agent broke.
  void OnPeerLost(kernel::Time now, const wire::ProcessKey& peer);
  // Refuses new calls; those in progress go on.
  void OnDrain(kernel::Time now);
  void OnTick(kernel::Time now);
  kernel::Time NextTick() const;
  std::vector<EntryOutput> TakeOutputs();

  std::size_t CallsInProgress() const;
  std::size_t CallsWaiting() const;
  // Says in words where a call of that service would go now and why.
  std::string Explain(std::string_view service) const;

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace radishrudder::calls

#endif  // RADISHRUDDER_CALLS_ENTRY_CORE_H_
