#ifndef RADISHRUDDER_MEASURE_ROUTING_PREFIX_CACHE_H_
#define RADISHRUDDER_MEASURE_ROUTING_PREFIX_CACHE_H_

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace radishrudder::measure {

// Prompt prefixes in the memory of one engine; the least recently used ones
// are evicted when there is no room.
class PrefixCache {
 public:
  explicit PrefixCache(std::uint32_t capacity_tokens)
      : m_free_tokens(capacity_tokens) {}

  // Returns whether the prefix is cached, and marks it as used if so.
  bool Use(std::uint64_t prefix);
  // Stores a prefix that is not cached; returns the evicted ones.
  std::vector<std::uint64_t> Store(std::uint64_t prefix, std::uint32_t tokens);
  bool Holds(std::uint64_t prefix) const { return m_items.contains(prefix); }

 private:
  struct Item {
    std::uint32_t tokens = 0;
    std::list<std::uint64_t>::iterator recency;
  };

  std::uint32_t m_free_tokens;
  std::list<std::uint64_t> m_recency;  // Most recent first.
  std::unordered_map<std::uint64_t, Item> m_items;
};

}  // namespace radishrudder::measure

#endif  // RADISHRUDDER_MEASURE_ROUTING_PREFIX_CACHE_H_
