#include "source/radishrudder/staging/list_search.h"

#include <algorithm>
#include <utility>

#include "radishrudder/kernel/hash.h"

namespace radishrudder::staging {
namespace {

using std::chrono::milliseconds;

// The list is passed on along a tree with this fan-out in each region.
constexpr std::size_t kFanOut = 4;
// Instances that ask the origin before their turn, one after the other.
constexpr std::size_t kLeaders = 4;
constexpr milliseconds kLeaderInterval{300};
constexpr milliseconds kLeaderBackoff{250};
constexpr milliseconds kMaximumLeaderBackoff{1000};
// Turns of the other instances. The origin answers in a few milliseconds; the
// interval leaves nine tenths of its time to pieces.
constexpr milliseconds kFirstTurn{1500};
constexpr milliseconds kTurnInterval{40};
constexpr milliseconds kMinimumTurnRepetition{1000};
// A list that was declared earlier is probably known to other instances, which
// answer within this time.
constexpr milliseconds kKnownListDelay{500};
// The tree reaches all instances within this time unless messages are lost.
constexpr milliseconds kTreeTime{200};
constexpr milliseconds kAskInterval{250};
// One in so many requests goes to any region, the others to the own one.
constexpr std::uint32_t kAsksPerDistantAsk = 4;
// An instance that does not know the others yet waits this long for them. Many
// instances that start at the same time read them slowly.
constexpr milliseconds kPeersTimeout{5000};
constexpr std::size_t kMaximumWaiting = 4096;
constexpr double kMinimumJitter = 0.75;
constexpr double kJitterRange = 0.5;
constexpr std::uint32_t kMaximumDoublings = 4;

}  // namespace

void ListSearch::OnPeers(kernel::Time now,
                         std::span<const weights::TransferPeer> peers) {
  m_peers.clear();
  for (const weights::TransferPeer& peer : peers) {
    if (peer.alive && peer.instance != m_instance) {
      m_peers.push_back(peer);
    }
  }
  UpdateOrder();
  if (!std::exchange(m_peers_known, true) && m_active) {
    // Until now, this instance took itself for the first one.
    m_next_origin = now + OriginDelay();
  }
}

std::vector<weights::TransferPeer> ListSearch::OrderFor(
    std::string_view file) const {
  std::vector<std::string> names;
  names.reserve(m_peers.size() + 1);
  for (const weights::TransferPeer& peer : m_peers) {
    names.push_back(peer.instance);
  }
  names.push_back(m_instance);
  std::vector<weights::TransferPeer> order;
  order.reserve(names.size());
  for (const std::size_t index : kernel::RendezvousOrder(file, names)) {
    if (index == m_peers.size()) {
      order.push_back(
          {.instance = m_instance, .data_centre = {}, .region = m_region});
    } else {
      order.push_back(m_peers[index]);
    }
  }
  return order;
}

void ListSearch::UpdateOrder() {
  m_order = OrderFor(m_file);
  m_rank = static_cast<std::size_t>(
      std::ranges::find(m_order, m_instance, &weights::TransferPeer::instance) -
      m_order.begin());
}

void ListSearch::Start(kernel::Time now,
                       std::string_view file,
                       bool newly_declared) {
  m_file = file;
  m_active = true;
  m_newly_declared = newly_declared;
  m_origin_only = false;
  m_origin_asked = false;
  m_origin_failures = 0;
  m_instances_asked = 0;
  m_waiting.clear();
  UpdateOrder();
  m_peers_deadline = now + Jitter(kPeersTimeout);
  m_next_origin = now + OriginDelay();
  m_next_instance = newly_declared ? now + Jitter(kTreeTime) : now;
}

void ListSearch::RestartAtOrigin(kernel::Time now) {
  m_active = true;
  m_origin_only = true;
  m_origin_asked = false;
  m_next_origin = now;
}

kernel::Duration ListSearch::OriginDelay() const {
  const auto rank = static_cast<std::int64_t>(m_rank);
  if (m_rank >= kLeaders) {
    return kFirstTurn + kTurnInterval * rank;
  }
  return (m_newly_declared ? milliseconds(0) : kKnownListDelay) +
         kLeaderInterval * rank;
}

kernel::Duration ListSearch::Jitter(kernel::Duration duration) {
  return std::chrono::duration_cast<kernel::Duration>(
      duration * (kMinimumJitter + kJitterRange * m_random.Uniform()));
}

void ListSearch::OnOriginFailed(kernel::Time now) {
  m_origin_asked = false;
  const std::uint32_t factor =
      1U << std::min(m_origin_failures, kMaximumDoublings);
  ++m_origin_failures;
  const auto instances = static_cast<std::int64_t>(m_order.size());
  const milliseconds backoff =
      m_rank < kLeaders
          ? std::min(kLeaderBackoff * factor, kMaximumLeaderBackoff)
          : std::max(kMinimumTurnRepetition, kTurnInterval * instances);
  m_next_origin = now + Jitter(backoff);
}

std::optional<std::string> ListSearch::ChooseInstance() {
  if (m_peers.empty()) {
    return std::nullopt;
  }
  std::vector<const weights::TransferPeer*> candidates;
  const bool any_region =
      m_instances_asked % kAsksPerDistantAsk == kAsksPerDistantAsk - 1;
  for (const weights::TransferPeer& peer : m_peers) {
    if (any_region || peer.region == m_region) {
      candidates.push_back(&peer);
    }
  }
  ++m_instances_asked;
  return candidates.empty()
             ? m_peers[m_random.Below(m_peers.size())].instance
             : candidates[m_random.Below(candidates.size())]->instance;
}

std::vector<ListSearch::Step> ListSearch::Advance(kernel::Time now) {
  std::vector<Step> steps;
  if (!m_active) {
    return steps;
  }
  const bool may_ask_origin = m_peers_known || now >= m_peers_deadline;
  if (!m_origin_asked && may_ask_origin && now >= m_next_origin) {
    m_origin_asked = true;
    steps.emplace_back(AskOrigin{});
  }
  if (!m_origin_only && now >= m_next_instance) {
    m_next_instance = now + Jitter(kAskInterval);
    if (auto instance = ChooseInstance()) {
      steps.emplace_back(AskInstance{std::move(*instance)});
    }
  }
  return steps;
}

std::vector<std::string> ListSearch::Receivers(std::string_view file,
                                               bool from_origin) const {
  std::vector<std::string> receivers;
  std::vector<std::string_view> own_region;
  std::set<std::string_view> regions;
  std::size_t own_position = 0;
  const std::vector<weights::TransferPeer> order =
      file == m_file ? m_order : OrderFor(file);
  for (const weights::TransferPeer& peer : order) {
    const bool first_of_region = regions.insert(peer.region).second;
    if (from_origin && first_of_region && peer.instance != m_instance) {
      receivers.push_back(peer.instance);
    }
    if (peer.region == m_region) {
      if (peer.instance == m_instance) {
        own_position = own_region.size();
      }
      own_region.push_back(peer.instance);
    }
  }
  const std::size_t first = kFanOut * own_position + 1;
  for (std::size_t i = first; i < std::min(first + kFanOut, own_region.size());
       ++i) {
    receivers.emplace_back(own_region[i]);
  }
  return receivers;
}

void ListSearch::AddWaiting(std::string_view instance) {
  if (m_waiting.size() < kMaximumWaiting) {
    m_waiting.emplace(instance);
  }
}

std::set<std::string> ListSearch::TakeWaiting() {
  return std::exchange(m_waiting, {});
}

}  // namespace radishrudder::staging
