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

// Events of one engine, in order.
struct CacheEvents {
  // Sequence of the first event; each further one counts one up.
  std::uint64_t first_sequence = 0;
  // The events list all that is cached now; what was known before is void.
  bool complete = false;
  std::span<const CacheEvent> events{};
};

struct PrefixSettings {
  std::size_t maximum_prefixes = 4'096;
  // Endpoints remembered for one prefix.
  std::size_t maximum_holders = 8;
  // Likelihood that an endpoint has the prefix of a call sent to it.
  double likelihood_after_call = 0.9;
  // Time in which a likelihood halves without news.
  kernel::Duration half_life = std::chrono::seconds(120);
  // A removal reported within this time after one's own call with the same
  // prefix may be older than the call.
  kernel::Duration event_lag = std::chrono::seconds(1);
};

// Which endpoint likely has which prompt prefix in its cache, from one's own
// calls and from cache events that come late and with gaps. Bounded: the
// prefixes used least recently are forgotten.
class PrefixIndex {
 public:
  explicit PrefixIndex(PrefixSettings settings) : m_settings(settings) {}

  void Add(Slot slot);
  // Forgets all that is known of the endpoint.
  void Remove(Slot slot);

  // A call with that prefix was sent there.
  void OnRouted(kernel::Time now, Slot slot, std::uint64_t prefix);
  // Events already seen are skipped. After a gap, found by the sequence, what
  // is known of the endpoint counts less, by the share of its prefixes that
  // the lost events may have removed.
  void OnEvents(kernel::Time now, Slot slot, const CacheEvents& events);

  // Likelihood in [0, 1] that the endpoint has the prefix cached.
  double Likelihood(kernel::Time now, Slot slot, std::uint64_t prefix) const;
  std::size_t Prefixes() const { return m_prefixes.size(); }
  // Gaps found in an endpoint's events since it was added.
  std::uint32_t Gaps(Slot slot) const { return m_sources[slot].gaps; }

 private:
  struct Holder {
    Slot slot = 0;
    std::uint32_t epoch = 0;  // Of the source when this was learnt.
    float likelihood = 0;
    double lost = 0;  // Of the source when this was learnt.
    kernel::Time learnt{};
    // Last call of one's own with the prefix.
    std::optional<kernel::Time> routed{};
  };
  struct Prefix {
    std::vector<Holder> holders;
    std::list<std::uint64_t>::iterator recency;
  };
  // The event stream of one endpoint.
  struct Source {
    std::uint32_t epoch = 0;  // Holders of earlier epochs are void.
    std::uint32_t gaps = 0;
    std::uint32_t stored = 0;  // Prefixes cached according to the events.
    double lost =
        0;  // Share of its prefixes that gaps may have removed, summed.
    std::uint64_t next_sequence = 0;
    bool has_sequence = false;
  };

  static void OnGap(Source& source, std::uint64_t lost_events);
  void Apply(kernel::Time now, Slot slot, const CacheEvent& event);
  void OnStored(kernel::Time now, Slot slot, std::uint64_t prefix);
  void OnRemoved(kernel::Time now, Slot slot, std::uint64_t prefix);
  double Current(kernel::Time now, const Holder& holder) const;
  Prefix& Touch(std::uint64_t prefix);
  Holder& HolderFor(kernel::Time now, Prefix& prefix, Slot slot);
  void Renew(kernel::Time now, Holder& holder, double likelihood);
  static Holder* Find(Prefix& prefix, Slot slot);

  PrefixSettings m_settings;
  std::unordered_map<std::uint64_t, Prefix> m_prefixes;
  std::list<std::uint64_t> m_recency;  // Most recent first.
  std::vector<Source> m_sources;       // By slot.
};

}  // namespace radishrudder::routing

#endif  // RADISHRUDDER_ROUTING_PREFIX_INDEX_H_
