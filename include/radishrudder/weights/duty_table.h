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

// Ranks the live instances of each region for each chunk by rendezvous hashing.
// The instance of rank 0 fetches the chunk into its region; if it fails, those
// of the next ranks do. All instances compute the same ranks from the same
// list.
class DutyTable {
 public:
  DutyTable(std::string self, std::string region, std::string store_region);

  // `peers` may include this instance, which always counts as live.
  void SetPeers(std::span<const TransferPeer> peers);

  // Returns the hash key of a chunk or manifest.
  static std::uint64_t HashKey(const Digest& digest);

  // Returns up to `count` live instances of a region in the order of their
  // rank.
  std::vector<std::string> RankedInstances(std::string_view region,
                                           std::uint64_t key,
                                           std::size_t count) const;
  // Returns the number of instances of this region with a lower rank.
  std::size_t LocalRank(std::uint64_t key) const;
  // Returns the regions in forwarding order: the store's region first, then
  // each region that receives the chunk from the one before it.
  std::vector<std::string> RegionChain(std::uint64_t key) const;

  std::size_t CountLive(std::string_view region) const;
  bool IsInStoreRegion() const { return m_region == m_store_region; }
  // Returns the region of a live instance, or an empty text if it is unknown.
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
