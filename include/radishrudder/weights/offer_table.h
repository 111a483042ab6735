#ifndef RADISHRUDDER_WEIGHTS_OFFER_TABLE_H_
#define RADISHRUDDER_WEIGHTS_OFFER_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "radishrudder/kernel/time.h"
#include "radishrudder/weights/chunk_bitmap.h"

namespace radishrudder::weights {

// Chunks of one version that one neighbour has.
struct Offer {
  ChunkBitmap present;
  ChunkBitmap fetching;          // Requested from the origin or the store.
  kernel::Time backoff_until{};  // No requests before this.
};

// Latest inventories of other instances for one version.
class OfferTable {
 public:
  // Sets the number of chunks of the version. Offers of a different size are
  // replaced by empty ones.
  void Reset(std::size_t chunks);
  // Replaces the offer of an instance. Returns whether the instance is new or
  // has fewer chunks than before.
  bool Set(std::string_view instance, Offer offer);
  void Remove(std::string_view instance);
  Offer* Find(std::string_view instance);
  // Returns the number of instances that offer a chunk.
  std::uint32_t Copies(std::uint32_t index) const { return m_copies[index]; }
  bool HasOffer(std::string_view instance) const {
    return m_offers.contains(instance);
  }
  std::vector<std::string> Instances() const;

 private:
  void ResizeToVersion(Offer& offer) const;
  void UpdateCopies(const ChunkBitmap& present, std::int32_t change);

  std::size_t m_chunks = 0;
  std::map<std::string, Offer, std::less<>> m_offers;
  std::vector<std::uint32_t> m_copies;
};

}  // namespace radishrudder::weights

#endif  // RADISHRUDDER_WEIGHTS_OFFER_TABLE_H_
