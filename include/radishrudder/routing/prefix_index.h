#ifndef RADISHRUDDER_ROUTING_PREFIX_INDEX_H_
#define RADISHRUDDER_ROUTING_PREFIX_INDEX_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "radishrudder/kernel/time.h"
#include "radishrudder/routing/endpoint.h"

namespace radishrudder::routing {

enum class CacheChange { kStored, kRemoved };

// A prompt prefix that an engine stored in its cache or removed from it.
struct CacheEvent {
  CacheChange change = CacheChange::kStored;
  std::uint64_t prefix = 0;
};

// Consecutive cache events of one engine, oldest first.
struct CacheEvents {
  // Sequence number of the first event; it increases by one with each event.
  std::uint64_t first_sequence = 0;
  // The events list everything that is cached now, and what was known before
  // is discarded.
  bool complete = false;
  std::span<const CacheEvent> events{};
};

struct PrefixSettings {
  std::size_t maximum_prefixes = 4'096;
  // Endpoints tracked per prefix.
  std::size_t maximum_holders = 8;
  // Likelihood that an endpoint has cached the prefix of a call sent to it.
  double likelihood_after_call = 0.9;
  // Time without updates in which a likelihood halves.
  kernel::Duration half_life = std::chrono::seconds(120);
  // A removal reported within this time after a call with the same prefix was
  // sent to the endpoint may have happened before that call.
  kernel::Duration event_lag = std::chrono::seconds(1);
};

// Estimates which endpoints have which prompt prefixes cached, from the calls
// of this entry and from cache events, which arrive late and with gaps. The
// size is bounded by evicting the least recently used prefixes.
class PrefixIndex {
 public:
  explicit PrefixIndex(PrefixSettings settings) : m_settings(settings) {}

  void Add(Slot slot);
  // Discards everything known about the endpoint.
  void Remove(Slot slot);

  // A call with the prefix was sent to the endpoint.
  void OnCallSent(kernel::Time now, Slot slot, std::uint64_t prefix);
  // Skips events that were applied before. A gap in the sequence numbers lowers
  // the likelihoods of all prefixes of the endpoint according to the estimated
  // fraction of them that the lost events removed.
  void OnEvents(kernel::Time now, Slot slot, const CacheEvents& events);

  // Returns the likelihood, in [0, 1], that the endpoint has the prefix cached.
  double Likelihood(kernel::Time now, Slot slot, std::uint64_t prefix) const;
  std::size_t PrefixCount() const { return m_prefixes.size(); }
  // Returns the number of gaps in the events of an endpoint since it was added
  // or last sent a complete list.
  std::uint32_t GapCount(Slot slot) const { return m_streams[slot].gaps; }

 private:
  // An endpoint that may have a prefix cached.
  struct Holder {
    Slot slot = 0;
    std::uint32_t epoch = 0;  // `EventStream::epoch` at the last update.
    float likelihood = 0;     // At the last update.
    // `EventStream::cumulative_loss` at the last update.
    double cumulative_loss = 0;
    kernel::Time updated_at{};
    // When this entry last sent the endpoint a call with the prefix.
    std::optional<kernel::Time> last_call{};
  };
  struct PrefixEntry {
    std::vector<Holder> holders;
    std::list<std::uint64_t>::iterator recency;  // Position in `m_by_recency`.
  };
  // The event stream of one endpoint.
  struct EventStream {
    std::uint32_t epoch = 0;  // Holders with an earlier epoch are invalid.
    std::uint32_t gaps = 0;
    std::uint32_t stored = 0;  // Prefixes cached according to the events.
    // Estimated fraction of the prefixes that each gap removed, summed over all
    // gaps.
    double cumulative_loss = 0;
    std::uint64_t next_sequence = 0;
    bool has_sequence = false;
  };

  static void OnGap(EventStream& stream, std::uint64_t lost_events);
  void Apply(kernel::Time now, Slot slot, const CacheEvent& event);
  void OnStored(kernel::Time now, Slot slot, std::uint64_t prefix);
  void OnRemoved(kernel::Time now, Slot slot, std::uint64_t prefix);
  // Returns the likelihood of a holder with decay and gaps applied.
  double CurrentLikelihood(kernel::Time now, const Holder& holder) const;
  // Returns the entry of a prefix, added if missing, as the most recent one.
  // Evicts the least recently used prefix if the index is full.
  PrefixEntry& FindOrAdd(std::uint64_t prefix);
  // Returns the holder for an endpoint. A new one replaces the least likely
  // holder if the prefix has the maximum number of holders.
  Holder& HolderFor(kernel::Time now, PrefixEntry& prefix, Slot slot);
  void SetLikelihood(kernel::Time now, Holder& holder, double likelihood);
  // Returns null if the prefix has no such holder.
  static Holder* FindHolder(PrefixEntry& prefix, Slot slot);

  PrefixSettings m_settings;
  std::unordered_map<std::uint64_t, PrefixEntry> m_prefixes;
  std::list<std::uint64_t> m_by_recency;  // Most recent first.
  std::vector<EventStream> m_streams;     // By slot.
};

}  // namespace radishrudder::routing

#endif  // RADISHRUDDER_ROUTING_PREFIX_INDEX_H_
