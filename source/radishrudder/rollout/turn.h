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

// Why a peer counts as not serving for this instance's turn.
enum class Blocking {
  kNotReady,     // Comes earlier and is not ready for the revision.
  kNotAccepted,  // Comes later and may still act on an older revision.
  kSuspected,
  kDead,
};

struct BlockingPeer {
  std::string instance;
  Blocking reason = Blocking::kNotReady;
};

// Whether this instance may leave the version it runs.
struct Turn {
  std::size_t rank = 0;       // Place of this instance in the order; from 0.
  std::size_t instances = 0;  // Instances that count, with this one.
  std::size_t allowed = 0;    // Instances that may be out at the same time.
  std::vector<BlockingPeer> blocking;
  std::uint64_t newer_revision = 0;  // Known to a peer, not here; 0: none.
  bool may_leave = false;
};

// Returns how many of `instances` may be out of service at the same time; at
// least one, or nothing would ever change.
std::size_t AllowedOut(std::size_t instances,
                       const document::RolloutSection& settings);

// Decides from one view of the peers, which may be old. The order of ranks is
// a hash of the revision and the instance. A peer that comes earlier must be
// ready for the revision; a peer that comes later must have accepted it, so
// that it leaves by this order only. All others count as out of service.
//
// The number out at the same time stays within `allowed` under any old view:
// of those out by the highest revision, the last in order saw all the others
// but `allowed - 1` ready or waiting behind it, and both facts stay true.
Turn DecideTurn(std::string_view self,
                std::uint64_t revision,
                const document::RolloutSection& settings,
                std::span<const RolloutPeer> peers);

// Says in words whom a turn waits for.
std::string Describe(const Turn& turn);

}  // namespace radishrudder::rollout

#endif  // RADISHRUDDER_SOURCE_ROLLOUT_TURN_H_
