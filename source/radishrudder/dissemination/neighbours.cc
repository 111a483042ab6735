#include "radishrudder/dissemination/neighbours.h"

#include <algorithm>
#include <set>
#include <tuple>

#include "radishrudder/kernel/hash.h"

namespace radishrudder::dissemination {
namespace {

// Position on a hash ring. Equal hashes are ordered by instance name.
struct Position {
  std::uint64_t hash = 0;
  std::string_view instance;

  bool operator<(const Position& other) const {
    return std::tie(hash, instance) < std::tie(other.hash, other.instance);
  }
};

// Finds the nearest positions on both sides of one process on a ring. Where no
// position is higher (lower), the ring wraps around to the first (last) one.
class RingScan {
 public:
  explicit RingScan(Position self) : m_self(self) {}

  void Add(const Position& other) {
    if (other.instance == m_self.instance) {
      return;
    }
    UpdateNextAndFirst(other, m_next, m_first, m_self < other);
    UpdatePreviousAndLast(other);
  }

  void CollectInto(std::set<std::string>& names) const {
    if (m_has_others) {
      names.emplace((m_has_next ? m_next : m_first).instance);
      names.emplace((m_has_previous ? m_previous : m_last).instance);
    }
  }

 private:
  void UpdateNextAndFirst(const Position& other,
                          Position& next,
                          Position& first,
                          bool is_after) {
    if (!m_has_others || other < first) {
      first = other;
    }
    if (is_after && (!m_has_next || other < next)) {
      next = other;
      m_has_next = true;
    }
  }

  void UpdatePreviousAndLast(const Position& other) {
    if (!m_has_others || m_last < other) {
      m_last = other;
    }
    if (other < m_self && (!m_has_previous || m_previous < other)) {
      m_previous = other;
      m_has_previous = true;
    }
    m_has_others = true;
  }

  Position m_self;
  Position m_next;
  Position m_previous;
  Position m_first;
  Position m_last;
  bool m_has_others = false;
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
  RingScan global_scan(PositionOf("global", self.instance));
  for (const GossipNode& other : others) {
    global_scan.Add(PositionOf("global", other.instance));
  }
  global_scan.CollectInto(names);
  return {names.begin(), names.end()};
}

bool IsSelectedByRendezvous(std::string_view purpose,
                            const GossipNode& self,
                            std::span<const GossipNode> others,
                            std::size_t count) {
  const Position self_position = PositionOf(purpose, self.instance);
  std::size_t higher_ranked = 0;
  for (const GossipNode& other : others) {
    if (other.data_centre == self.data_centre &&
        other.instance != self.instance &&
        self_position < PositionOf(purpose, other.instance)) {
      ++higher_ranked;
    }
  }
  return higher_ranked < count;
}

}  // namespace radishrudder::dissemination
