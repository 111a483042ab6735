#include "radishrudder/routing/prefix_index.h"

#include <algorithm>
#include <cmath>

namespace radishrudder::routing {
namespace {

constexpr double kLikelihoodAfterEvent = 1;
// Likelihood after a removal that may have happened before the last call sent
// to the endpoint.
constexpr double kLikelihoodAfterUncertainRemoval = 0.5;
// Assumed fraction of removals among lost cache events.
constexpr double kRemovalFraction = 0.5;

}  // namespace

void PrefixIndex::Add(Slot slot) {
  if (slot >= m_streams.size()) {
    m_streams.resize(slot + 1);
  }
  const std::uint32_t epoch = m_streams[slot].epoch + 1;
  m_streams[slot] = EventStream{.epoch = epoch};
}

void PrefixIndex::Remove(Slot slot) {
  Add(slot);
}

void PrefixIndex::OnCallSent(kernel::Time now,
                             Slot slot,
                             std::uint64_t prefix) {
  Holder& holder = HolderFor(now, FindOrAdd(prefix), slot);
  SetLikelihood(now, holder,
                std::max(CurrentLikelihood(now, holder),
                         m_settings.likelihood_after_call));
  holder.last_call = now;
}

void PrefixIndex::OnEvents(kernel::Time now,
                           Slot slot,
                           const CacheEvents& events) {
  EventStream& stream = m_streams[slot];
  std::size_t first_new_index = 0;
  if (events.complete) {
    ++stream.epoch;
    stream.gaps = 0;
    stream.stored = 0;
  } else if (stream.has_sequence) {
    if (events.first_sequence > stream.next_sequence) {
      OnGap(stream, events.first_sequence - stream.next_sequence);
    }
    if (events.first_sequence < stream.next_sequence) {
      first_new_index = stream.next_sequence - events.first_sequence;
    }
  }
  for (std::size_t i = first_new_index; i < events.events.size(); ++i) {
    Apply(now, slot, events.events[i]);
  }
  const std::uint64_t next = events.first_sequence + events.events.size();
  stream.next_sequence =
      events.complete ? next : std::max(stream.next_sequence, next);
  stream.has_sequence = true;
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
      return CurrentLikelihood(now, holder);
    }
  }
  return 0;
}

void PrefixIndex::OnGap(EventStream& stream, std::uint64_t lost_events) {
  ++stream.gaps;
  const double removed = kRemovalFraction * static_cast<double>(lost_events);
  stream.cumulative_loss += removed / std::max(stream.stored, std::uint32_t{1});
}

void PrefixIndex::Apply(kernel::Time now, Slot slot, const CacheEvent& event) {
  std::uint32_t& stored = m_streams[slot].stored;
  if (event.change == CacheChange::kStored) {
    ++stored;
    OnStored(now, slot, event.prefix);
  } else {
    stored -= stored > 0 ? 1 : 0;
    OnRemoved(now, slot, event.prefix);
  }
}

void PrefixIndex::OnStored(kernel::Time now, Slot slot, std::uint64_t prefix) {
  SetLikelihood(now, HolderFor(now, FindOrAdd(prefix), slot),
                kLikelihoodAfterEvent);
}

void PrefixIndex::OnRemoved(kernel::Time now, Slot slot, std::uint64_t prefix) {
  const auto found = m_prefixes.find(prefix);
  if (found == m_prefixes.end()) {
    return;
  }
  Holder* holder = FindHolder(found->second, slot);
  if (holder == nullptr) {
    return;
  }
  const bool may_predate_call =
      holder->last_call && now - *holder->last_call < m_settings.event_lag;
  const double maximum =
      may_predate_call ? kLikelihoodAfterUncertainRemoval : 0.0;
  SetLikelihood(now, *holder,
                std::min(CurrentLikelihood(now, *holder), maximum));
}

double PrefixIndex::CurrentLikelihood(kernel::Time now,
                                      const Holder& holder) const {
  const EventStream& stream = m_streams[holder.slot];
  if (holder.epoch != stream.epoch) {
    return 0;
  }
  const std::chrono::duration<double> age = now - holder.updated_at;
  const std::chrono::duration<double> half_life = m_settings.half_life;
  const double decayed =
      holder.likelihood *
      std::exp2(-std::max(0.0, age.count()) / half_life.count());
  // Approximates the product of `1 - removed fraction` over the gaps since the
  // last update.
  return decayed * std::exp(holder.cumulative_loss - stream.cumulative_loss);
}

PrefixIndex::PrefixEntry& PrefixIndex::FindOrAdd(std::uint64_t prefix) {
  const auto found = m_prefixes.find(prefix);
  if (found != m_prefixes.end()) {
    m_by_recency.splice(m_by_recency.begin(), m_by_recency,
                        found->second.recency);
    return found->second;
  }
  if (m_prefixes.size() >= m_settings.maximum_prefixes) {
    m_prefixes.erase(m_by_recency.back());
    m_by_recency.pop_back();
  }
  m_by_recency.push_front(prefix);
  PrefixEntry& added = m_prefixes[prefix];
  added.recency = m_by_recency.begin();
  return added;
}

PrefixIndex::Holder& PrefixIndex::HolderFor(kernel::Time now,
                                            PrefixEntry& prefix,
                                            Slot slot) {
  Holder* holder = FindHolder(prefix, slot);
  if (holder != nullptr) {
    return *holder;
  }
  if (prefix.holders.size() < m_settings.maximum_holders) {
    prefix.holders.push_back({.slot = slot});
    return prefix.holders.back();
  }
  const auto least_likely = std::min_element(
      prefix.holders.begin(), prefix.holders.end(),
      [&](const Holder& a, const Holder& b) {
        return CurrentLikelihood(now, a) < CurrentLikelihood(now, b);
      });
  *least_likely = Holder{.slot = slot};
  return *least_likely;
}

void PrefixIndex::SetLikelihood(kernel::Time now,
                                Holder& holder,
                                double likelihood) {
  const EventStream& stream = m_streams[holder.slot];
  holder.epoch = stream.epoch;
  holder.cumulative_loss = stream.cumulative_loss;
  holder.likelihood = static_cast<float>(likelihood);
  holder.updated_at = now;
}

PrefixIndex::Holder* PrefixIndex::FindHolder(PrefixEntry& prefix, Slot slot) {
  for (Holder& holder : prefix.holders) {
    if (holder.slot == slot) {
      return &holder;
    }
  }
  return nullptr;
}

}  // namespace radishrudder::routing
