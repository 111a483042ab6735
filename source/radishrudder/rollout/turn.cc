#include "turn.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "radishrudder/kernel/hash.h"

namespace radishrudder::rollout {
namespace {

// Blocking peers that a description names; the others are only counted.
constexpr std::size_t kMaximumNamedPeers = 5;
// Keeps rounding errors in a floor such as 0.75 of 4 from rounding it up to 4.
constexpr double kRoundingTolerance = 1e-9;

using OrderKey = std::pair<std::uint64_t, std::string_view>;

OrderKey OrderKeyOf(std::uint64_t revision, std::string_view instance) {
  return {kernel::StableHash(std::to_string(revision), instance), instance};
}

std::string_view ToText(BlockingReason reason) {
  switch (reason) {
    case BlockingReason::kNotReady:
      return "not ready yet";
    case BlockingReason::kNotAccepted:
      return "has not accepted the revision";
    case BlockingReason::kSuspected:
      return "suspected";
    case BlockingReason::kDead:
      return "dead but still listed";
  }
  return "";
}

bool HasReachedRevision(const RolloutPeer& peer,
                        bool is_earlier,
                        std::uint64_t revision) {
  const std::uint64_t highest_revision =
      is_earlier ? peer.ready_revision : peer.accepted_revision;
  return highest_revision >= revision;
}

BlockingReason BlockingReasonOf(const RolloutPeer& peer, bool is_earlier) {
  if (peer.dead) {
    return BlockingReason::kDead;
  }
  if (peer.suspected) {
    return BlockingReason::kSuspected;
  }
  return is_earlier ? BlockingReason::kNotReady : BlockingReason::kNotAccepted;
}

}  // namespace

std::size_t MaximumOutOfService(std::size_t instances,
                                const document::RolloutSection& settings) {
  const double floor =
      std::ceil(static_cast<double>(instances) * settings.ready_floor -
                kRoundingTolerance);
  const auto minimum_ready = static_cast<std::size_t>(std::max(floor, 0.0));
  std::size_t maximum_out =
      instances > minimum_ready ? instances - minimum_ready : 0;
  if (settings.pace != 0) {
    maximum_out = std::min<std::size_t>(maximum_out, settings.pace);
  }
  return std::max<std::size_t>(maximum_out, 1);
}

Turn DecideTurn(std::string_view self,
                std::uint64_t revision,
                const document::RolloutSection& settings,
                std::span<const RolloutPeer> peers) {
  Turn turn;
  turn.instances = 1;
  const OrderKey own_key = OrderKeyOf(revision, self);
  for (const RolloutPeer& peer : peers) {
    turn.newer_revision = std::max(turn.newer_revision, peer.accepted_revision);
    if (peer.leaving) {
      continue;
    }
    ++turn.instances;
    const bool is_earlier = OrderKeyOf(revision, peer.instance) < own_key;
    turn.rank += is_earlier ? 1 : 0;
    const bool is_responsive = !peer.dead && !peer.suspected;
    if (!is_responsive || !HasReachedRevision(peer, is_earlier, revision)) {
      turn.blocking.push_back(
          {peer.instance, BlockingReasonOf(peer, is_earlier)});
    }
  }
  turn.maximum_out = MaximumOutOfService(turn.instances, settings);
  if (turn.newer_revision <= revision) {
    turn.newer_revision = 0;
  }
  turn.may_go_out =
      turn.blocking.size() < turn.maximum_out && turn.newer_revision == 0;
  return turn;
}

std::string DescribeTurn(const Turn& turn) {
  if (turn.newer_revision != 0) {
    return "a peer has revision " + std::to_string(turn.newer_revision) +
           ", which this instance has not received yet";
  }
  std::string text = std::to_string(turn.blocking.size()) + " of " +
                     std::to_string(turn.instances) +
                     " instances count as out of service, at most " +
                     std::to_string(turn.maximum_out) + " may be: ";
  for (std::size_t i = 0; i < turn.blocking.size() && i < kMaximumNamedPeers;
       ++i) {
    text += (i == 0 ? "" : ", ") + turn.blocking[i].instance + " (" +
            std::string(ToText(turn.blocking[i].reason)) + ")";
  }
  if (turn.blocking.size() > kMaximumNamedPeers) {
    text += " and " +
            std::to_string(turn.blocking.size() - kMaximumNamedPeers) + " more";
  }
  return text;
}

}  // namespace radishrudder::rollout
