#ifndef RADISHRUDDER_ROUTING_POLICY_H_
#define RADISHRUDDER_ROUTING_POLICY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "radishrudder/kernel/random.h"
#include "radishrudder/kernel/registry.h"
#include "radishrudder/kernel/time.h"

namespace radishrudder::routing {

// One endpoint that could take a call, with the load corrected for its lag.
struct Candidate {
  std::string instance;
  double estimated_calls = 0;      // Running and waiting, estimated for now.
  double capacity = 1;             // Calls that run at once.
  double latency_seconds = 0;      // Smoothed; 0: unknown.
  double distance_seconds = 0;     // One-way delay to its data centre.
  double cached_prefix_share = 0;  // Part of the prompt it likely has cached.
};

// What a policy may look at in a call.
struct CallView {
  std::string_view workspace{};
  std::uint32_t priority = 0;
  std::uint64_t prefix_hash = 0;  // 0: none known.
  double prefix_share = 1;        // Part of the prompt that the prefix is.
};

// Chooses among candidates.
class Policy {
 public:
  virtual ~Policy() = default;
  // Returns an index into `candidates`, which is not empty.
  virtual std::size_t Choose(const CallView& call,
                             std::span<const Candidate> candidates,
                             kernel::Random& random) = 0;
};

using PolicyFactory = std::function<std::unique_ptr<Policy>()>;
using PolicyRegistry = kernel::Registry<PolicyFactory>;

}  // namespace radishrudder::routing

#endif  // RADISHRUDDER_ROUTING_POLICY_H_
