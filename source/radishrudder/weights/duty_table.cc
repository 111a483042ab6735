#include "radishrudder/weights/duty_table.h"

#include <algorithm>
#include <utility>

#include "radishrudder/kernel/hash.h"
#include "radishrudder/kernel/random.h"

namespace radishrudder::weights {
namespace {

// Returns the rendezvous weight. `name_hash` is computed once for each name.
std::uint64_t RendezvousWeight(std::uint64_t key, std::uint64_t name_hash) {
  return kernel::Random(key ^ name_hash).Next();
}

}  // namespace

DutyTable::DutyTable(std::string self,
                     std::string region,
                     std::string store_region)
    : m_self(std::move(self)),
      m_region(std::move(region)),
      m_store_region(std::move(store_region)) {
  SetPeers({});
}

void DutyTable::SetPeers(std::span<const TransferPeer> peers) {
  m_regions.clear();
  Add(m_self, m_region);
  for (const TransferPeer& peer : peers) {
    if (peer.alive && peer.instance != m_self) {
      Add(peer.instance, peer.region);
    }
  }
}

void DutyTable::Add(const std::string& instance, const std::string& region) {
  auto found = std::find_if(
      m_regions.begin(), m_regions.end(),
      [&region](const Region& item) { return item.name == region; });
  if (found == m_regions.end()) {
    m_regions.push_back({region, kernel::StableHash(region), {}});
    found = std::prev(m_regions.end());
  }
  found->members.push_back({instance, kernel::StableHash(instance)});
}

std::uint64_t DutyTable::HashKey(const Digest& digest) {
  std::uint64_t key = 0;
  for (std::size_t i = 0; i < sizeof(key); ++i) {
    key = key << 8U | digest[i];
  }
  return key;
}

const DutyTable::Region* DutyTable::Find(std::string_view name) const {
  const auto found =
      std::find_if(m_regions.begin(), m_regions.end(),
                   [name](const Region& item) { return item.name == name; });
  return found == m_regions.end() ? nullptr : &*found;
}

std::vector<std::string> DutyTable::RankedInstances(std::string_view region,
                                                    std::uint64_t key,
                                                    std::size_t count) const {
  struct Weighted {
    std::uint64_t weight = 0;
    const std::string* name = nullptr;
  };
  std::vector<Weighted> weighted;
  if (const Region* found = Find(region)) {
    for (const Member& member : found->members) {
      weighted.push_back({RendezvousWeight(key, member.hash), &member.name});
    }
  }
  count = std::min(count, weighted.size());
  std::partial_sort(
      weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(count),
      weighted.end(), [](const Weighted& a, const Weighted& b) {
        return a.weight != b.weight ? a.weight > b.weight : *a.name < *b.name;
      });
  std::vector<std::string> order;
  for (std::size_t i = 0; i < count; ++i) {
    order.push_back(*weighted[i].name);
  }
  return order;
}

std::size_t DutyTable::LocalRank(std::uint64_t key) const {
  const std::uint64_t local_weight =
      RendezvousWeight(key, kernel::StableHash(m_self));
  const Region* region = Find(m_region);
  return static_cast<std::size_t>(std::count_if(
      region->members.begin(), region->members.end(),
      [&](const Member& member) {
        const std::uint64_t weight = RendezvousWeight(key, member.hash);
        return weight > local_weight ||
               (weight == local_weight && member.name < m_self);
      }));
}

std::vector<std::string> DutyTable::RegionChain(std::uint64_t key) const {
  struct Weighted {
    std::uint64_t weight = 0;
    std::string_view name;
  };
  std::vector<Weighted> others;
  for (const Region& region : m_regions) {
    if (region.name != m_store_region) {
      others.push_back({RendezvousWeight(key, region.hash), region.name});
    }
  }
  std::sort(
      others.begin(), others.end(), [](const Weighted& a, const Weighted& b) {
        return a.weight != b.weight ? a.weight > b.weight : a.name < b.name;
      });
  std::vector<std::string> chain = {m_store_region};
  for (const Weighted& other : others) {
    chain.emplace_back(other.name);
  }
  return chain;
}

std::size_t DutyTable::CountLive(std::string_view region) const {
  const Region* found = Find(region);
  return found == nullptr ? 0 : found->members.size();
}

std::string_view DutyTable::RegionOf(std::string_view instance) const {
  for (const Region& region : m_regions) {
    for (const Member& member : region.members) {
      if (member.name == instance) {
        return region.name;
      }
    }
  }
  return {};
}

}  // namespace radishrudder::weights
