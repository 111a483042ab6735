#include "radishrudder/dissemination/neighbours.h"

#include <algorithm>
#include <set>
#include <tuple>

#include "radishrudder/kernel/hash.h"

namespace radishrudder::dissemination {
namespace {

// Position on a ring; the name breaks ties.
struct Position {
  std::uint64_t hash = 0;
  std::string_view instance;

  bool operator<(const Position& other) const {
    return std::tie(hash, instance) < std::tie(other.hash, other.instance);
  }
};

// The nearest positions on both sides of one process on a ring.
class RingScan {
 public:
  explicit RingScan(Position self) : m_self(self) {}

  void Add(const Position& other) {
    if (other.instance == m_self.instance) {
      return;
    }
    Keep(other, m_next, m_first, m_self < other);
    KeepLast(other);
  }

  void CollectInto(std::set<std::string>& names) const {
    if (m_any) {
      names.emplace((m_has_next ? m_next : m_first).instance);
      names.emplace((m_has_previous ? m_previous : m_last).instance);
    }
  }

 private:
  void Keep(const Position& other,
            Position& next,
            Position& first,
            bool is_after) {
    if (!m_any || other < first) {
      first = other;
    }
    if (is_after && (!m_has_next || other < next)) {
      next = other;
      m_has_next = true;
    }
  }

  void KeepLast(const Position& other) {
    if (!m_any || m_last < other) {
      m_last = other;
    }
    if (other < m_self && (!m_has_previous || m_previous < other)) {
      m_previous = other;
      m_has_previous = true;
    }
    m_any = true;
  }

  Position m_self;
  Position m_next;
  Position m_previous;
  Position m_first;
  Position m_last;
  bool m_any = false;
  bool m_has_next = false;
  bool m_has_previous = false;
};

Position PositionOf(std::string_view ring, std::string_view instance) {
  return {kernel::StableHash(ring, instance), instance};
}

}  // namespace

std::vector<std::string> ChooseNeighbours(const GossipNode& self,
                                          std::span<const GossipNode> others,
                                          std::uint32_t local_rings) {
  std::set<std::string> names;
  for (std::uint32_t ring = 0; ring < local_rings; ++ring) {
    const std::string key = "local-" + std::to_string(ring);
    RingScan scan(PositionOf(key, self.instance));
    for (const GossipNode& other : others) {
      if (other.data_centre == self.data_centre) {
        scan.Add(PositionOf(key, other.instance));
      }
    }
    scan.CollectInto(names);
  }
  RingScan global(PositionOf("global", self.instance));
  for (const GossipNode& other : others) {
    global.Add(PositionOf("global", other.instance));
  }
  global.CollectInto(names);
  return {names.begin(), names.end()};
}

bool IsChosen(std::string_view purpose,
              const GossipNode& self,
              std::span<const GossipNode> others,
              std::size_t count) {
  const Position own = PositionOf(purpose, self.instance);
  std::size_t before = 0;
  for (const GossipNode& other : others) {
    if (other.data_centre == self.data_centre &&
        other.instance != self.instance &&
        own < PositionOf(purpose, other.instance)) {
      ++before;
    }
  }
  return before < count;
}

}  // namespace radishrudder::dissemination
