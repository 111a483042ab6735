#include "turn.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "radishrudder/kernel/hash.h"

namespace radishrudder::rollout {
namespace {

constexpr std::size_t kNamedPeers = 5;
// Keeps a floor such as 0.75 of 4 from being rounded up to 4.
constexpr double kRoundingSlack = 1e-9;

using Rank = std::pair<std::uint64_t, std::string_view>;

Rank RankOf(std::uint64_t revision, std::string_view instance) {
  return {kernel::StableHash(std::to_string(revision), instance), instance};
}

std::string_view ToText(Blocking reason) {
  switch (reason) {
    case Blocking::kNotReady:
      return "not ready yet";
    case Blocking::kNotAccepted:
      return "has not accepted the revision";
    case Blocking::kSuspected:
      return "suspected";
    case Blocking::kDead:
      return "dead but still listed";
  }
  return "";
}

bool IsSettled(const RolloutPeer& peer,
               bool is_earlier,
               std::uint64_t revision) {
  const std::uint64_t reached =
      is_earlier ? peer.ready_revision : peer.accepted_revision;
  return reached >= revision;
}

Blocking ReasonOf(const RolloutPeer& peer, bool is_earlier) {
  if (peer.dead) {
    return Blocking::kDead;
  }
  if (peer.suspected) {
    return Blocking::kSuspected;
  }
  return is_earlier ? Blocking::kNotReady : Blocking::kNotAccepted;
}

}  // namespace

std::size_t AllowedOut(std::size_t instances,
                       const document::RolloutSection& settings) {
  const double floor = std::ceil(
      static_cast<double>(instances) * settings.ready_floor - kRoundingSlack);
  const auto kept = static_cast<std::size_t>(std::max(floor, 0.0));
  std::size_t allowed = instances > kept ? instances - kept : 0;
  if (settings.pace != 0) {
    allowed = std::min<std::size_t>(allowed, settings.pace);
  }
  return std::max<std::size_t>(allowed, 1);
}

Turn DecideTurn(std::string_view self,
                std::uint64_t revision,
                const document::RolloutSection& settings,
                std::span<const RolloutPeer> peers) {
  Turn turn;
  turn.instances = 1;
  const Rank own = RankOf(revision, self);
  for (const RolloutPeer& peer : peers) {
    turn.newer_revision = std::max(turn.newer_revision, peer.accepted_revision);
    if (peer.leaving) {
      continue;
    }
    ++turn.instances;
    const bool is_earlier = RankOf(revision, peer.instance) < own;
    turn.rank += is_earlier ? 1 : 0;
    const bool answers = !peer.dead && !peer.suspected;
    if (!answers || !IsSettled(peer, is_earlier, revision)) {
      turn.blocking.push_back({peer.instance, ReasonOf(peer, is_earlier)});
    }
  }
  turn.allowed = AllowedOut(turn.instances, settings);
  if (turn.newer_revision <= revision) {
    turn.newer_revision = 0;
  }
  turn.may_leave =
      turn.blocking.size() < turn.allowed && turn.newer_revision == 0;
  return turn;
}

std::string Describe(const Turn& turn) {
  if (turn.newer_revision != 0) {
    return "a peer has revision " + std::to_string(turn.newer_revision) +
           ", which is not here yet";
  }
  std::string text = std::to_string(turn.blocking.size()) + " of " +
                     std::to_string(turn.instances) +
                     " instances count as out of service and " +
                     std::to_string(turn.allowed) + " may be: ";
  for (std::size_t i = 0; i < turn.blocking.size() && i < kNamedPeers; ++i) {
    text += (i == 0 ? "" : ", ") + turn.blocking[i].instance + " (" +
            std::string(ToText(turn.blocking[i].reason)) + ")";
  }
  if (turn.blocking.size() > kNamedPeers) {
    text +=
        " and " + std::to_string(turn.blocking.size() - kNamedPeers) + " more";
  }
  return text;
}

}  // namespace radishrudder::rollout
