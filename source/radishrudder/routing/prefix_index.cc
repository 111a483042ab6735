#include "radishrudder/routing/prefix_index.h"

#include <algorithm>
#include <cmath>

namespace radishrudder::routing {
namespace {

constexpr double kLikelihoodAfterEvent = 1;
// What a removal leaves that may be older than one's own last call.
constexpr double kLikelihoodAfterDoubtfulRemoval = 0.5;
// Share of cache events that are removals.
constexpr double kRemovalShare = 0.5;

}  // namespace

void PrefixIndex::Add(Slot slot) {
  if (slot >= m_sources.size()) {
    m_sources.resize(slot + 1);
  }
  const std::uint32_t epoch = m_sources[slot].epoch + 1;
  m_sources[slot] = Source{.epoch = epoch};
}

void PrefixIndex::Remove(Slot slot) {
  Add(slot);
}

void PrefixIndex::OnRouted(kernel::Time now, Slot slot, std::uint64_t prefix) {
  Holder& holder = HolderFor(now, Touch(prefix), slot);
  Renew(now, holder,
        std::max(Current(now, holder), m_settings.likelihood_after_call));
  holder.routed = now;
}

void PrefixIndex::OnEvents(kernel::Time now,
                           Slot slot,
                           const CacheEvents& events) {
  Source& source = m_sources[slot];
  std::size_t first_new = 0;
  if (events.complete) {
    ++source.epoch;
    source.gaps = 0;
    source.stored = 0;
  } else if (source.has_sequence) {
    if (events.first_sequence > source.next_sequence) {
      OnGap(source, events.first_sequence - source.next_sequence);
    }
    if (events.first_sequence < source.next_sequence) {
      first_new = source.next_sequence - events.first_sequence;
    }
  }
  for (std::size_t i = first_new; i < events.events.size(); ++i) {
    Apply(now, slot, events.events[i]);
  }
  const std::uint64_t next = events.first_sequence + events.events.size();
  source.next_sequence =
      events.complete ? next : std::max(source.next_sequence, next);
  source.has_sequence = true;
}

double PrefixIndex::Likelihood(kernel::Time now,
                               Slot slot,
                               std::uint64_t prefix) const {
  const auto found = m_prefixes.find(prefix);
  if (found == m_prefixes.end()) {
    return 0;
  }
  for (const Holder& holder : found->second.holders) {
    if (holder.slot == slot) {
      return Current(now, holder);
    }
  }
  return 0;
}

void PrefixIndex::OnGap(Source& source, std::uint64_t lost_events) {
  ++source.gaps;
  const double removed = kRemovalShare * static_cast<double>(lost_events);
  source.lost += removed / std::max(source.stored, std::uint32_t{1});
}

void PrefixIndex::Apply(kernel::Time now, Slot slot, const CacheEvent& event) {
  std::uint32_t& stored = m_sources[slot].stored;
  if (event.change == CacheChange::kStored) {
    ++stored;
    OnStored(now, slot, event.prefix);
  } else {
    stored -= stored > 0 ? 1 : 0;
    OnRemoved(now, slot, event.prefix);
  }
}

void PrefixIndex::OnStored(kernel::Time now, Slot slot, std::uint64_t prefix) {
  Renew(now, HolderFor(now, Touch(prefix), slot), kLikelihoodAfterEvent);
}

void PrefixIndex::OnRemoved(kernel::Time now, Slot slot, std::uint64_t prefix) {
  const auto found = m_prefixes.find(prefix);
  if (found == m_prefixes.end()) {
    return;
  }
  Holder* holder = Find(found->second, slot);
  if (holder == nullptr) {
    return;
  }
  const bool doubtful =
      holder->routed && now - *holder->routed < m_settings.event_lag;
  const double most = doubtful ? kLikelihoodAfterDoubtfulRemoval : 0.0;
  Renew(now, *holder, std::min(Current(now, *holder), most));
}

double PrefixIndex::Current(kernel::Time now, const Holder& holder) const {
  const Source& source = m_sources[holder.slot];
  if (holder.epoch != source.epoch) {
    return 0;
  }
  const std::chrono::duration<double> age = now - holder.learnt;
  const std::chrono::duration<double> half_life = m_settings.half_life;
  const double faded =
      holder.likelihood *
      std::exp2(-std::max(0.0, age.count()) / half_life.count());
  return faded * std::exp(holder.lost - source.lost);
}

PrefixIndex::Prefix& PrefixIndex::Touch(std::uint64_t prefix) {
  const auto found = m_prefixes.find(prefix);
  if (found != m_prefixes.end()) {
    m_recency.splice(m_recency.begin(), m_recency, found->second.recency);
    return found->second;
  }
  if (m_prefixes.size() >= m_settings.maximum_prefixes) {
    m_prefixes.erase(m_recency.back());
    m_recency.pop_back();
  }
  m_recency.push_front(prefix);
  Prefix& added = m_prefixes[prefix];
  added.recency = m_recency.begin();
  return added;
}

PrefixIndex::Holder& PrefixIndex::HolderFor(kernel::Time now,
                                            Prefix& prefix,
                                            Slot slot) {
  Holder* holder = Find(prefix, slot);
  if (holder != nullptr) {
    return *holder;
  }
  if (prefix.holders.size() < m_settings.maximum_holders) {
    prefix.holders.push_back({.slot = slot});
    return prefix.holders.back();
  }
  const auto weakest =
      std::min_element(prefix.holders.begin(), prefix.holders.end(),
                       [&](const Holder& a, const Holder& b) {
                         return Current(now, a) < Current(now, b);
                       });
  *weakest = Holder{.slot = slot};
  return *weakest;
}

void PrefixIndex::Renew(kernel::Time now, Holder& holder, double likelihood) {
  const Source& source = m_sources[holder.slot];
  holder.epoch = source.epoch;
  holder.lost = source.lost;
  holder.likelihood = static_cast<float>(likelihood);
  holder.learnt = now;
}

PrefixIndex::Holder* PrefixIndex::Find(Prefix& prefix, Slot slot) {
  for (Holder& holder : prefix.holders) {
    if (holder.slot == slot) {
      return &holder;
    }
  }
  return nullptr;
}

}  // namespace radishrudder::routing
