#ifndef RADISHRUDDER_WEIGHTS_DUTY_TABLE_H_
#define RADISHRUDDER_WEIGHTS_DUTY_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "radishrudder/weights/manifest.h"
#include "radishrudder/weights/transfer.h"

namespace radishrudder::weights {

// Rendezvous order of the live instances of each region for each chunk. The
// first of a region brings the chunk into it; the next ones take over. Every
// instance computes the same from the same list.
class DutyTable {
 public:
  DutyTable(std::string self, std::string region, std::string store_region);

  // `peers` may name this instance; it is always counted as live.
  void SetPeers(std::span<const TransferPeer> peers);

  // Key of a chunk or of another piece of a version.
  static std::uint64_t KeyOf(const Digest& digest);

  // Returns up to `count` live instances of a region, the first on duty first.
  std::vector<std::string> Order(std::string_view region,
                                 std::uint64_t key,
                                 std::size_t count) const;
  // Returns how many instances of this region come before this one.
  std::size_t RankOfSelf(std::uint64_t key) const;
  // Returns the regions in the order in which they pass the chunk on: the
  // store's first, each of the others from the one before it.
  std::vector<std::string> RegionChain(std::uint64_t key) const;

  std::size_t LiveIn(std::string_view region) const;
  bool InStoreRegion() const { return m_region == m_store_region; }
  // Returns the region of a known live instance, or an empty text.
  std::string_view RegionOf(std::string_view instance) const;

 private:
  struct Member {
    std::string name;
    std::uint64_t hash = 0;
  };
  struct Region {
    std::string name;
    std::uint64_t hash = 0;
    std::vector<Member> members;
  };

  void Add(const std::string& instance, const std::string& region);
  const Region* Find(std::string_view name) const;

  std::string m_self;
  std::string m_region;
  std::string m_store_region;
  std::vector<Region> m_regions;
};

}  // namespace radishrudder::weights

#endif  // RADISHRUDDER_WEIGHTS_DUTY_TABLE_H_
