#include "measure/routing/prefix_cache.h"

namespace radishrudder::measure {

bool PrefixCache::Use(std::uint64_t prefix) {
  const auto found = m_items.find(prefix);
  if (found == m_items.end()) {
    return false;
  }
  m_recency.splice(m_recency.begin(), m_recency, found->second.recency);
  return true;
}

std::vector<std::uint64_t> PrefixCache::Store(std::uint64_t prefix,
                                              std::uint32_t tokens) {
  std::vector<std::uint64_t> evicted;
  while (m_free_tokens < tokens && !m_recency.empty()) {
    const std::uint64_t oldest = m_recency.back();
    m_recency.pop_back();
    m_free_tokens += m_items.at(oldest).tokens;
    m_items.erase(oldest);
    evicted.push_back(oldest);
  }
  if (m_free_tokens >= tokens) {
    m_free_tokens -= tokens;
    m_recency.push_front(prefix);
    m_items[prefix] = {tokens, m_recency.begin()};
  }
  return evicted;
}

}  // namespace radishrudder::measure
