#ifndef RADISHRUDDER_ROUTING_POLICY_H_
#define RADISHRUDDER_ROUTING_POLICY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "radishrudder/kernel/random.h"
#include "radishrudder/kernel/registry.h"
#include "radishrudder/kernel/time.h"
#include "radishrudder/routing/call_cost.h"
#include "radishrudder/routing/engine_model.h"

namespace radishrudder::routing {

// An endpoint that can take a call, with its load estimated for now.
struct Candidate {
  std::string instance;
  double estimated_calls = 0;   // Running and waiting.
  double capacity = 1;          // Maximum concurrent calls.
  double latency_seconds = 0;   // Smoothed time to first byte; 0: unknown.
  double distance_seconds = 0;  // One-way network delay to its data centre.
  // Expected fraction of the prompt that the endpoint has cached, in [0, 1].
  double cached_prefix_share = 0;
  // Predicted course of the call, from its arrival at the endpoint. Set if the
  // policy uses predictions, the call has a cost and the service has engine
  // figures.
  std::optional<Prediction> prediction{};
  // The call and one of this entry's calls at the endpoint are both very large.
  bool beside_very_large_call = false;
};

// Properties of a call that a policy can use.
struct CallView {
  std::string_view workspace{};
  std::uint32_t priority = 0;
  std::uint64_t prefix_hash = 0;  // Of the prompt prefix; 0: unknown.
  double prefix_share = 1;  // Fraction of the prompt that the prefix covers.
  // Expected size; null: unknown. It must outlive the choice and `OnSent`.
  const CallCost* cost = nullptr;
  double seconds_to_deadline = 0;   // 0: no deadline.
  double pause_target_seconds = 0;  // Longest pause of a stream; 0: no target.
};

// Chooses the endpoint of a call among candidates.
class Policy {
 public:
  virtual ~Policy() = default;
  // Returns an index into `candidates`, which is not empty.
  virtual std::size_t Choose(const CallView& call,
                             std::span<const Candidate> candidates,
                             kernel::Random& random) = 0;
  // Whether the policy uses `Candidate::prediction`. If predictions are known,
  // it then gets the candidates of all data centres, nearest first.
  virtual bool UsesPredictions() const { return false; }
};

using PolicyFactory = std::function<std::unique_ptr<Policy>()>;
using PolicyRegistry = kernel::Registry<PolicyFactory>;

}  // namespace radishrudder::routing

#endif  // RADISHRUDDER_ROUTING_POLICY_H_
