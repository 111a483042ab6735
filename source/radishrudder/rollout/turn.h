#ifndef RADISHRUDDER_SOURCE_ROLLOUT_TURN_H_
#define RADISHRUDDER_SOURCE_ROLLOUT_TURN_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "radishrudder/document/service_document.h"
#include "radishrudder/rollout/rollout.h"

namespace radishrudder::rollout {

// Why a peer counts as out of service when this instance decides on its turn.
enum class BlockingReason {
  kNotReady,     // It is earlier in the order and not ready for the revision.
  kNotAccepted,  // It is later in the order and may act on an older revision.
  kSuspected,
  kDead,
};

struct BlockingPeer {
  std::string instance;
  BlockingReason reason = BlockingReason::kNotReady;
};

// Whether this instance may go out of service to replace its running version.
struct Turn {
  std::size_t rank = 0;       // Position of this instance in the order, from 0.
  std::size_t instances = 0;  // Instances not leaving, including this one.
  std::size_t maximum_out = 0;  // Instances that may be out of service at once.
  std::vector<BlockingPeer> blocking;
  // Accepted by a peer but not known to this instance; 0: none.
  std::uint64_t newer_revision = 0;
  bool may_go_out = false;  // Whether it may go out of service now.
};

// Returns how many of `instances` may be out of service at the same time. It is
// at least one, because otherwise no instance could ever change its version.
std::size_t MaximumOutOfService(std::size_t instances,
                                const document::RolloutSection& settings);

// Decides from one view of the peers, which may be stale. The instances are
// ordered by a hash of the revision and the instance name. A peer earlier in
// the order must be ready for the revision. A peer later in the order must have
// accepted the revision, because until then it may go out of service in the
// order of an older revision. All other peers count as out of service.
//
// The number of instances out of service at the same time stays within
// `maximum_out` even with stale views. Consider the instances that are out of
// service for the highest revision, and the last of them in the order. When it
// decided, each other instance, except at most `maximum_out - 1`, was either
// earlier in the order and ready for the revision, or later in the order and
// had accepted the revision. Neither fact can become false later.
Turn DecideTurn(std::string_view self,
                std::uint64_t revision,
                const document::RolloutSection& settings,
                std::span<const RolloutPeer> peers);

// Describes for operators which peers a turn waits for.
std::string DescribeTurn(const Turn& turn);

}  // namespace radishrudder::rollout

#endif  // RADISHRUDDER_SOURCE_ROLLOUT_TURN_H_
