#ifndef RADISHRUDDER_ROLLOUT_ROLLOUT_H_
#define RADISHRUDDER_ROLLOUT_ROLLOUT_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "radishrudder/document/service_document.h"
#include "radishrudder/kernel/random.h"
#include "radishrudder/kernel/time.h"
#include "radishrudder/wire/process_id.h"

namespace radishrudder::rollout {

// Another instance of the same service.
struct RolloutPeer {
  std::string instance;
  bool leaving = false;
  bool suspected = false;
  bool dead = false;
  std::string running_digest;
  std::uint64_t ready_revision = 0;
  // Highest document revision that it had in force while serving.
  std::uint64_t accepted_revision = 0;
};

// Grows with the document's revision, then with the agent's incarnation, then
// with each order of that agent.
struct Fence {
  std::uint64_t revision = 0;
  std::uint64_t incarnation = 0;
  std::uint64_t order = 0;

  auto operator<=>(const Fence&) const = default;
};

// Stop taking new calls; `OnGateEmpty` must follow.
struct CloseGate {};
// Take calls again.
struct OpenGate {};
// Order the endpoint to load a version.
struct OrderLoad {
  std::string manifest_digest;
  Fence fence;
  // The order must not be sent after this time: a process that was paused in
  // between would act on what it knew before.
  kernel::Time not_after{};
};
// Ask the endpoint what it runs.
struct ReadBack {};
// What the peers must be told of this instance. The digest is empty while it
// takes no calls.
struct Ready {
  std::string running_digest;
  // The document revision that it is ready for; 0: none.
  std::uint64_t revision = 0;
  // The highest document revision in force here while serving.
  std::uint64_t accepted = 0;
};

using RolloutOutput =
    std::variant<CloseGate, OpenGate, OrderLoad, ReadBack, Ready>;

// What the endpoint said it runs.
struct EndpointStatus {
  bool reachable = false;
  std::string running_digest;  // Empty: nothing loaded.
  std::string start_id;        // Differs after a restart of the endpoint.
};

enum class OrderResult {
  kDone,
  kRefusedOldFence,
  kFailed,     // The endpoint did not and will not carry it out.
  kUnanswered  // The endpoint may carry it out yet.
};

struct RolloutSettings {
  wire::ProcessKey self;
  std::string service;
  bool plain = false;  // Plain services have no weights and are always open.
  kernel::Duration read_back_interval = std::chrono::seconds(1);
  kernel::Duration order_timeout = std::chrono::seconds(60);
};

// Decides when this instance leaves the old version for the new one, with
// nobody in charge. State machine without sockets, threads or clocks.
class Rollout {
 public:
  Rollout(RolloutSettings settings, kernel::Random random);
  ~Rollout();

  void OnDocument(kernel::Time now,
                  std::uint64_t revision,
                  const document::ServiceDocument& document);
  // All other instances of the service on the platform's list. Call it only
  // once the list is known: without it no running version is left.
  void OnPeers(kernel::Time now, std::vector<RolloutPeer> peers);
  // All of a version's weights are here and verified.
  void OnVersionComplete(kernel::Time now, std::string_view manifest_digest);
  // The last call in progress ended after `CloseGate`.
  void OnGateEmpty(kernel::Time now);
  void OnOrderResult(kernel::Time now, const Fence& fence, OrderResult result);
  void OnEndpointStatus(kernel::Time now, const EndpointStatus& status);
  // This instance is leaving: gives no more orders.
  void OnDrain(kernel::Time now);
  // A later run of this instance's agent exists: gives no more orders.
  void OnSuperseded(kernel::Time now);
  void OnTick(kernel::Time now);
  kernel::Time NextTick() const;
  std::vector<RolloutOutput> TakeOutputs();

  // Says in words what this instance waits for and why.
  std::string Explain() const;

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace radishrudder::rollout

#endif  // RADISHRUDDER_ROLLOUT_ROLLOUT_H_
