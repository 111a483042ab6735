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
  // Highest document revision that was in force while the peer served calls.
  std::uint64_t accepted_revision = 0;
};

// Fencing token of a load order. Fences are ordered by the document revision,
// then by the incarnation of the agent, then by the number of the order within
// that incarnation.
struct Fence {
  std::uint64_t revision = 0;
  std::uint64_t incarnation = 0;
  std::uint64_t order = 0;

  auto operator<=>(const Fence&) const = default;
};

// Stop accepting calls. Call `OnGateEmpty` when the last call in progress has
// ended.
struct CloseGate {};
// Accept calls again.
struct OpenGate {};
// Order the endpoint to load a version. The result must be passed to
// `OnOrderResult`.
struct OrderLoad {
  std::string manifest_digest;
  Fence fence;
  // The order must not be sent after this time, because a process that was
  // paused in between would act on outdated knowledge.
  kernel::Time not_after{};
};
// Request the status of the endpoint. The result must be passed to
// `OnEndpointStatus` together with this request.
struct ReadBack {
  std::uint64_t number = 0;
  kernel::Time requested_at{};
};
// The state of this instance that must be published to its peers.
struct Readiness {
  // Digest of the version that it serves; empty while it accepts no calls.
  std::string running_digest;
  // Highest document revision whose version it serves; 0: none.
  std::uint64_t revision = 0;
  // Highest document revision that was in force while this instance served.
  std::uint64_t accepted_revision = 0;
};

using RolloutOutput =
    std::variant<CloseGate, OpenGate, OrderLoad, ReadBack, Readiness>;

// Status reported by the endpoint.
struct EndpointStatus {
  bool reachable = false;
  std::string running_digest;  // Empty: nothing loaded.
  std::string start_id;        // Differs after a restart of the endpoint.
};

enum class OrderResult {
  kDone,
  kRefusedOldFence,  // The endpoint has received an order with a newer fence.
  kFailed,           // The endpoint did not and will not execute it.
  kUnanswered        // The endpoint may still execute it.
};

struct RolloutSettings {
  wire::ProcessKey self;
  std::string service;
  // Plain services have no weights; their instances always accept calls.
  bool plain = false;
  kernel::Duration read_back_interval = std::chrono::seconds(1);
  kernel::Duration order_timeout = std::chrono::seconds(60);
};

// Decides when this instance replaces its running version by the one of the
// newest document. The instances coordinate through their published states,
// without a leader. It is a state machine without sockets, threads or clocks.
class Rollout {
 public:
  Rollout(RolloutSettings settings, kernel::Random random);
  ~Rollout();

  void OnDocument(kernel::Time now,
                  std::uint64_t revision,
                  const document::ServiceDocument& document);
  // Replaces the list of the other instances of the service. Call it only once
  // the platform's list of instances is known: before the first call, a running
  // version is not replaced.
  void OnPeers(kernel::Time now, std::vector<RolloutPeer> peers);
  // All weights of a version are stored on this instance and verified. They
  // count as dropped once a document specifies another version.
  void OnWeightsComplete(kernel::Time now, std::string_view manifest_digest);
  // The last call in progress ended after `CloseGate`.
  void OnGateEmpty(kernel::Time now);
  void OnOrderResult(kernel::Time now, const Fence& fence, OrderResult result);
  // Returns false if the status was ignored because a later one is known or
  // requested, or because it is too old.
  bool OnEndpointStatus(kernel::Time now,
                        const ReadBack& request,
                        const EndpointStatus& status);
  // This instance is leaving and must issue no more orders.
  void OnDrain(kernel::Time now);
  // A later run of the agent of this instance exists, so this one must issue no
  // more orders.
  void OnSuperseded(kernel::Time now);
  void OnTick(kernel::Time now);
  kernel::Time NextTick() const;
  std::vector<RolloutOutput> TakeOutputs();

  // Describes for operators what this instance waits for and why.
  std::string Explain() const;

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace radishrudder::rollout

#endif  // RADISHRUDDER_ROLLOUT_ROLLOUT_H_
